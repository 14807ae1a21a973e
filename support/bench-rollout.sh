#!/usr/bin/env bash
# Measures the time from the acceptance of a configuration until it is in force on 8 entries, over
# 60 changes.
set -euo pipefail
cd "$(dirname "$0")/.."
source support/lib.sh
start_system 3 8
for i in 0 1; do
  printf '[pool p]\n[workspace w]\nweight = %d\n[route r]\nworkspace = w\npath = /r/\npool = p\n' $((i + 1)) >"$run/$i.ini"
done
persimmonctl apply "$run/0.ini" >/dev/null
for ((i = 1; i <= 60; i++)); do
  persimmonctl apply "$run/$((i % 2)).ini" | sed -nE 's/^in force on 8 entries after ([0-9]+) ms.*/\1/p'
done | sort -n | awk '{ v[NR] = $1 } END {
  printf "changes %d, in force on 8 entries: p50 %d ms, p99 %d ms, longest %d ms\n", NR, v[int(NR * 0.5 + 0.5)], v[int(NR * 0.99 + 0.5)], v[NR] }'
