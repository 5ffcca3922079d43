#!/usr/bin/env bash
# Builds the stand-ins and the trials of the third review's cases into build-review-3/.
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)
cmake -S "$top/review/Support-3" -B "$top/build-review-3" -DCMAKE_BUILD_TYPE=Release
cmake --build "$top/build-review-3" -j "$(nproc)"
