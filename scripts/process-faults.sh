#!/usr/bin/env bash
# Runs fault cells with real processes on loopback. The verdicts are based on the answers that callers
# get and on the records of workers and runners. Prints one line per cell, "invariant fault step result",
# and "N passed, N failed". Usage: process-faults.sh BUILD_DIR [FAULT...]; FAULTS_PORT is the first
# of the 210 ports that are used.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
source scripts/lib-processes.sh
source scripts/process-cells.sh
fleet_init "${1:-build}" "${FAULTS_PORT:-18000}"
shift || true
selected=("$@")
passed=0
failed=0
clients=()

finish() {
  local pid
  for pid in "${clients[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  fleet_finish
  if [ "$failed" -ne 0 ]; then echo "# logs of the processes: $logs"; else rm -rf "$logs"; fi
}
trap finish EXIT
trap 'exit 130' INT TERM

# Runs one cell on a complete site. A site that cannot be restored fails the cell.
cell() { # INVARIANT FAULT STEP FUNCTION
  [ "${#selected[@]}" -eq 0 ] || [[ " ${selected[*]} " == *" $2 "* ]] || return 0
  failure=""
  if ! fleet_restore; then
    failure="the site was not complete before the cell"
  else
    "$4" || failure=${failure:-"$4 failed"}
  fi
  if [ -z "$failure" ]; then
    passed=$((passed + 1))
    echo "$1 $2 $3 passed"
  else
    failed=$((failed + 1))
    echo "$1 $2 $3 failed: $failure"
  fi
}

setup() {
  fleet_start 50 || { echo "the site did not start:"; ctl nodes; return 1; }
  ctl quota north '{"weight":1}' && ctl quota south '{"weight":1}' \
    && ctl reservation north/routes '{"members":2,"accelerators_per_member":8,"within":"Rack"}'
}

setup >"$logs/setup.txt" || { cat "$logs/setup.txt"; failed=1; exit 1; }
# This cell runs first: the outage lease of a decider that a later cell kills would prevent other
# deciders from taking one for 30 minutes.
cell I1 log-down-urgent urgent-submitted urgent_log_down
cell I2 agent-killed gang-running gang_agent_killed
cell I2 agent-stopped past-the-lease gang_agent_stopped
cell I5 entry-killed token-call-in-flight token_entry_killed
cell I5 entry-killed-job job-submitted job_entry_killed
cell I7 entry-terminated calls-in-flight entry_terminated
cell I7 agent-terminated calls-in-flight agent_terminated
cell I6 agent-leaving under-load agent_leaving
cell I8 log-down config-published config_log_down
cell I3 agent-killed-calls concurrent-calls calls_agent_killed
cell I3 agent-silent calls-offered calls_agent_silent
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
