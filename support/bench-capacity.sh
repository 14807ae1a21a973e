#!/usr/bin/env bash
# Measures how memory, CPU and control traffic of the roles grow with the load, for
# docs/CAPACITY.md. Each table has at least three points and ends with the linear fit and the largest
# ratio between a point and the fit: support/bench-capacity.sh [workers|rows|changes|tasks]...
set -euo pipefail
cd "$(dirname "$0")/.."
window="${WINDOW:-8}"

# bytes_of PID PORT_PATTERN: prints the bytes sent and received so far on those established
# connections of a process whose local or peer port matches.
bytes_of() {
  ss -tinpH state established 2>/dev/null | awk -v pid="pid=$1," -v ports="$2" '
    /users:/ { keep = index($0, pid) && ($0 ~ ports) }
    !/users:/ && keep {
      for (i = 1; i <= NF; i++) {
        if ($i ~ /^bytes_sent:/) { split($i, a, ":"); total += a[2] }
        if ($i ~ /^bytes_received:/) { split($i, a, ":"); total += a[2] }
      }
      keep = 0
    }
    END { print total + 0 }'
}
rpc_ports=':1700[024] '

# window_row X: prints X and the memory, CPU share and control traffic of the leader and entry-0 over
# one window.
window_row() {
  local leader entry before_l before_e bytes_l bytes_e
  leader="control-$(leader_number)"
  entry="entry-0"
  before_l=$(cpu_ticks "$leader") before_e=$(cpu_ticks "$entry")
  bytes_l=$(bytes_of "${pids[$leader]}" "$rpc_ports") bytes_e=$(bytes_of "${pids[$entry]}" "$rpc_ports")
  sleep "$window"
  awk -v x="$1" -v w="$window" -v lk="$(memory_kb "$leader")" -v ek="$(memory_kb "$entry")" \
    -v lt="$(($(cpu_ticks "$leader") - before_l))" -v et="$(($(cpu_ticks "$entry") - before_e))" \
    -v lb="$(($(bytes_of "${pids[$leader]}" "$rpc_ports") - bytes_l))" \
    -v eb="$(($(bytes_of "${pids[$entry]}" "$rpc_ports") - bytes_e))" \
    'BEGIN { printf "%10s %12d %12d %12.2f %12.2f %12.0f %12.0f\n", x, lk, ek, lt / w, et / w, lb / w, eb / w }'
}

leader_number() {
  for i in 0 1 2; do
    if curl -sf "http://$(control_http "$i")/v1/status" >/dev/null; then echo "$i"; return; fi
  done
  echo 0
}

header() {
  echo
  echo "== $1"
  printf '%10s %12s %12s %12s %12s %12s %12s\n' "$2" "leader KiB" "entry KiB" "leader CPU%" "entry CPU%" \
    "leader B/s" "entry B/s"
}

# fit: copies a table from standard input and appends slope, intercept and worst ratio of each column.
fit() {
  awk '{ print; for (c = 1; c <= 7; c++) v[NR, c] = $c; n = NR }
    END {
      printf "%10s", "slope"
      for (c = 2; c <= 7; c++) {
        sx = sy = sxx = sxy = 0
        for (i = 1; i <= n; i++) { x = v[i, 1]; y = v[i, c]; sx += x; sy += y; sxx += x * x; sxy += x * y }
        b = (n * sxy - sx * sy) / (n * sxx - sx * sx); a = (sy - b * sx) / n
        slope[c] = b; base[c] = a
        printf " %12.5f", b
      }
      printf "\n%10s", "base"
      for (c = 2; c <= 7; c++) printf " %12.2f", base[c]
      printf "\n%10s", "worst"
      for (c = 2; c <= 7; c++) {
        worst = 1
        for (i = 1; i <= n; i++) {
          f = base[c] + slope[c] * v[i, 1]
          if (f > 0 && v[i, c] > 0) { r = v[i, c] / f; if (r < 1) r = 1 / r; if (r > worst) worst = r }
        }
        printf " %12.2f", worst
      }
      printf "\n"
    }'
}

write_tables() { # FILE ROWS: writes ROWS routes and a tenth as many workspaces
  {
    printf '[pool p]\n'
    for ((i = 0; i < $2 / 10 + 1; i++)); do printf '[workspace w%d]\nquota_accelerators = 1000\n' "$i"; done
    for ((i = 0; i < $2; i++)); do
      printf '[route r%d]\nworkspace = w%d\npath = /r%d/\npool = p\n' "$i" $((i % ($2 / 10 + 1))) "$i"
    done
  } >"$1"
}

run_isolated() { # COMMAND...: runs a command in a subshell with a newly started system
  (
    source support/lib.sh
    start_system 3 1
    write_tables "$run/small.ini" 10
    persimmonctl apply "$run/small.ini" >/dev/null
    "$@"
  )
}

upstream_point() {
  start_upstreams fleet 17900 --pool p --count "$1" --shared-listener
  sleep 6
  window_row "$1"
}

workers() {
  header "announcing workers (period 1 s, one entry takes all)" workers
  for count in 50 200 500 1000; do run_isolated upstream_point "$count"; done | fit
}

tables_point() {
  write_tables "$run/t.ini" "$1"
  persimmonctl apply "$run/t.ini" >/dev/null
  sleep 1
  window_row "$1"
}

rows() {
  header "rows of the tables (idle)" rows
  for count in 10 400 1000 2000; do run_isolated tables_point "$count"; done | fit
}

changes_point() { # CHANGES_PER_SECOND, with tables of 1000 rows
  write_tables "$run/a.ini" 1000
  sed 's/quota_accelerators = 1000/quota_accelerators = 1001/' "$run/a.ini" >"$run/b.ini"
  persimmonctl apply "$run/a.ini" >/dev/null
  (
    trap - EXIT
    end=$((SECONDS + window + 2))
    i=0
    while [ "$SECONDS" -lt "$end" ]; do
      i=$((i + 1))
      if [ $((i % 2)) -eq 0 ]; then file=a; else file=b; fi
      persimmonctl apply "$run/$file.ini" >/dev/null 2>&1 &
      sleep "$(awk -v r="$1" 'BEGIN { print 1 / r }')"
    done
    wait
  ) &
  sleep 1
  window_row "$1"
  wait $! || true
}

changes() {
  header "configuration changes a second (tables of 1000 rows)" "changes/s"
  for rate in 0.5 1 2; do run_isolated changes_point "$rate"; done | fit
}

jobs_point() { # TASKS, which run in gangs of 8
  start_upstreams fleet 17900 --pool p --count 500 --shared-listener --run-ms 600000
  sleep 4
  load_tool --targets "$(entry_http 0)" --path /v1/jobs --clients 4 --requests $(($1 / 32)) --seconds 60 --body '{"workspace":"w0",
    "pool":"p","tasks":8,"accelerators":1,"cores":1,"memory_mb":64,"declared_seconds":600}' >/dev/null || true # exits with 1, because answers to /v1/jobs do not echo the key
  sleep 6
  window_row "$1"
}

tasks() {
  header "running tasks (500 workers, gangs of 8)" tasks
  for count in 64 512 960; do run_isolated jobs_point "$count"; done | fit
}

if [ $# -gt 0 ]; then
  for name in "$@"; do "$name"; done
else
  workers
  rows
  changes
  tasks
fi
