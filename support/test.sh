#!/usr/bin/env bash
# Installs the dependencies, builds with warnings as errors, checks format and lint and runs all tests.
# The last line is "N passed, N failed". KNOWN-RED.txt, the list of known failures, is printed before it.
set -euo pipefail
cd "$(dirname "$0")/.."
bash support/install.sh
bash support/build.sh build
bash support/lint.sh build
log=$(mktemp)
status=0
ctest --test-dir build --verbose --timeout 600 >"$log" 2>&1 || status=$?
grep -E '^ *[0-9]+/[0-9]+ Test|error: Failure|Errors \(|OK \(|seed' "$log" || true
[ "$status" -eq 0 ] || cat "$log"
# CppUTest ends the output of each program with "OK (N tests, ...)" or "Errors (N failures, M tests, ...)".
passed=$(sed -nE 's/.*OK \(([0-9]+) tests.*/\1/p' "$log" | awk '{ n += $1 } END { print n + 0 }')
failed=$(grep -cE 'error: Failure in|\*\*\*(Timeout|Exception|Not Run)' "$log" || true)
rm -f "$log"
if [ -s KNOWN-RED.txt ]; then
  echo "Known failures (KNOWN-RED.txt):"
  cat KNOWN-RED.txt
fi
echo "$passed passed, $failed failed"
[ "$status" -eq 0 ] && [ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
