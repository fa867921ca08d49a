#!/usr/bin/env bash
# End-to-end test with separate processes on loopback: stand-ins of the platform, two entries and an
# agent for each endpoint. Exits 0 only if every check passed. Usage: demo.sh BUILD_DIR. DEMO_PORT is
# the first port (default 17000); with DEMO_KEEP set, the logs are kept.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "${1:-build}")
logs=$(mktemp -d)
base=${DEMO_PORT:-17000}
pids=()
failures=0

# Stops the processes that this script started, by their ids, and removes the logs.
finish() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$failures" -ne 0 ]; then
    echo "last lines of the logs:"
    tail -n 15 "$logs"/*.log
  fi
  if [ -n "${DEMO_KEEP:-}" ]; then echo "logs: $logs"; else rm -rf "$logs"; fi
}
trap finish EXIT

start() { # NAME PROGRAM ARGUMENTS...
  local name=$1 program=$2
  shift 2
  "$build/$program" "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
  last=$!
}

check() { # DESCRIPTION EXPECTED ACTUAL
  if [[ "$3" == *"$2"* ]]; then
    echo "ok: $1"
  else
    echo "FAILED: $1: expected \"$2\", got: $3"
    failures=$((failures + 1))
  fi
}

ctl() { "$build/hyssopctl" --entry "127.0.0.1:$((base + 11)),127.0.0.1:$((base + 12))" "$@" 2>&1 || true; }

wait_for() { # DESCRIPTION EXPECTED COMMAND...
  local description=$1 expected=$2 out=""
  shift 2
  for _ in $(seq 120); do
    out=$("$@")
    [[ "$out" == *"$expected"* ]] && { echo "ok: $description"; return; }
    sleep 0.25
  done
  check "$description" "$expected" "$out"
}

echo "== stand-ins of the platform"
start log hyssoppond-log-standin --listen "127.0.0.1:$base"
for i in 1 2 3; do
  start "worker$i" hyssoppond-worker-standin --listen "127.0.0.1:$((base + 100 + i))" --accelerators 8
done
for i in 1 2; do
  start "runner$i" hyssoppond-runner-standin --listen "127.0.0.1:$((base + 200 + i))"
done

echo "== two entries in different zones, an agent for each endpoint"
entry_pids=()
for i in 1 2; do
  start "entry$i" hyssoppond --role entry --name "entry-$i" --zone "zone-$i" \
    --control "127.0.0.1:$((base + 20 + i))" --http "127.0.0.1:$((base + 10 + i))" \
    --seeds "127.0.0.1:$((base + 21)),127.0.0.1:$((base + 22))" --log "127.0.0.1:$base"
  entry_pids+=("$last")
done
agent_pids=()
for i in 1 2 3; do
  runner=()
  [ "$i" -le 2 ] && runner=(--runner "runner-$i" --runner-url "http://127.0.0.1:$((base + 200 + i))")
  start "agent$i" hyssoppond --role agent --name "agent-$i" --zone zone-1 \
    --control "127.0.0.1:$((base + 30 + i))" --http "127.0.0.1:$((base + 40 + i))" \
    --seeds "127.0.0.1:$((base + 21)),127.0.0.1:$((base + 22))" \
    --worker "worker-$i" --worker-url "http://127.0.0.1:$((base + 100 + i))" --rack rack-1 \
    "${runner[@]}"
  agent_pids+=("$last")
done

wait_for "all endpoints have announced themselves" "2 1 1 1" bash -c \
  "'$build/hyssopctl' --entry 127.0.0.1:$((base + 11)) nodes 2>&1 | awk '/^entry/{e++} /worker-1 .*Usable/{a=1} /worker-2 .*Usable/{b=1} /worker-3 .*Usable/{c=1} END{print e, a, b, c}'"
ctl nodes

echo "== configuration"
check "team north" "version" "$(ctl quota north '{"weight":2}')"
check "team south" "version" "$(ctl quota south '{}')"
check "contract" "version" "$(ctl reservation north/routes '{"members":2,"accelerators_per_member":8,"within":"Rack"}')"
check "a contract that does not fit is refused" "GuaranteeAtRisk" \
  "$(ctl reservation south/all '{"members":3,"accelerators_per_member":8,"within":"Rack"}')"
check "a change with an outdated expected version is refused" "VersionConflict" "$(ctl quota north '{"weight":3}' --expect 1)"
wait_for "the contract is in force at the other entry" "contract/north/routes" \
  "$build/hyssopctl" --entry "127.0.0.1:$((base + 12))" config show

echo "== a gang job over two workers"
out=$(ctl submit --team north --members 2 --accelerators 8 --within rack --urgency urgent \
  --request-id demo-gang --wait -- sleep 2)
echo "$out"
check "gang completed" "COMPLETED" "$out"
runs=$(for i in 1 2 3; do curl -s "http://127.0.0.1:$((base + 100 + i))/runs"; done)
check "the workers ran both members" "2" "$(grep -o '"member"' <<<"$runs" | wc -l)"
# The other entry may be one poll of the journal behind, so only the job id is compared.
check "the same request gives the same job" "$(grep -o -m 1 'j-[0-9a-f]*' <<<"$out")" \
  "$(ctl submit --team north --members 2 --accelerators 8 --within rack --urgency urgent --request-id demo-gang -- sleep 2)"
check "an impossible shape is refused at once" "ImpossibleShape" \
  "$(ctl submit --team south --members 9 --accelerators 8 --within rack -- sleep 1)"
check "an unknown team is refused" "UnknownTeam" "$(ctl submit --team nobody -- sleep 1)"

echo "== a guarantee is reclaimed from borrowed work"
check "borrowed work" "QUEUED" "$(ctl submit --team south --members 3 --accelerators 8 --within rack --request-id demo-borrow -- sleep 60)"
borrowed=$(ctl --output json submit --team south --members 3 --accelerators 8 --within rack --request-id demo-borrow -- sleep 60 | sed -n 's/^{"id":"\([^"]*\)".*/\1/p')
wait_for "borrowed work runs" "RUNNING" ctl status "$borrowed"
check "urgent work under contract completes" "COMPLETED" \
  "$(ctl submit --team north --members 2 --accelerators 8 --within rack --urgency urgent --request-id demo-urgent --wait -- sleep 1)"
check "borrowed work is cancelled" "$borrowed" "$(ctl cancel "$borrowed")"
wait_for "borrowed work has ended" "CANCELLED" ctl status "$borrowed"

echo "== calls"
check "a call is answered" "answer to hello" "$(ctl call --team south hello)"
token=$(ctl reserve --team south)
check "a call that runs at most once" "answer to bell" "$(ctl call --team south --not-repeatable --token "$token" --request-id once bell)"
check "a repetition of the call gives the same answer" "answer to bell" "$(ctl call --team south --not-repeatable --token "$token" --request-id once bell)"
check "a call with a request id chosen by the caller" "answer to own" "$(ctl call --team south --not-repeatable --request-id own-1 own)"
check "plain curl gets an answer" "answer" "$(curl -s -H 'Content-Type: application/json' \
  -d '{"request_id":"curl-1","team":"south","payload":"aGk="}' "http://127.0.0.1:$((base + 11))/hyssoppond.v1.Calls/Call" | sed 's/YW5zd2VyIHRvIGhp/answer/')"
runs=$(for i in 1 2; do curl -s "http://127.0.0.1:$((base + 200 + i))/runs"; done)
check "the runners ran it once" "1" "$(grep -c '^bell$' <<<"$runs")"

echo "== a runbook"
cat >"$logs/demo.runbook" <<'RUNBOOK'
runbook demo
quota south '{"weight":1}'
submit --team south --members 1 --accelerators 2 --as route -- sleep 1
wait $route
drain agent-3
undrain agent-3
RUNBOOK
check "runbook check" "5 steps are valid" "$(ctl runbook check "$logs/demo.runbook")"
check "runbook run" "COMPLETED" "$(ctl runbook run "$logs/demo.runbook" --run-id day-1)"
before=$(curl -s "http://127.0.0.1:$((base + 101))/runs" "http://127.0.0.1:$((base + 102))/runs" "http://127.0.0.1:$((base + 103))/runs" | grep -o '"member"' | wc -l)
check "a second run repeats nothing" "COMPLETED" "$(ctl runbook run "$logs/demo.runbook" --run-id day-1)"
after=$(curl -s "http://127.0.0.1:$((base + 101))/runs" "http://127.0.0.1:$((base + 102))/runs" "http://127.0.0.1:$((base + 103))/runs" | grep -o '"member"' | wc -l)
check "no task was started again" "$before" "$after"

echo "== the log goes down: urgent work under contract starts, other work is refused"
curl -s -X POST -d '{"down":true}' "http://127.0.0.1:$base/admin/faults" >/dev/null
sleep 3
check "urgent work starts" "RUNNING" "$(ctl submit --team north --members 2 --accelerators 8 --within rack --urgency urgent --request-id outage-1 -- sleep 1)"
check "other work is refused as not run" "NotRun" "$(ctl --timeout 5 submit --team south --request-id outage-2 -- sleep 1)"
check "calls still succeed" "answer to still" "$(ctl call --team south still)"
curl -s -X POST -d '{"down":false}' "http://127.0.0.1:$base/admin/faults" >/dev/null
wait_for "the outage job is in the journal and completed" "COMPLETED" ctl submit --team north --members 2 --accelerators 8 --within rack --urgency urgent --request-id outage-1 --wait -- sleep 1

echo "== an entry is killed, the other one takes over"
kill -KILL "${entry_pids[0]}"
wait "${entry_pids[0]}" 2>/dev/null || true
wait_for "jobs are placed by the other entry" "COMPLETED" ctl submit --team south --request-id after-kill --wait -- sleep 1

wait_for "the other entry is the decider" "decider entry-2" ctl nodes

echo "== counters"
ctl counters | grep -E 'reason_total|request_seconds_count' | head -20

echo "== graceful stop of an agent and an entry"
kill -TERM "${agent_pids[2]}"
wait "${agent_pids[2]}" && check "agent stops with code 0" "0" "0" || check "agent stops with code 0" "0" "$?"
kill -TERM "${entry_pids[1]}"
wait "${entry_pids[1]}" && check "entry stops with code 0" "0" "0" || check "entry stops with code 0" "0" "$?"

if [ "$failures" -eq 0 ]; then echo "demo: every outcome was right"; else echo "demo: $failures outcomes were wrong"; exit 1; fi
