#!/bin/sh
# The tool as a user meets it: each command, its files, and one line with exit 2 for what can't be.
set -eu
lab=$1
root=$2
relay=$3
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

fail() {
  echo "lab_tool: $1" >&2
  exit 1
}
refused() { # status 2, one line on standard error, nothing on standard output
  status=0
  "$lab" "$@" >out 2>err || status=$?
  [ "$status" = 2 ] || fail "$*: status $status"
  [ "$(wc -l <err)" = 1 ] || fail "$*: $(cat err)"
  [ ! -s out ] || fail "$*: began a run"
}

for scenario in "$root"/lab/scenarios/*.toml; do # each is valid, small and large
  "$lab" run "$scenario" --relays 2 --no-references --json run.json >out || fail "$scenario with 2 relays: $(cat out)"
  grep -q '"rules":{}' run.json || fail "$scenario: a rule is broken"
done

printf 'version = 1\nname = "small"\nseconds = 12\n[fleet]\nrelays = 4\n[[fault]]\nkind = "outage"\nat = 3\nlasts = 3\n' >small.toml
"$lab" run small.toml --seed 3 --json a.json --csv a.csv --trace a.trace --baselines >out || fail "run"
grep -q 'floor .* top .* score' out || fail "run gives no score"
[ "$(wc -l <a.csv)" -gt 12 ] || fail "no line for each second"
grep -q 'handed_in' a.trace || fail "nothing traced"
for key in schema scenario seed policy g floor top score rules calls latency seconds; do
  grep -q "\"$key\":" a.json || fail "no $key in the document"
done
"$lab" run small.toml --seed 3 --json b.json --no-references >out
"$lab" run small.toml --seed 3 --json c.json --no-references >out
cmp b.json c.json || fail "one seed, two runs"
"$lab" run small.toml --seed 4 --policy product:slots=3 --json d.json >out || fail "settings"
"$lab" report a.json d.json --by-relay --out page.html >out || fail "report"
grep -q '<polyline' page.html || fail "no plot"
! grep -q 'src=\|href=' page.html || fail "the page needs something else"

"$lab" compare small.toml --policies one_try,product,product:slots=3,tick=0.01 --seeds 4 --json cmp.json >out || fail "compare"
grep -q 'against one_try: better' out || fail "compare: $(cat out)"
"$lab" compare small.toml --policies product,product --seeds 3 >out
grep -q 'no difference shown' out || fail "a policy differs from itself: $(cat out)"
"$lab" compare small.toml --policies one_try --seeds 4 --against cmp.json >out || fail "against an earlier build"
grep -q "+0.0000 .*against cmp.json: no difference shown" out || fail "one_try is not what it was: $(cat out)"
"$lab" sweep small.toml --over relays --values 2,6 --seeds 2 --html sweep.html >out || fail "sweep"
[ "$(grep -c '^  relays ' out)" = 2 ] || fail "sweep: $(cat out)"
status=0
"$lab" search small.toml --runs 4 --policy one_try --out found.toml >out || status=$?
[ "$status" -le 1 ] || fail "search: status $status"
again=$(sed -n 's/^  valedrum_lab run found.toml --seed \([0-9]*\) .*/\1/p' out)
"$lab" run found.toml --seed "$again" --policy one_try --no-references >out || [ $? = 1 ] || fail "what is found is no scenario"

refused run missing.toml
refused run small.toml --relays 0
refused run small.toml --relays x
refused run small.toml --policy nobody
refused run small.toml --json "$work/nowhere/a.json"
refused run small.toml --unknown
refused compare small.toml --policies product
refused compare small.toml --figure beauty
refused compare small.toml --policies product --seeds 5 --against cmp.json
refused compare small.toml --policies product --relays 5 --against cmp.json
refused compare small.toml --policies product --against a.json
refused sweep small.toml --over relays --values 0
refused sweep small.toml --over colour --values 1
refused search small.toml --out "$work/nowhere/found.toml"
refused report small.toml
printf '{"schema":9}' >newer.json
refused report newer.json
head -c 300 a.json >cut.json
refused report cut.json
printf 'version = 2\nname = "x"\n' >newer.toml
refused run newer.toml

# Real relays on loopback: it says what came of it, and leaves no process behind.
printf 'version = 1\nname = "sockets"\nseconds = 4\n[fleet]\nendpoints = 6\n[[fault]]\nkind = "kill"\nat = 1\nlasts = 0.7\npart = 0.5\n' >sockets.toml
cp "$relay" "$work/relay"
status=0
"$lab" drive sockets.toml --relays 2 --program "$work/relay" --folder "$work/kept" --json drive.json >out || status=$?
[ "$status" -le 1 ] || fail "drive: status $status, $(cat out)" # 1: a rule was broken, where the machine ran late
grep -q "relays started 3 times, crashed 0" out || fail "drive: $(cat out)"
grep -q '"delivered":[1-9]' drive.json || fail "nothing was delivered"
! readlink /proc/[0-9]*/exe 2>/dev/null | grep -q "^$work/" || fail "a relay is left"
refused drive sockets.toml --relays 31 --program "$work/relay"
grep -q 'drive takes 2 to 30 relays' err || fail "drive: $(cat err)"
# A day is played as it stands: with as many relays as its file says.
printf 'version = 1\nname = "five"\nseconds = 2\n[fleet]\nrelays = 5\nendpoints = 6\n' >five.toml
"$lab" drive five.toml --program "$work/relay" --folder "$work/five" >out || [ $? = 1 ] || fail "drive: $(cat out)"
grep -q "relays started 5 times, crashed 0" out || fail "not the five relays of its file: $(cat out)"
refused drive sockets.toml --relays 2 --program "$work/nowhere"

# Interrupted, it gives what it has. It is told once it has begun: the trace says so.
mkfifo trace
"$lab" run "$root/lab/scenarios/calm.toml" --relays 300 --no-references --trace trace >out &
pid=$!
exec 3<trace
head -c 1000 <&3 >/dev/null
kill -INT "$pid"
cat <&3 >/dev/null
status=0
wait "$pid" || status=$?
[ "$status" = 130 ] || fail "interrupted: status $status"
grep -q 'stopped early' out || fail "interrupted, it says nothing"
