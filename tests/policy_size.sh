#!/bin/sh
# The operators read the module aloud: at most 850 lines that are not blank, none over 110 characters, and 1,200
# in all files that the deploy file names as policy; they run no longer one.
set -eu
policy="$1/src/policy.cpp"
lines=$(grep -c '[^[:space:]]' "$policy")
wide=$(awk 'length($0) > 110' "$policy" | wc -l)
files=$(sed -n 's/^policy = \[\(.*\)\]$/\1/p' "$1/deploy/balancer.toml" | tr -d '",')
all=$(cd "$1" && cat $files | grep -c '[^[:space:]]')
echo "policy.cpp: $lines lines, $wide too wide; $all lines in all"
[ "$all" -ge "$lines" ] && [ "$all" -le 1200 ] && [ "$lines" -ge 100 ] && [ "$lines" -le 850 ] && [ "$wide" -eq 0 ]
