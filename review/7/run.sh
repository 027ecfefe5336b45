#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the hang and the cut.
cd "$(dirname "$0")" || exit 2
. ../lib-2/run.sh
