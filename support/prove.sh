#!/usr/bin/env bash
# Tests one invariant or all of them: support/prove.sh NAME|all
# Runs the tests named in docs/proofs.md with their fixed seeds and prints one line for each invariant.
set -euo pipefail
cd "$(dirname "$0")/.."
bash support/build.sh build >/dev/null
names=(guarantee gang whole-answer not-run at-most-once leaving planned-stop configuration)

# Tests of each invariant, as PACKAGE:GROUP[.TEST].
declare -A proofs=(
  [guarantee]="placement:guarantees placement:fuzz placement:rebuild system:guarantee"
  [gang]="placement:gangs control:ledger control:golden control:fuzz system:gang"
  [whole-answer]="http:http_server entry:entry_program entry:request_core_fuzz system:requests"
  [not-run]="entry:request_core entry:request_core_fuzz control:ledger system:requests"
  [at-most-once]="entry:entry_program entry:request_core_fuzz control:ledger control:fuzz consensus:fuzz system:requests"
  [leaving]="entry:sync_state control:coordinator control:fuzz system:leaving"
  [planned-stop]="entry:entry_program.finishesRequestsBeforeItStops control:golden.rollingRestart system:planned_stop"
  [configuration]="consensus:fuzz consensus:node consensus:storage control:ledger control:golden entry:request_core system:configuration"
)

# Returns whether the tests passed. A run in which no test matches the filter counts as a failure.
run_test() { # PACKAGE:GROUP[.TEST]
  local package="${1%%:*}" selector="${1#*:}" arguments
  arguments=(-sg "${selector%%.*}")
  [[ "$selector" != *.* ]] || arguments+=(-sn "${selector#*.}")
  (cd "packages/$package" && "../../build/packages/$package/$package-test" "${arguments[@]}") >"$log" 2>&1 \
    && grep -qE 'OK \([0-9]+ tests, [1-9]' "$log"
}

prove() {
  local failed=() item
  for item in ${proofs[$1]}; do
    run_test "$item" || { failed+=("$item"); cat "$log"; }
  done
  if [ "${#failed[@]}" -eq 0 ]; then
    printf '%-14s proved  (%s)\n' "$1" "${proofs[$1]}"
  else
    printf '%-14s FAILED  (%s)\n' "$1" "${failed[*]}"
    return 1
  fi
}

log=$(mktemp)
trap 'rm -f "$log"' EXIT
status=0
if [ "${1:-all}" = all ]; then
  for name in "${names[@]}"; do prove "$name" || status=1; done
else
  [ -n "${proofs[${1}]:-}" ] || { echo "unknown invariant '$1': one of ${names[*]} or all" >&2; exit 24; }
  prove "$1" || status=1
fi
exit "$status"
