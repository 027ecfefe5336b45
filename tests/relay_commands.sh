#!/bin/sh
# Tests the relay's command line on the configuration and state folder that a simulated day has left.
set -eu
relay=$1
lab=$2
root=$3
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
unset PROXY_CONFIG PROXY_STATE PROXY_ADMIN_ADDR || true

fail() {
  echo "relay_commands: $1" >&2
  exit 1
}
status_of() { # expected status, then the call
  expected=$1
  shift
  status=0
  "$relay" "$@" >out 2>err || status=$?
  [ "$status" = "$expected" ] || fail "$*: status $status, $(cat out err)"
}
refused() {
  status_of 2 "$@"
  [ "$(wc -l <err)" = 1 ] || fail "$*: $(cat err)"
}

# The pages are generated from the same source as --help.
{
  sed -n '1,/^<!-- below: made by --markdown -->$/p' "$root/docs/cli.md"
  echo
  "$relay" --markdown
  "$lab" --markdown
} >cli.md
diff cli.md "$root/docs/cli.md" >&2 || fail "docs/cli.md is not what --markdown says"
for program in "$relay" "$lab"; do
  "$program" --help >out || fail "$program --help"
  grep -q 'Exit status' out || fail "$program --help says no exit status"
  "$program" --completion >completion.bash
  bash -n completion.bash || fail "the completion is no bash"
done
for command in run check status offline online leave join 'journal show' 'journal verify' 'journal stats' version; do
  # shellcheck disable=SC2086
  "$relay" $command --help >out || fail "$command --help"
done

# A simulated day on sockets leaves a configuration and a journal.
printf 'version = 1\nname = "left"\nseconds = 3\n[fleet]\nendpoints = 4\n[[fault]]\nkind = "hung"\nat = 1\nlasts = 60\npart = 1\n' >day.toml
"$lab" drive day.toml --relays 2 --program "$relay" --folder "$work/kept" >out 2>err || [ $? = 1 ] || fail "drive: $(cat out err)"
config=$work/kept/relay-0/config.json
state=$work/kept/relay-0/state

status_of 0 check --config "$config" --state "$state"
grep -q '^slots ' out || fail "check: $(cat out)"
status_of 0 run --check --config "$config" --state "$state"
status_of 0 check --config "$config" --json
grep -q '"slots":{"value":' out || fail "check --json: $(cat out)"
refused check
refused check --config "$work/nowhere.json"
refused check --config "$config" --state "$work/nowhere"
head -c 200 "$config" >cut.json
refused check --config cut.json
grep -q 'cut.json:1:2[0-9][0-9]: ' err || fail "no place in $(cat err)"
sed 's/"workers":[0-9]*/"workers":0/; s/,"familyInfo"/,\n"familyInfo"/' "$config" >slots.json
refused check --config slots.json
grep -q 'slots.json:[0-9]*:[0-9]*: .*slots' err || fail "no field in $(cat err)"
sed 's/"sockets":1024/"sockets":-3/; s/"limits"/\n"limits"/' "$config" >limits.json
refused check --config limits.json
grep -q 'limits.json:2:[0-9]*: config: limits.sockets' err || fail "no place in $(cat err)"

status_of 0 journal verify "$state"
grep -q '^whole: ' out || fail "verify: $(cat out)"
status_of 0 journal stats "$state"
grep -q ' messages owed' out || fail "stats: $(cat out)"
status_of 0 journal show "$state" --json
cp -r "$state" torn
printf 'abc' >>torn/journal
before=$(cksum <torn/journal)
status_of 1 journal verify torn
grep -q 'cut off' out || fail "verify: $(cat out)"
[ "$(cksum <torn/journal)" = "$before" ] || fail "verify has written"
cp -r "$state" spoilt
size=$(wc -c <spoilt/journal)
[ "$size" -gt 60 ] || fail "the journal is empty"
printf '\377\377' | dd of=spoilt/journal bs=1 seek=40 conv=notrunc 2>/dev/null
status_of 1 journal stats spoilt --json
grep -q '"damage":{"at":' out || fail "stats: $(cat out)"
refused journal verify "$work/nowhere"
refused journal
refused offline
refused nonsense
refused status
refused status --admin nonsense

# No relay at that address; then a running relay with an admin address.
status_of 3 status --admin 127.0.0.1:9
if [ -n "$(command -v timeout)" ]; then
  address=127.$((64 + $$ / 16384 % 128)).$(($$ / 64 % 256)).$(($$ % 64 + 1))
  sed "s/\"listen\":\"[^\"]*\"/\"listen\":\"$address:7070\",\"admin_addr\":\"$address:7171\"/" "$config" >served.json
  mkdir served
  "$relay" run --config served.json --state served 2>log &
  pid=$!
  trap 'kill "$pid" 2>/dev/null || true; rm -rf "$work"' EXIT
  tries=0
  until "$relay" status --config served.json >out 2>&1; do
    tries=$((tries + 1))
    [ "$tries" -lt 2000 ] && kill -0 "$pid" 2>/dev/null || fail "no answer: $(cat out log)"
  done
  grep -q '^ACK$' out || fail "status: $(cat out)"
  id=$(sed 's/.*"id":"\([^"]*\)".*/\1/' served.json)
  status_of 0 offline "$id" --config served.json --json
  grep -q '"ok":true' out || fail "offline: $(cat out)"
  status_of 0 journal stats served
  grep -q '1 endpoints out by hand' out || fail "stats beside a living relay: $(cat out)"
  status_of 0 online "$id" --admin "$address:7171"
  status_of 1 offline nobody --admin "$address:7171"
  status_of 0 leave --admin "$address:7171"
  status_of 0 join --admin "$address:7171"
  refused offline "a b" --admin "$address:7171"
  kill "$pid"
  wait "$pid" || fail "SIGTERM: status $?"
fi
