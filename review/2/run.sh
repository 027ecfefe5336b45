#!/usr/bin/env bash
# 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../build-review/case2 ] || { echo "review/build.sh has not run" >&2; exit 2; }
exec ../../build-review/case2 ../.. record.txt
