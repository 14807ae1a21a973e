#!/usr/bin/env bash
# Tests judge-tests.sh: which failures are passed over and which fail the run.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p "$work/packages/alpha/test"
printf 'TEST(group, first)\nTEST(group, second)\n' >"$work/packages/alpha/test/alpha-test.cc"
export PERSIMMON_TEST_ROOT="$work"

# check WHAT STATUS LAST_LINE: judges $work/log against $work/list.
check() {
  local status=0 output
  output=$(bash judge-tests.sh "$work/log" "$work/list") || status=$?
  if [ "$status" -ne "$2" ] || [ "$(tail -n 1 <<<"$output")" != "$3" ]; then
    echo "judge-tests: $1: status $status, output:"
    echo "$output"
    exit 1
  fi
}

failing_run() { # TEST
  printf '    Start 3: alpha\n3: /x/alpha-test.cc:7: error: Failure in TEST(group, %s)\n' "$1"
  printf '3: Errors (1 failures, 9 tests, 9 ran, 20 checks, 0 ignored, 0 filtered out, 3 ms)\n'
  printf '1/1 Test #3: alpha ....***Failed    0.1 sec\n'
}

: >"$work/list"
printf '    Start 3: alpha\n3: OK (9 tests, 9 ran, 20 checks, 0 ignored, 0 filtered out, 3 ms)\n' >"$work/log"
check "all pass" 0 "9 passed, 0 failed"
failing_run first >"$work/log"
check "a failure that isn't listed" 1 "8 passed, 1 failed"
echo 'alpha, TEST(group, first): command, seed' >"$work/list"
check "a listed failure" 0 "8 passed, 0 failed"
failing_run second >"$work/log"
check "another failure of the same program" 1 "8 passed, 1 failed"
echo 'beta, TEST(group, second): command, seed' >"$work/list"
check "a listed test of another program" 1 "8 passed, 1 failed"
echo 'alpha, TEST(group, third): command, seed' >"$work/list"
printf '    Start 3: alpha\n3: OK (9 tests, 9 ran, 20 checks, 0 ignored, 0 filtered out, 3 ms)\n' >"$work/log"
check "a listed test that is gone" 1 "9 passed, 0 failed"
echo 'alpha, TEST(group, first): command, seed' >"$work/list"
printf '    Start 3: alpha\n3: /x:7: error: Failure in TEST(group, first)\n1/1 Test #3: alpha ....***Timeout  600 sec\n' >"$work/log"
check "a program that doesn't end" 1 "0 passed, 1 failed"
: >"$work/log"
check "no test" 1 "0 passed, 0 failed"
echo "judge-tests: 8 cases hold"
