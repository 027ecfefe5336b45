#!/bin/sh
# The regression check itself, with a stand-in that prints what a bench would.
set -eu
check="$1/tests/check_panels.sh"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cat > "$folder/bench" <<'STUB'
#!/bin/sh
echo "$*" >> "$CALLS"
case "$* " in
  *"--panel broken "*) echo "churn  G 0.8  score 0.00"; echo "score of the real nodes 0.500" ;;
  *"--panel silent "*) echo "playing" ;;
  *"--panel failing "*) exit 2 ;;
  *) echo "churn  G 0.8  score 0.91"; echo "score of the real nodes 0.910 (the weighted mean of the days)" ;;
esac
STUB
chmod +x "$folder/bench"
export CALLS="$folder/calls"
sh "$check" "$folder/bench" site.toml > "$folder/out"
[ "$(wc -l < "$CALLS")" -eq 2 ]
sed -n 1p "$CALLS" | grep -qv -e '--panel'
sed -n 2p "$CALLS" | grep -q -e '--panel later --quick'
for panel in broken silent failing; do
  if sh "$check" "$folder/bench" site.toml later "$panel" > "$folder/out"; then
    echo "$panel was let through" >&2
    exit 1
  fi
done
