# shellcheck shell=bash
# Library of functions that run a site of stand-ins, entries and agents as processes on loopback.
# fleet_init sets the ports and the log directory; fleet_finish kills only the processes that
# start_process started, by their ids.

declare -A pid_of=()

fleet_init() { # BUILD_DIR BASE_PORT
  build=$(realpath "$1")
  base=$2
  entries=(1 2 3)
  agents=(1 2 3 4)
  logs=$(mktemp -d)
}

start_process() { # NAME PROGRAM ARGUMENTS...
  local name=$1 program=$2
  shift 2
  "$build/$program" "$@" >>"$logs/$name.log" 2>&1 &
  pid_of[$name]=$!
}

signal_process() { # NAME SIGNAL
  kill -"$2" "${pid_of[$1]}"
}

# Kills a process with SIGKILL and waits for its end.
kill_process() { # NAME
  kill -KILL "${pid_of[$1]}" 2>/dev/null || true
  wait "${pid_of[$1]}" 2>/dev/null || true
  unset "pid_of[$1]"
}

# Waits for the end of a process after SIGTERM and returns its exit code. A process that still runs
# after the time limit is killed, which gives 137.
await_exit() { # NAME SECONDS
  local pid=${pid_of[$1]} code=0
  if ! wait_until "$2" process_ended "$1"; then
    kill -KILL "$pid" 2>/dev/null || true
  fi
  wait "$pid" 2>/dev/null || code=$?
  unset "pid_of[$1]"
  return "$code"
}

process_ended() { # NAME
  local state
  state=$(ps -o stat= -p "${pid_of[$1]}" 2>/dev/null) || return 0
  [[ "$state" == Z* || -z "$state" ]]
}

fleet_finish() {
  local name
  for name in "${!pid_of[@]}"; do kill_process "$name"; done
}

control_seeds() {
  echo "127.0.0.1:$((base + 21)),127.0.0.1:$((base + 22)),127.0.0.1:$((base + 23))"
}

start_log() { start_process log hyssoppond-log-standin --listen "127.0.0.1:$base"; }

start_worker() { # NUMBER
  start_process "worker-$1" hyssoppond-worker-standin --listen "127.0.0.1:$((base + 100 + $1))" \
    --accelerators 8
}

start_runner() { # NUMBER SERVICE_MS
  start_process "runner-$1" hyssoppond-runner-standin --listen "127.0.0.1:$((base + 200 + $1))" \
    --service-ms "$2"
}

start_entry() { # NUMBER
  start_process "entry-$1" hyssoppond --role entry --name "entry-$1" --zone "zone-$1" \
    --control "127.0.0.1:$((base + 20 + $1))" --http "127.0.0.1:$((base + 10 + $1))" \
    --seeds "$(control_seeds)" --log "127.0.0.1:$base"
}

# Each agent serves a worker and a runner. All workers are in one rack and therefore in one zone.
start_agent() { # NUMBER
  start_process "agent-$1" hyssoppond --role agent --name "agent-$1" --zone zone-1 \
    --control "127.0.0.1:$((base + 30 + $1))" --http "127.0.0.1:$((base + 40 + $1))" \
    --seeds "$(control_seeds)" --rack rack-1 \
    --worker "worker-$1" --worker-url "http://127.0.0.1:$((base + 100 + $1))" \
    --runner "runner-$1" --runner-url "http://127.0.0.1:$((base + 200 + $1))"
}

# Replaces all runners, which also clears their records of calls.
restart_runners() { # SERVICE_MS
  local i
  for i in "${agents[@]}"; do
    [ -z "${pid_of[runner-$i]:-}" ] || kill_process "runner-$i"
    start_runner "$i" "$1"
  done
  for i in "${agents[@]}"; do wait_until 30 runner_answers "$i"; done
}

runner_answers() { curl -sf -m 5 "http://127.0.0.1:$((base + 200 + $1))/runs" >/dev/null; }

fleet_start() { # RUNNER_SERVICE_MS
  local i
  start_log
  for i in "${agents[@]}"; do start_worker "$i"; done
  restart_runners "$1"
  for i in "${entries[@]}"; do start_entry "$i"; done
  for i in "${agents[@]}"; do start_agent "$i"; done
  wait_until 60 fleet_ready
}

# True if every entry sees itself and all other processes alive, knows a decider, and sees no worker
# as failed, quarantined or draining.
fleet_ready() {
  local i nodes
  for i in "${entries[@]}"; do
    nodes=$(ctl_at "$i" --timeout 5 nodes) || return 1
    [ "$(awk '$4 == "Alive"' <<<"$nodes" | wc -l)" -ge $((${#entries[@]} + ${#agents[@]})) ] || return 1
    grep -q '^decider entry-' <<<"$nodes" || return 1
    grep -Eq 'Failed|Guarded|Draining' <<<"$nodes" && return 1
  done
  return 0
}

# Restarts the processes that a cell ended, so that each cell begins with a complete site.
fleet_restore() {
  local i
  for i in "${entries[@]}"; do [ -n "${pid_of[entry-$i]:-}" ] || start_entry "$i"; done
  for i in "${agents[@]}"; do [ -n "${pid_of[agent-$i]:-}" ] || start_agent "$i"; done
  wait_until 60 fleet_ready
}

# Runs hyssopctl against one entry (ctl_at) or against all entries (ctl).
ctl_at() { # ENTRY_NUMBER ARGUMENTS...
  local entry=$1
  shift
  "$build/hyssopctl" --entry "127.0.0.1:$((base + 10 + entry))" "$@" 2>&1
}
ctl() {
  "$build/hyssopctl" --entry \
    "127.0.0.1:$((base + 11)),127.0.0.1:$((base + 12)),127.0.0.1:$((base + 13))" "$@" 2>&1
}

# Polls a command until it succeeds and fails after the time limit. Callers give generous limits, so
# that a verdict does not depend on the speed of the machine.
wait_until() { # SECONDS COMMAND...
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

now_micros() { date +%s%6N; }

log_faults() { # JSON
  curl -sf -m 10 -X POST -d "$1" "http://127.0.0.1:$base/admin/faults" >/dev/null
}

metric() { # PORT NAME
  curl -sf -m 5 "http://127.0.0.1:$1/metrics" | awk -v name="$2" '$1 == name {printf "%d", $2}'
}

# Task records of all workers for one job, one task per line: attempt member worker from until. Times
# are in microseconds since the epoch; until is 0 while the task runs.
task_runs() { # JOB
  local i
  for i in "${agents[@]}"; do
    curl -sf -m 10 "http://127.0.0.1:$((base + 100 + i))/runs" \
      | grep -oE '\{"from":[0-9]+,"id":\{[^}]*\}(,"until":[0-9]+)?\}' | grep -F "\"$1\"" \
      | sed -E 's/.*"from":([0-9]+).*"attempt":([0-9]+).*"member":([0-9]+)[^,]*(,"until":([0-9]+))?.*/\2 \3 W \1 0\5/' \
      | sed "s/ W / worker-$i /" || true
  done | awk '{sub(/^0+/, "", $5); print $1, $2, $3, $4, $5 == "" ? "0" : $5}' | sort -n
}

running_tasks() { task_runs "$1" | awk '$5 == 0' | wc -l; }

# Payloads of the calls that a runner has run, one per line; without a number, of all runners.
runner_runs() { # [NUMBER]
  local i
  for i in ${1:-"${agents[@]}"}; do curl -sf -m 10 "http://127.0.0.1:$((base + 200 + i))/runs"; done
}
