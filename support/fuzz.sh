#!/usr/bin/env bash
# Runs the stateful fuzz tests with new random seeds: support/fuzz.sh --minutes N [PACKAGE...]
# Prints the seed of a failing run; PERSIMMON_SEED=SEED PERSIMMON_RUNS=RUNS reproduces it.
set -euo pipefail
cd "$(dirname "$0")/.."
minutes=1
if [ "${1:-}" = --minutes ]; then
  minutes="$2"
  shift 2
fi
packages=("$@")
[ "${#packages[@]}" -gt 0 ] || packages=(consensus placement control entry batch)
end=$((SECONDS + minutes * 60))
runs=0
while [ "$SECONDS" -lt "$end" ]; do
  for package in "${packages[@]}"; do
    seed=$((RANDOM * 32768 + RANDOM))
    if ! (cd "packages/$package" && PERSIMMON_SEED=$seed PERSIMMON_RUNS="${PERSIMMON_RUNS:-100}" \
      timeout 600 "../../build/packages/$package/$package-test") >"/tmp/fuzz-$package.log" 2>&1; then
      cat "/tmp/fuzz-$package.log"
      echo "failed: package $package, PERSIMMON_SEED=$seed PERSIMMON_RUNS=${PERSIMMON_RUNS:-100}"
      exit 1
    fi
    runs=$((runs + 1))
  done
done
echo "$runs runs without a failure"
