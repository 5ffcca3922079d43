#!/usr/bin/env bash
# Builds the cases of the second review and the stand-ins that they start, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/Support-2 -B target/review-2 >/dev/null
cmake --build target/review-2 -j8
