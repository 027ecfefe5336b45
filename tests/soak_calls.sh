#!/bin/sh
# One day on real relays whose system calls fail, by its seed:
#   530  5%, beside a crowd of silent clients
#   542  20%, beside a kill, with a moved discovery
#   605  20%, over upgrades
#   649  5%, with copies, over chains of upgrades and a kill of six relays of eight
set -eu
lab=$1
relay=$2
seed=$3
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
status=0
"$lab" soak --seed "$seed" --program "$relay" --folder "$work/day" || status=$?
exit $status
