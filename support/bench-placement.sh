#!/usr/bin/env bash
# Compares placement strategies and measures their cost: support/bench-placement.sh [BUILD_FOLDER]
# PERSIMMON_SEED, PERSIMMON_RACKS and PERSIMMON_JOBS change the replayed sequence of job arrivals.
set -euo pipefail
cd "$(dirname "$0")/.."
folder="${1:-build}"
ninja -C "$folder" --quiet placement-bench
"$folder/packages/placement/placement-bench"
