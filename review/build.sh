#!/usr/bin/env bash
# Builds the stand-ins of all cases into build-review/, beside the build of the deploy file. Needs the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
for case in review/[123]/case.cpp; do
  number="$(basename "$(dirname "$case")")"
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview -pthread "$case" -o "build-review/case$number"
done
