#!/usr/bin/env bash
# Soaks the scheduler and gateway roles under faults: support/soak.sh SECONDS [SEED] [BUILD_FOLDER]
# Runs the in-process fuzz tests with new seeds, then systems of real processes that are killed,
# suspended (SIGSTOP) or restarted without their data, and whose links are slow, reset, silent or cut
# one way. Prints the seed first, to reproduce a failure.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds="${1:?SECONDS}"
seed="${2:-$RANDOM}"
folder="${3:-build}"
echo "seed $seed"
for i in $(seq 1 $((seconds / 10 + 1))); do
  PERSIMMON_FUZZ_SEED=$((seed + i * 100)) "$folder/platform/platform-test" -g PlatformFuzz
  PERSIMMON_FUZZ_SEED=$((seed + i * 1000)) "$folder/packages/batch/batch-test" -g MaintenanceFuzz
done
for soak in soakUnderFaults soakThroughFaultyLinks soakOfALargerSystem; do
  PERSIMMON_SOAK_SECONDS="$seconds" PERSIMMON_SOAK_SEED="$seed" \
    "$folder/packages/system/system-test" -g BatchSystemSoak -n "$soak"
done
