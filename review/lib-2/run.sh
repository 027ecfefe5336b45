# Runs the case beside which it is sourced. 1: the rule was broken, 0: it held, 2: the case could not run.
command -v python3 >/dev/null || exit 2
[ -x ../../build/myrtlegrade ] || exit 2
timeout -k 3 115 python3 -B case.py &
child=$!
trap 'kill "$child" 2>/dev/null; wait "$child"; exit 2' TERM INT HUP
wait "$child"
case $? in
  10) exit 1 ;;
  0) exit 0 ;;
  *) exit 2 ;;
esac
