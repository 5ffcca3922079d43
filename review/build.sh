#!/usr/bin/env bash
# Builds what the scripts of the cases start, besides the program itself. Needs the packages of the deploy file and no others.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build-review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-review -j "$(nproc)"
