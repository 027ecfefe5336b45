#!/bin/sh
# Real relays that make copies, with faults between them: what is promised is ended once, whoever is lost, stopped, cut off
# or started anew. That a broken exchange is seen is for copies_test and copies_check_test: with real processes it shows on
# some plays and not on all.
set -eu
lab=$1
relay=$2
root=$3
work=$(mktemp -d)
trap 'kill $(jobs -p) 2>/dev/null || true; rm -rf "$work"' EXIT
cd "$work"

fail() {
  echo "copies_rig: $1" >&2
  exit 1
}
# The status is 1 where a rule was broken: which one is looked at below, for a machine that runs late breaks those of time.
drive() { # name, day, options
  name=$1
  day=$2
  shift 2
  "$lab" drive "$root/lab/scenarios/copies/$day.toml" --fleet --probe-ms 250 --folder "$work/$name" --json "$name.json" \
    "$@" >"$name.out" 2>&1 || [ $? = 1 ] || echo "status" >"$name.failed"
}
days="loss frozen cut restarts noisy"
pids=
for day in $days; do
  drive $day $day --program "$relay" --relays 6 --copies 2 &
  pids="$pids $!"
done
drive one loss --program "$relay" --relays 6 --copies 1 --seed 2 &
pids="$pids $!"

# While they are played: what staff see.
config=$work/loss/relay-0/config.json
until [ -s "$config" ] && "$relay" copies --config "$config" 2>/dev/null | grep -q '^n0 .*takes new ones'; do
  kill -0 "${pids##* }" || fail "the days ended before copies were made"
done
"$relay" copies --config "$config" --json | grep -q '"groups":\[' || fail "no JSON"
"$relay" check --config "$config" | grep -q '^copies *2 ' || fail "check: $("$relay" check --config "$config")"

for pid in $pids; do wait "$pid" || true; done
[ -z "$(ls ./*.failed 2>/dev/null)" ] || fail "$(ls ./*.failed): $(cat ./*.out)"
for day in $days one; do
  grep -q '"crashes":0' "$day.json" || fail "$day: $(cat "$day.out")"
  ! grep -Eq '"(second_copy|effect_twice|attempts|invented)":' "$day.json" || fail "$day: $(cat "$day.out")"
done
for day in loss one; do
  ! grep -q '"lost":[0-9]*[,}].*"schema"\|"rules":{[^}]*"lost"' "$day.json" || fail "$day: $(cat "$day.out")"
  grep -q '"inherited":[1-9]' "$day.json" || fail "$day: nobody inherited: $(cat "$day.out")"
done
