#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/build.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B review/build -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build review/build -j4
