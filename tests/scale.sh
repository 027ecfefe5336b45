#!/bin/sh
# The scale run at a small size: its figures, what it refuses, and that nothing of it stays behind.
set -eu
lab=$1
root=$2
relay=$3
days=$root/lab/scenarios/scale
work=$(mktemp -d)
trap 'kill $(jobs -p) 2>/dev/null || true; rm -rf "$work"' EXIT
cd "$work"

fail() {
  echo "scale: $1" >&2
  exit 1
}
refused() { # words that the one line must have, arguments
  words=$1
  shift
  status=0
  "$lab" scale "$@" >out 2>err || status=$?
  [ "$status" = 2 ] || fail "$*: status $status"
  [ "$(wc -l <err)" = 1 ] && grep -q "$words" err || fail "$*: $(cat err)"
  [ ! -s out ] || fail "$*: began a run"
}
of_run() { # processes whose command line names this run's own file; a pattern that does not match itself
  grep -lsa "$work/$1" /proc/[0-9]*/cmdline || true
}

for day in "$days"/*.toml; do # each is valid, and one file is one plan
  "$lab" scale "$day" --plan >plan
  "$lab" scale "$day" --plan >again
  cmp -s plan again || fail "$day: two plans"
done
"$lab" scale "$days/small.toml" --plan --seed 2 >other
"$lab" scale "$days/small.toml" --plan >plan
! cmp -s plan other || fail "another seed changes nothing"
[ "$(grep -c '^member ' plan)" = 60 ] || fail "members: $(cat plan)"
[ "$(grep -c '^fault ' plan)" = 4 ] || fail "faults: $(cat plan)"

bad() { printf 'version = 1\nname = "bad"\nseconds = 20\n%b' "$1" >bad.toml; }
bad '[fleet]\nmembers = 1\n'
refused 'bad.toml:5:11: members must lie' bad.toml
bad '[fleet]\nmembrs = 100\n'
refused "bad.toml:5:1: unknown field 'membrs'" bad.toml
bad '[fleet\n'
refused 'bad.toml:4:7: ' bad.toml
bad '[[fault]]\nkind = "flood"\nat = 6\n'
refused "bad.toml:5:8: kind can't be 'flood'" bad.toml
bad '[[fault]]\nkind = "rack"\nat = 6\nlasts = 30\n'
refused 'bad.toml:4:1: rack: ends after' bad.toml
refused "can't be read" missing.toml
refused 'members' "$days/small.toml" --members 5000
refused 'missing' --seed 3
refused 'no result' --fit "$days/small.toml"

# Played twice side by side: once whole, once interrupted.
cp "$days/small.toml" stopped.toml
"$lab" scale "$work/stopped.toml" --json stopped.json >stopped.out 2>&1 &
stopped=$!
"$lab" scale "$days/small.toml" --json small.json >small.out 2>&1 &
whole=$!
sleep 3
[ "$(of_run "[s]topped.toml" | wc -l)" -gt 1 ] || fail "no processes of its own: $(cat stopped.out)"
kill -INT $stopped
status=0
wait $stopped || status=$?
[ "$status" = 130 ] || fail "interrupted with status $status: $(cat stopped.out)"
[ -z "$(of_run "[s]topped.toml")" ] || fail "left running: $(of_run "[s]topped.toml")"
grep -q '"stopped":true' stopped.json || fail "nothing written when it was interrupted"

# One that is killed outright takes its processes along.
cp "$days/small.toml" killed.toml
"$lab" scale "$work/killed.toml" >killed.out 2>&1 &
killed=$!
sleep 1
kill -KILL $killed
wait $killed 2>/dev/null || true
sleep 0.5
[ -z "$(of_run "[k]illed.toml")" ] || fail "left running after SIGKILL: $(of_run "[k]illed.toml")"

status=0
wait $whole || status=$?
[ "$status" = 0 ] || fail "status $status: $(cat small.out)"
for key in sent_bytes_per_s cpu_share resident_bytes_per_member view_within_s change_in_force_s whole_list_within_s by_kind_per_s; do
  grep -q "\"$key\":" small.json || fail "no $key"
done
for phase in start machines 'after machines' rack region_cut 'after region_cut' restarts; do
  grep -q "\"name\":\"$phase\"" small.json || fail "no phase $phase: $(cat small.out)"
done
# The faults that it played are those of the plan.
sed -n 's/^fault machines .* on //p' plan | tr ' ' '\n' >wanted
grep -o '"kind":"machines"[^]]*' small.json | grep -o '"h[0-9]*"' | tr -d '"' >played
cmp -s wanted played || fail "other machines: $(cat wanted) and $(cat played)"
