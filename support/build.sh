#!/usr/bin/env bash
# Builds everything: support/build.sh [BUILD_FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
folder="${1:-build}"
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B "$folder" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >"/tmp/cmake-$$.log" 2>&1 \
  || { cat "/tmp/cmake-$$.log"; exit 1; }
rm -f "/tmp/cmake-$$.log"
ninja -C "$folder" --quiet
