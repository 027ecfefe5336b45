#!/usr/bin/env bash
# Plays versions of the module that are made worse in one place each on days of the lab, and, where a bench is at
# hand, on the bench's: the rank correlation says how far the lab's order can be trusted.
#   lab/calibrate.sh FOLDER [LBSIM SITE]
# FOLDER gets the builds and results; the bench scores each adapter as `LBSIM score SITE --quick`.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
work=${1:?usage: lab/calibrate.sh FOLDER [LBSIM SITE]}
mkdir -p "$work"

# name | file | what is changed
variants=(
  "as it is|src/policy.cpp|s/^$//"
  "circuit opens late|src/policy.cpp|s/kCircuitOpenWeight = 4/kCircuitOpenWeight = 400/"
  "short time-outs|src/policy.cpp|s/kTimeoutP95Factor = 4.0/kTimeoutP95Factor = 0.8/; s/kTimeoutAimShare = 1.0/kTimeoutAimShare = 0.15/"
  "never halves|src/cap.cpp|s/kErrorRateToHalve = 0.1/kErrorRateToHalve = 2.0/"
  "small hold|src/policy.cpp|s/kMaxQueueShare = 0.4/kMaxQueueShare = 0.02/; s/kMinQueueBound = 4/kMinQueueBound = 1/"
  "refuses late|src/policy.cpp|s/kMaxWaitShare = 0.5/kMaxWaitShare = 50/"
  "small caps|src/cap.cpp|s/kMaxCapShare = 0.75/kMaxCapShare = 0.15/; s/kInitialCapShare = 0.34/kInitialCapShare = 0.1/"
  "retries at once|src/policy.cpp|s/kMinBackoff = 250ms/kMinBackoff = 1ms/; s/kBackoffIntervalShare = 0.25/kBackoffIntervalShare = 0.001/"
  "timid when cold|src/rate_limits.cpp|s/kRampShare = 1.2/kRampShare = 0.1/; s/kRampLeast = 1.0/kRampLeast = 0.05/; s/kRampLeastAll = 100.0/kRampLeastAll = 1.0/"
)
# Days like those that the bench plays for this site: a partner hung; slow and silent; relays killed and hung; a busy
# relay and silent.
days=(rough overload big1 big2)
seeds=24

: >"$work/lab.txt"
: >"$work/bench.txt"
for line in "${variants[@]}"; do
  IFS='|' read -r name file change <<<"$line"
  folder="$work/${name// /-}"
  mkdir -p "$folder"
  cp -r "$root"/{CMakeLists.txt,cmake,src,include,adapter,relay,common,lab} "$folder"/
  before=$(cat "$folder/$file")
  sed -i "$change" "$folder/$file"
  if [ "$name" != "as it is" ] && [ "$before" = "$(cat "$folder/$file")" ]; then
    echo "calibrate: nothing is changed by '$name'" >&2
    exit 1
  fi
  cmake -S "$folder" -B "$folder/build" -DVETCHHINGE_BUILD_LAB=ON >/dev/null
  cmake --build "$folder/build" -j"$(nproc)" --target valedrum_lab vetchhinge_drill >/dev/null
  for day in "${days[@]}"; do
    "$folder/build/lab/valedrum_lab" sweep "$root/lab/calibration/$day.toml" \
      --over relays --values 3 --seeds "$seeds" --figure g --json "$folder/$day.json" >/dev/null
    sed 's/.*"mean":\([0-9.E+-]*\).*/\1/' "$folder/$day.json"
  done | awk -v name="$name" '{ sum += $1 } END { printf "%s|%.4f\n", name, sum / NR }' | tee -a "$work/lab.txt"
  if [ $# -ge 3 ]; then
    (cd "$root" && "$2" score "$3" --quick --no-build --why "Calibration of the lab: the module with '$name'" -- \
      "$folder/build/vetchhinge_drill") >"$folder/bench.out" 2>&1 || true
    tail -5 "$folder/bench.out"
  fi
done
