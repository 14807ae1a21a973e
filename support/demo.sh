#!/usr/bin/env bash
# Builds the programs and runs a small system on loopback: three control and two entry processes and
# four stand-in workers. Shows a routed request, a gang of 16 accelerators and a planned stop under load.
set -euo pipefail
cd "$(dirname "$0")/.."
bash support/install.sh
bash support/build.sh build
source support/lib.sh
begin=$SECONDS
step() { echo; echo "== $*"; }

step "three control and two entry processes"
start_system 3 2
start_upstreams worker 17900 --pool boards --count 4 --request-ms 50 --run-ms 2000

step "apply the tables"
cat >"$run/tables.ini" <<'INI'
[route boards]
workspace = moreton
path = /boards/
pool = boards
[pool boards]
[workspace moreton]
guarantee = boards:1*2x8
[workspace ceiba]
INI
persimmonctl apply "$run/tables.ini"

step "a routed request"
wait_for 10 curl -sf "http://$(entry_http 0)/boards/caboolture"
wait_for 10 curl -sf "http://$(entry_http 1)/boards/caboolture"
curl -s -i "http://$(entry_http 0)/boards/caboolture" | grep -iE '^HTTP|outcome|worker'

step "a gang of 16 accelerators on two workers"
id=$(curl -s -X POST -H 'Idempotency-Key: demo-1' "http://$(entry_http 1)/v1/jobs" -d '{"workspace":"moreton",
  "pool":"boards","tasks":2,"accelerators":8,"cores":4,"memory_mb":1024,"declared_seconds":2}' |
  sed -E 's/.*"id" *: *([0-9]+).*/\1/')
wait_for 20 bash -c "curl -s http://$(entry_http 0)/v1/jobs/$id | grep -q '\"state\":\"done\"'"
curl -s "http://$(entry_http 0)/v1/jobs/$id/result"
echo
persimmonctl explain "$id"

step "planned stop of one entry under load"
load_tool --targets "$entry_addresses" --path /boards/x --clients 16 --seconds 6 --follow-readiness \
  >"$run/load.json" &
load=$!
sleep 2
stop entry-0 TERM && echo "entry-0 exited with 0"
wait "$load"
cat "$run/load.json"
grep -q '"transport_errors":0' "$run/load.json"
grep -q '"unknown":0' "$run/load.json"

step "status"
persimmonctl status
for name in control-0 entry-1; do echo "$name: $(memory_kb "$name") KiB resident"; done
echo
echo "demo finished in $((SECONDS - begin)) s"
