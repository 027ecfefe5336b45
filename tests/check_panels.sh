#!/bin/sh
# The regression check on the operators' bench: plays the quick score of each panel in turn, by its name. Fails
# where the bench fails, a rule is broken, or a day or a panel's score counts as zero or is missing.
#   tests/check_panels.sh LBREAL SITE [PANEL...]     without panels: fleet (the days at size), then later
set -eu
bench=$1
site=$2
shift 2
[ $# -gt 0 ] || set -- fleet later
bad=0
for panel in "$@"; do
  # The days at size are what the bench plays where no panel is named.
  named="--panel $panel"
  [ "$panel" != fleet ] || named=
  # shellcheck disable=SC2086
  if ! out=$("$bench" score "$site" $named --quick --why "Regression check of the panel $panel." 2>&1); then
    echo "$panel: the bench failed"
    bad=1
  fi
  printf '%s\n' "$out"
  if printf '%s\n' "$out" | grep -Eq 'RULE BROKEN|FAULT|crash|score 0\.00 *$'; then
    echo "$panel: a rule, a crash or a day that counts as zero"
    bad=1
  fi
  if ! printf '%s\n' "$out" | grep -Eq '^score of the real nodes 0\.[0-9]*[1-9]|^score of the real nodes 1'; then
    echo "$panel: no score"
    bad=1
  fi
done
exit $bad
