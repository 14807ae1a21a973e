#!/usr/bin/env bash
# Installs the dependencies, builds with warnings as errors, checks format and lint and runs all tests.
# The last line is "N passed, N failed". The failures listed in KNOWN-RED.txt are printed and passed over.
set -euo pipefail
cd "$(dirname "$0")/.."
bash support/install.sh
bash support/build.sh build
bash support/lint.sh build
bash support/judge-tests-test.sh
log=$(mktemp)
status=0
ctest --test-dir build --verbose --timeout 600 >"$log" 2>&1 || status=$?
grep -E '^ *[0-9]+/[0-9]+ Test|error: Failure|Errors \(|OK \(|seed' "$log" || true
[ "$status" -eq 0 ] || cat "$log"
if [ -s KNOWN-RED.txt ]; then
  echo "Known failures (KNOWN-RED.txt):"
  cat KNOWN-RED.txt
fi
judged=0
bash support/judge-tests.sh "$log" KNOWN-RED.txt || judged=$?
rm -f "$log"
exit "$judged"
