# shellcheck shell=bash disable=SC2154
# Cells of scripts/process-faults.sh. Each function returns 0 if the outcome is right and otherwise
# sets `failure` to the cause. `build`, `logs`, `agents` and `clients` are those of the sourcing
# script.

LeaseMicros=3000000 # default of --gang-lease-ms
SkewMicros=250000   # default of --max-clock-skew-ms

fail_cell() { # TEXT
  failure=$1
  return 1
}

note() { echo "# $*"; }

# Submits a gang of whole workers and sets `job` to its id.
submit_gang() { # ENTRY REQUEST_ID MEMBERS COMMAND [OPTIONS...]
  local entry=$1 id=$2 members=$3 command=$4 out
  shift 4
  # shellcheck disable=SC2086 # the command is split into words
  out=$(ctl_at "$entry" --output json submit --team south --members "$members" --accelerators 8 \
    --within rack --request-id "$id" "$@" -- $command) || { fail_cell "submission: $out"; return; }
  job=$(grep -o 'j-[0-9a-f]*' <<<"$out" | head -n 1)
  [ -n "$job" ] || fail_cell "no job id in $out"
}

tasks_running() { [ "$(running_tasks "$1")" -eq "$2" ]; }
attempt_ended() { [ "$(task_runs "$1" | awk -v a="$2" '$1 == a && $5 == 0' | wc -l)" -eq 0 ]; }
last_attempt() { task_runs "$1" | awk 'END {print $1 + 0}'; }
last_end() { task_runs "$1" | awk -v a="$2" '$1 == a && $5 > m {m = $5} END {printf "%.0f", m}'; }

# Checks that the job completed for its caller and that its last attempt ran all members for the
# whole run time.
job_ran_fully() { # JOB MEMBERS RUN_SECONDS
  local out full_members
  out=$(ctl --timeout 120 wait "$1") || { fail_cell "wait: $out"; return; }
  [[ "$out" == *COMPLETED* ]] || { fail_cell "the job did not complete: $out"; return; }
  full_members=$(task_runs "$1" | awk -v a="$(last_attempt "$1")" -v t="$3" \
    '$1 == a && $5 - $4 >= t * 1000000 {n++} END {print n + 0}')
  [ "$full_members" -eq "$2" ] || fail_cell "$full_members of $2 members ran for the whole run time: $(task_runs "$1" | tr '\n' ';')"
}

# Checks that each attempt started only after all tasks of the earlier one had ended.
attempts_do_not_overlap() { # JOB
  task_runs "$1" | awk '{if (!($1 in first) || $4 < first[$1]) first[$1] = $4
    if ($5 > last[$1]) last[$1] = $5}
    END {for (a in first) for (b in first) if (a < b && last[a] > first[b]) exit 1}' \
    || fail_cell "attempts overlap: $(task_runs "$1" | tr '\n' ';')"
}

# Starts a gang of two; sets `job` to its id and `victim` to the number of one member's agent.
run_gang() { # REQUEST_ID RUN_SECONDS
  submit_gang 1 "$1" 2 "sleep $2" || return
  wait_until 60 tasks_running "$job" 2 || { fail_cell "the gang did not start: $(ctl status "$job")"; return; }
  victim=$(task_runs "$job" | awk 'NR == 1 {sub("worker-", "", $3); print $3}')
}

partial_gang_ended() { # JOB ATTEMPT LOST_AT_MICROS
  local late
  wait_until 60 attempt_ended "$1" "$2" || { fail_cell "a task of the gang still runs"; return; }
  late=$(($(last_end "$1" "$2") - $3))
  note "last task of the gang ended $((late / 1000)) ms after the loss"
  [ "$late" -le $((LeaseMicros + SkewMicros)) ] || fail_cell "a task ran $((late / 1000)) ms after the loss"
}

gang_agent_killed() {
  local lost attempt
  run_gang gang-killed 8 || return
  attempt=$(last_attempt "$job")
  kill_process "agent-$victim"
  lost=$(now_micros)
  partial_gang_ended "$job" "$attempt" "$lost" && job_ran_fully "$job" 2 8 && attempts_do_not_overlap "$job"
}

gang_agent_stopped() {
  local lost attempt ended
  run_gang gang-stopped 8 || return
  attempt=$(last_attempt "$job")
  signal_process "agent-$victim" STOP
  lost=$(now_micros)
  partial_gang_ended "$job" "$attempt" "$lost" || { signal_process "agent-$victim" CONT; return 1; }
  ended=$(last_end "$job" "$attempt")
  sleep 2 # so that the pause is longer than the gang lease and the failure detection
  signal_process "agent-$victim" CONT
  job_ran_fully "$job" 2 8 && attempts_do_not_overlap "$job" || return
  [ "$(last_end "$job" "$attempt")" -eq "$ended" ] || fail_cell "the resumed agent revived attempt $attempt"
}

# Starts hyssopctl in the background; reap TAG waits for it, sets `out` and returns its exit code.
declare -A client_of=()
in_background() { # TAG ENTRY ARGUMENTS...
  local tag=$1 entry=$2
  shift 2
  "$build/hyssopctl" --entry "127.0.0.1:$((base + 10 + entry))" "$@" >"$logs/out.$tag" 2>&1 &
  client_of[$tag]=$!
  clients+=("$!")
}
reap() { # TAG
  local code=0
  wait "${client_of[$1]}" || code=$?
  unset "client_of[$1]"
  out=$(<"$logs/out.$1")
  return "$code"
}

count_runs() { runner_runs | grep -cx "$1"; }
has_run() { [ "$(count_runs "$1")" -ge 1 ]; }

token_entry_killed() {
  local token out code=0
  restart_runners 3000 || { fail_cell "the runners did not start"; return; }
  token=$(ctl_at 1 reserve --team south) || { fail_cell "reserve: $token"; return; }
  in_background token 1 call --team south --not-repeatable --token "$token" --request-id tok once-token
  wait_until 60 has_run once-token || { fail_cell "the call did not reach a runner"; return; }
  kill_process entry-1
  reap token
  note "caller at the killed entry: $out"
  [[ "$out" != *NotRun* ]] || { fail_cell "the caller was told that a running call did not run"; return; }
  out=$(ctl_at 2 call --team south --not-repeatable --token "$token" --request-id tok once-token) || code=$?
  [ "$(count_runs once-token)" -eq 1 ] || { fail_cell "$(count_runs once-token) runs"; return; }
  [ "$code:$out" = "0:answer to once-token" ] || fail_cell "repetition: exit $code, $out"
}

decider() { ctl_at "$1" nodes | sed -n 's/^decider entry-\([0-9]*\),.*/\1/p'; }

job_entry_killed() {
  local leader other out
  leader=$(decider 2)
  [ -n "$leader" ] || { fail_cell "no decider"; return; }
  other=$((leader % 3 + 1))
  submit_gang "$leader" once-job 2 "sleep 4" --not-repeatable || return
  kill_process "entry-$leader"
  submit_gang "$other" once-job 2 "sleep 4" --not-repeatable || return
  out=$(ctl_at "$other" --timeout 120 wait "$job")
  note "after the kill of the decider entry-$leader: $(tail -n 1 <<<"$out")"
  [ "$(task_runs "$job" | awk '{print $1}' | sort -u | wc -l)" -eq 1 ] \
    || { fail_cell "the number of attempts is not one: $(task_runs "$job" | tr '\n' ';')"; return; }
  job_ran_fully "$job" 2 4
}

# Starts calls in the background and returns when every one of them runs on a runner.
calls_in_flight() { # COUNT PREFIX ENTRY
  local i
  restart_runners 4000 || { fail_cell "the runners did not start"; return; }
  for ((i = 1; i <= $1; i++)); do
    in_background "$2-$i" "$3" call --team south --request-id "$2-$i" "$2-$i"
  done
  for ((i = 1; i <= $1; i++)); do
    wait_until 60 has_run "$2-$i" || { fail_cell "call $i did not reach a runner"; return; }
  done
}

all_answered() { # COUNT PREFIX
  local i bad=0 out
  for ((i = 1; i <= $1; i++)); do
    if ! reap "$2-$i" || [ "$out" != "answer to $2-$i" ]; then
      note "call $i: $out"
      bad=$((bad + 1))
    elif [ "$(count_runs "$2-$i")" -ne 1 ]; then
      note "call $i was interrupted: $(count_runs "$2-$i") runs"
      bad=$((bad + 1))
    fi
  done
  [ "$bad" -eq 0 ] || fail_cell "$bad of $1 calls in flight were interrupted"
}

entry_terminated() {
  local code=0
  calls_in_flight 8 term-entry 1 || return
  signal_process entry-1 TERM
  all_answered 8 term-entry || return
  await_exit entry-1 60 || code=$?
  [ "$code" -eq 0 ] || fail_cell "the entry ended with code $code"
}

# Sets `victim` to an agent whose runner has run a call.
busy_agent() {
  for victim in "${agents[@]}"; do [ -n "$(runner_runs "$victim")" ] && return; done
  fail_cell "no runner has run a call"
}

agent_terminated() {
  local code=0
  calls_in_flight 8 term-agent 2 || return
  busy_agent || return
  signal_process "agent-$victim" TERM
  all_answered 8 term-agent || return
  await_exit "agent-$victim" 60 || code=$?
  [ "$code" -eq 0 ] || fail_cell "the agent ended with code $code"
}

# Sends calls and one-accelerator jobs for the given time, at most 200 requests.
offer_work() { # SECONDS PREFIX
  local end=$((SECONDS + $1)) n
  for ((n = 0; n < 100 && SECONDS < end; n++)); do
    ctl --timeout 5 call --team south --request-id "$2-$n" "$2-$n" >/dev/null
    ctl --timeout 5 submit --team south --request-id "$2-job-$n" -- sleep 1 >/dev/null
  done
}

started_tasks_after() { # WORKER_NUMBER MICROS
  curl -sf -m 10 "http://127.0.0.1:$((base + 100 + $1))/runs" | grep -oE '"from":[0-9]+' \
    | awk -F: -v t="$2" '$2 > t {n++} END {print n + 0}'
}

agent_leaving() {
  local left before after others tasks code=0
  calls_in_flight 8 leave 1 || return # the leaving agent does not exit while calls are in flight
  busy_agent || return
  left=$(now_micros)
  signal_process "agent-$victim" TERM
  offer_work 3 leave-early
  sleep 0.5
  before=$(runner_runs "$victim" | wc -l)
  others=$(runner_runs | wc -l)
  offer_work 6 leave-late
  after=$(runner_runs "$victim" | wc -l)
  tasks=$(started_tasks_after "$victim" $((left + 3000000)))
  note "calls run elsewhere meanwhile: $(($(runner_runs | wc -l) - others))"
  [ "$(runner_runs | wc -l)" -gt "$others" ] || { fail_cell "no call ran anywhere"; return; }
  [ "$before" -eq "$after" ] || { fail_cell "$((after - before)) calls began later than 3 s"; return; }
  [ "$tasks" -eq 0 ] || { fail_cell "$tasks tasks began later than 3 s"; return; }
  all_answered 8 leave || return
  await_exit "agent-$victim" 60 || code=$?
  [ "$code" -eq 0 ] || fail_cell "the agent ended with code $code"
}

# HTTP ports of all entries and agents.
status_ports() {
  local i
  for i in "${entries[@]}"; do echo $((base + 10 + i)); done
  for i in "${agents[@]}"; do echo $((base + 40 + i)); done
}

all_have_version() { # VERSION
  local port have
  for port in $(status_ports); do
    have=$(metric "$port" hyssoppond_config_version)
    [ "${have:-0}" -ge "$1" ] || { outdated_port="port +$((port - base)) has ${have:-none}"; return 1; }
  done
}

config_log_down() {
  local out version from
  out=$(ctl_at 1 quota south '{"weight":7}') || { fail_cell "publish: $out"; return; }
  log_faults '{"down":true}'
  from=$(now_micros)
  version=$(sed -n 's/.*version \([0-9]*\)$/\1/p' <<<"$out")
  config_during_outage "$version" "$from"
  local code=$?
  log_faults '{"down":false}'
  [ "$code" -eq 0 ] || return "$code"
  wait_until 60 fleet_ready || { fail_cell "the site is not complete after the outage"; return; }
  all_have_version "$version" || fail_cell "the configuration reverted: $outdated_port"
}

config_during_outage() { # VERSION FROM_MICROS
  wait_until 60 all_have_version "$1" || { fail_cell "version $1 is not everywhere: $outdated_port"; return; }
  note "version $1 was in force everywhere after $((($(now_micros) - $2) / 1000)) ms"
  kill_process entry-3
  start_entry 3
  wait_until 60 all_have_version "$1" || { fail_cell "the restarted entry: $outdated_port"; return; }
  wait_until 30 shows_weight 3 || fail_cell "the restarted entry shows: $(ctl_at 3 --timeout 5 config show)"
}

shows_weight() { ctl_at "$1" --timeout 5 config show team/ | grep -q '^team/south .*"weight":7'; }

urgent_submit() {
  ctl --timeout 30 --output json submit --team north --members 2 --accelerators 8 --within rack \
    --urgency urgent --request-id urgent-outage -- sleep 3
}

urgent_log_down() {
  local out from code=0
  sleep 2 # until the decider's outage lease is in the journal
  log_faults '{"down":true}'
  from=$(now_micros)
  out=$(urgent_submit) || code=$?
  job=$(grep -o 'j-[0-9a-f]*' <<<"$out" | head -n 1)
  if [ "$code" -ne 0 ] || [ -z "$job" ]; then
    fail_cell "submission during the outage: exit $code, $out"
  elif ! wait_until 60 tasks_started "$job" 2; then
    fail_cell "the urgent gang did not start during the outage"
  else
    note "urgent gang started after $((($(task_runs "$job" | awk 'END {print $4}') - from) / 1000)) ms"
  fi
  log_faults '{"down":false}'
  [ -z "$failure" ] || return 1
  out=$(urgent_submit) || { fail_cell "the same request after the outage: $out"; return; }
  [[ "$out" == *"$job"* ]] || { fail_cell "the same request gave another job"; return; }
  job_ran_fully "$job" 2 3 && attempts_do_not_overlap "$job" || return
  [ "$(task_runs "$job" | wc -l)" -eq 2 ] || fail_cell "it ran more than once: $(task_runs "$job" | tr '\n' ';')"
}

tasks_started() { [ "$(task_runs "$1" | wc -l)" -eq "$2" ]; }

# Sends the calls of one client one after another; logs each answer that is not the expected one.
client_calls() { # CLIENT COUNT PREFIX
  local n out
  for ((n = 1; n <= $2; n++)); do
    out=$(ctl --timeout 30 call --team south --caller "client-$1" --request-id "$3-$1-$n" "$3-$1-$n")
    [ "$out" = "answer to $3-$1-$n" ] || echo "$3-$1-$n: $out" >>"$logs/bad.$3"
    echo >>"$logs/done.$3"
  done
}

start_client_calls() { # CLIENTS COUNT PREFIX
  local c
  callers=()
  : >"$logs/bad.$3"
  : >"$logs/done.$3"
  for ((c = 1; c <= $1; c++)); do
    client_calls "$c" "$2" "$3" &
    callers+=("$!")
    clients+=("$!")
  done
}

all_own_answers() { # PREFIX
  wait "${callers[@]}"
  note "$(wc -l <"$logs/done.$1") calls"
  [ -s "$logs/bad.$1" ] || return 0
  fail_cell "$(wc -l <"$logs/bad.$1") wrong answers or failures, first: $(head -n 1 "$logs/bad.$1")"
}

answers_reached() { [ "$(wc -l <"$logs/done.$1")" -ge "$2" ]; }

calls_agent_killed() {
  restart_runners 200 || { fail_cell "the runners did not start"; return; }
  start_client_calls 6 25 own
  wait_until 60 answers_reached own 30 || { fail_cell "calls make no progress"; return; }
  kill_process agent-1
  all_own_answers own
}

calls_agent_silent() {
  restart_runners 50 || { fail_cell "the runners did not start"; return; }
  signal_process agent-2 STOP
  start_client_calls 4 15 silent
  all_own_answers silent
  local code=$?
  signal_process agent-2 CONT
  return "$code"
}
