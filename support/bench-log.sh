#!/usr/bin/env bash
# Builds and runs the benchmark of the replicated log: support/bench-log.sh [BUILD_FOLDER] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
folder="${1:-build}"
bash support/build.sh "$folder"
data=$(mktemp -d)
trap 'rm -rf "$data"' EXIT
"$folder/packages/consensus/log-bench" "$data/log" "${2:-5}"
