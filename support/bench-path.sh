#!/usr/bin/env bash
# Compares requests through an entry with the same requests sent directly to a stand-in upstream, in
# one run. Also prints memory, threads and idle CPU of each process.
set -euo pipefail
cd "$(dirname "$0")/.."
source support/lib.sh
seconds="${SECONDS_PER_RUN:-5}"
start_system 3 2
start_upstreams worker 17900 --pool boards --count 4
printf '[route b]\nworkspace = w\npath = /b/\npool = boards\n[route once]\nworkspace = w\npath = /once/\npool = boards
repeatable = false\n[pool boards]\n[workspace w]\n' >"$run/tables.ini"
persimmonctl apply "$run/tables.ini" >/dev/null
wait_for 10 curl -sf "http://$(entry_http 0)/b/x"
sleep 2

report_processes() {
  printf '%-12s %10s %8s\n' process "KiB" threads
  for name in control-0 control-1 control-2 entry-0 entry-1; do
    printf '%-12s %10s %8s\n' "$name" "$(memory_kb "$name")" "$(threads "$name")"
  done
}

echo "idle, after 2 s:"
report_processes
declare -A before
for name in control-0 control-1 control-2 entry-0 entry-1; do before[$name]=$(cpu_ticks "$name"); done
sleep 10
echo "idle CPU over 10 s, share of one core:"
for name in control-0 control-1 control-2 entry-0 entry-1; do
  awk -v n="$name" -v t="$(($(cpu_ticks "$name") - before[$name]))" 'BEGIN { printf "%-12s %.2f%%\n", n, t / 10 }'
done

row() {
  printf '%-34s' "$1"
  shift
  load_tool --seconds "$seconds" "$@" | jq -r '"\(.per_second | round)/s p50 \(.p50_ms) ms p99 \(.p99_ms) ms errors \(.requests - .ran + .transport_errors)"'
}
for clients in 1 8 32; do
  row "direct, $clients clients" --targets 127.0.0.1:17900 --path /b/x --clients "$clients"
  row "entry, $clients clients" --targets "$(entry_http 0)" --path /b/x --clients "$clients"
  row "entry at most once, $clients clients" --targets "$(entry_http 0)" --path /once/x --clients "$clients" --key-prefix "c$clients"
done
echo "under load:"
report_processes
