#!/usr/bin/env bash
# 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../build-review/case2 ] || { echo "review/build.sh has not run" >&2; exit 2; }
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
# Its processes end with it (PR_SET_PDEATHSIG), also where it is ended for its time.
TMPDIR="$folder" timeout -k 1 115 ../../build-review/case2 ../.. record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
