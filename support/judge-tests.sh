#!/usr/bin/env bash
# Judges the output of a test run against the list of known failures: support/judge-tests.sh LOG LIST
# LOG is the output of `ctest --verbose`. LIST has entries that begin with "PACKAGE, TEST(GROUP, NAME):".
# Prints each listed failure that occurred, and "N passed, N failed" as the last line. Exits with 1 if a test
# that isn't listed failed, a program ended abnormally, no test ran, or a listed test isn't in the sources.
set -euo pipefail
log="${1:?LOG}" list="${2:?LIST}"
root="${PERSIMMON_TEST_ROOT:-$(dirname "$0")/..}"

listed=$(sed -nE 's/^([a-z_]+), TEST\(([A-Za-z_0-9]+), ([A-Za-z_0-9]+)\):.*/\1 \2 \3/p' "$list" 2>/dev/null || true)
missing=0
while read -r package group name; do
  [ -n "$package" ] || continue
  folder="$root/packages/$package/test"
  [ "$package" != platform ] || folder="$root/platform/test"
  if ! grep -rqE "TEST\($group, $name\)" "$folder" 2>/dev/null; then
    echo "listed but not in the sources: $package, TEST($group, $name)"
    missing=$((missing + 1))
  fi
done <<<"$listed"

# Each line of a program's output begins with the number of its test in ctest.
awk -v listed="$listed" -v missing="$missing" '
  BEGIN {
    count = split(listed, rows, "\n")
    for (i = 1; i <= count; i++) known[rows[i]] = 1
  }
  /Start +[0-9]+: / {
    number = $0; sub(/.*Start +/, "", number); sub(/:.*/, "", number)
    package[number] = $NF
  }
  match($0, /Failure in TEST\([A-Za-z_0-9]+, [A-Za-z_0-9]+\)/) {
    number = $1; sub(/:.*/, "", number)
    name = substr($0, RSTART + 16, RLENGTH - 17)
    split(name, parts, ", ")
    key = package[number] " " parts[1] " " parts[2]
    if (key in known) { if (!(key in seen)) print "known failure: " key; knownFailures[number]++ }
    else { if (!(key in seen)) print "failed: " key; failures++ }
    seen[key] = 1
  }
  match($0, /OK \([0-9]+ tests/) { split(substr($0, RSTART), f, /[( ]/); passed += f[3] }
  match($0, /Errors \([0-9]+ failures, [0-9]+ tests, [0-9]+ ran/) {
    number = $1; sub(/:.*/, "", number)
    split(substr($0, RSTART), f, /[( ]/)
    passed += f[7] - f[3]
    completed[number] = 1
  }
  /\*\*\*(Failed|Timeout|Exception|Not Run)/ {
    number = $0; sub(/.*Test +#/, "", number); sub(/:.*/, "", number)
    if ($0 ~ /\*\*\*Failed/ && completed[number]) next
    print "ended abnormally: " package[number]
    failures++
  }
  END {
    printf "%d passed, %d failed\n", passed, failures
    exit !(failures == 0 && passed > 0 && missing == 0)
  }' "$log"
