# Functions of demo.sh, the benchmarks and other scripts to run a small system of real processes on
# loopback. Usage: source support/lib.sh; start_system CONTROLS ENTRIES; ...
# All processes are killed when the shell exits.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build="${PERSIMMON_BUILD:-$root/build}"
run=$(mktemp -d)
base_port="${PERSIMMON_PORT:-17000}"
declare -A pids=()

persimmonctl() { "$build/packages/apps/persimmonctl" --control "$control_addresses" "$@"; }
load_tool() { "$build/packages/tools/load-tool" "$@"; }

control_http() { echo "127.0.0.1:$((base_port + 2 * $1 + 1))"; }
entry_http() { echo "127.0.0.1:$((base_port + 50 + $1))"; }

# launch NAME COMMAND...: starts a background process that logs to NAME.log in the run folder.
launch() {
  local name="$1"
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids[$name]=$!
}

start_control() { launch "control-$1" "$build/packages/apps/persimmond" --role=control --settings "$run/control-$1.ini"; }
start_entry() { launch "entry-$1" "$build/packages/apps/persimmond" --role=entry --settings "$run/entry-$1.ini"; }

# start_upstreams NAME FIRST_PORT OPTIONS...: starts stand-in upstreams that send their announcements
# to all entries, round robin.
start_upstreams() {
  local name="$1" port="$2"
  shift 2
  launch "$name" "$build/packages/tools/upstream-standin" --entries "$entry_addresses" --prefix "$name" \
    --port "$port" "$@"
}

common_settings() { # ID LISTEN
  printf '[instance]\nid = %s\nregion = region-1\nzone = a\n[http]\nlisten = %s\n[control]\nvoters = %s\n' \
    "$1" "$2" "$voters"
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds or the time is over.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || { echo "timed out waiting for: $*" >&2; return 1; }
    sleep 0.1
  done
}

start_system() { # CONTROLS ENTRIES
  voters="" control_addresses="" entry_addresses=""
  for ((i = 0; i < $1; i++)); do
    voters+="${voters:+, }$((i + 1))@127.0.0.1:$((base_port + 2 * i))/$(control_http "$i")"
    control_addresses+="${control_addresses:+,}$(control_http "$i")"
  done
  for ((i = 0; i < $2; i++)); do entry_addresses+="${entry_addresses:+,}$(entry_http "$i")"; done
  for ((i = 0; i < $1; i++)); do
    {
      common_settings "control-$i" "$(control_http "$i")"
      printf 'voter_id = %s\nrpc_listen = 127.0.0.1:%s\ndata_folder = %s\n' $((i + 1)) $((base_port + 2 * i)) \
        "$run/data-$i"
    } >"$run/control-$i.ini"
    start_control "$i"
  done
  for ((i = 0; i < $2; i++)); do
    common_settings "entry-$i" "$(entry_http "$i")" >"$run/entry-$i.ini"
    start_entry "$i"
  done
  wait_for 15 persimmonctl status
}

# stop NAME SIGNAL: sends a signal to a process, waits for it and returns its exit status.
stop() {
  kill "-$2" "${pids[$1]}" 2>/dev/null || true
  wait "${pids[$1]}" 2>/dev/null || return $?
}

stop_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  [ -n "${PERSIMMON_KEEP:-}" ] && echo "logs: $run" || rm -rf "$run"
}
trap stop_all EXIT

memory_kb() { awk '/VmRSS/ { print $2 }' "/proc/${pids[$1]}/status"; }
threads() { awk '/Threads/ { print $2 }' "/proc/${pids[$1]}/status"; }
# Prints the CPU time used by a process so far, in clock ticks of 10 ms.
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/${pids[$1]}/stat"; }
# /proc does not count the bytes sent and received by a process, but the programs do in their metrics.
metric() { curl -s "http://$1/metrics" | awk -v name="$2" '$1 == name { print $2 }'; }
