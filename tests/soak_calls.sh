#!/bin/sh
# Days on real relays whose system calls fail: 20% of them over upgrades, 5% beside a crowd of silent clients, 5% with copies
# over chains of upgrades.
set -eu
lab=$1
relay=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
pids=
for seed in 530 542 649; do
  "$lab" soak --seed $seed --program "$relay" --folder "$work/$seed" >"$work/$seed.txt" 2>&1 &
  pids="$pids $!"
done
status=0
for pid in $pids; do wait "$pid" || status=1; done
cat "$work"/*.txt
exit $status
