#!/usr/bin/env bash
# Runs one benchmark: support/bench.sh path|log|placement|batch|slots|capacity|rollout
# Each prints a table and ends all processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
bash support/build.sh build
case "${1:-}" in
log) exec build/packages/consensus/log-bench ;;
placement) exec build/packages/placement/placement-bench ;;
batch) exec build/packages/batch/batch-bench ;;
slots) exec build/packages/entry/slots-bench ;;
path | capacity | rollout) exec bash "support/bench-$1.sh" ;;
*)
  echo "usage: support/bench.sh path|log|placement|batch|slots|capacity|rollout" >&2
  exit 24
  ;;
esac
