#!/usr/bin/env bash
# Starts the same site as platform_process_test.sh and leaves odd entries of another writer wherever
# its processes read. Guards against processes that end, start again, stop following or take much
# memory because of one odd entry, also when they start with it, and against one without a log line.
# Usage: platform_odd_entry_test.sh BUILD
set -euo pipefail
build=$1
ports=${SITE_PORTS:-177}
source "$(dirname "$0")/platform_site.sh"

# The memory of the sites' machines (SYSTEM.md, "Machines"), in kB.
declare -A memory_limit=([entry-1]=260000 [entry-2]=260000 [agent-1]=128000 [agent-2]=128000)
# A sanitizer keeps freed memory; without that the same limits hold.
export ASAN_OPTIONS=${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=4

report() { # WHAT BODY_FILE [ID]: sends a report to both agents, which must answer 400
  local i got
  for i in 1 2; do
    got=$(curl -s -m 5 -o /dev/null -w '%{http_code}' -X POST --data-binary "@$2" \
      "http://127.0.0.1:${ports}3$i/-/Instances.Heartbeat/${3:-i-${ports}4$i}" || true)
    [ "$got" = 400 ] || fail "agent-$i answered $got to a report with $1"
  done
}
append() { # TOPIC BODY_FILE: appends framed records
  local got
  got=$(curl -s -m 5 -o /dev/null -w '%{http_code}' -X POST -H 'Content-Type: application/octet-stream' \
    --data-binary "@$2" "http://127.0.0.1:${ports}00/-/log-append?topic=$1&part=0")
  [ "$got" = 200 ] || fail "the store answered $got to an append to $1"
}
datagram() { # FILE: sends it to the wake addresses of all processes
  local i
  for i in 1 2; do
    cat "$1" >"/dev/udp/127.0.0.1/${ports}7$i"
    cat "$1" >"/dev/udp/127.0.0.1/${ports}9$i"
  done
}
peak() { awk '/^VmHWM/ {print $2}' "/proc/${pid_of[$1]}/status"; }
await_log() { # NAME TEXT: until the log of the process has a line with the text
  await yes eval "grep -qF -- '$2' '$work/$1.log' && echo yes"
}

start_all
await 200 curl -s -o /dev/null -w '%{http_code}' http://127.0.0.1:${ports}21/-/readyz
await 200 curl -s -o /dev/null -w '%{http_code}' http://127.0.0.1:${ports}22/-/readyz
await 200 status POST 1 /q/00000000000000a1 "$job"
await '{"state":"completed"}' call GET 2 /q/00000000000000a1
for name in "${!pid_of[@]}"; do echo "$name before: $(peak "$name") kB at most"; done

odd="$work/odd"
mkdir "$odd"
head -c 100000 /dev/zero | tr '\0' '[' >"$odd/open"
{ cat "$odd/open"; tr '[' ']' <"$odd/open"; } >"$odd/deep"
usual() { # AGENT: prints the report of the agent's runner
  echo "{\"service\":\"service\",\"address\":\"127.0.0.1:${ports}4$1\",\"zone\":\"zone-1\",\"state\":\"ready\"," \
    '"capacity":{"cpu":64000,"memMb":262144,"gpu":8},"labels":["a","r1-1"],"born":1700000000000,"seq":9,"coldLeftMs":0}'
}
report_with() { # FIELD_PATTERN REPLACEMENT: sends the usual report with a change to both agents
  local i got
  for i in 1 2; do
    usual "$i" | sed "s/$1/$2/" >"$odd/body"
    cmp -s "$odd/body" <(usual "$i") && fail "the pattern $1 changed nothing"
    got=$(curl -s -m 5 -o /dev/null -w '%{http_code}' -X POST --data-binary "@$odd/body" \
      "http://127.0.0.1:${ports}3$i/-/Instances.Heartbeat/i-${ports}4$i" || true)
    [ "$got" = 400 ] || fail "agent-$i answered $got to a report with $1 replaced by $2"
  done
}
odd_reports() {
  report "200,000 brackets" "$odd/deep"
  report "100,000 brackets without their ends" "$odd/open"
  { printf '{"service":"service","labels":'; cat "$odd/deep"; printf '}'; } >"$odd/body"
  report "deeply nested labels" "$odd/body"
  local body number port
  for body in '' '7' '[]' 'no JSON' '{"service":' '{}' '\xff\xfe\x00' '{"service":"\xff"}' 'null'; do
    printf "$body" >"$odd/body"
    report "the body '$body'" "$odd/body"
  done
  head -c 300000 /dev/zero >"$odd/body"
  report "300,000 bytes" "$odd/body"
  for number in 1e400 18446744073709551616 -1 1e15 0.5 '"7"' null '[]' '{}' true; do
    report_with '"born":[0-9]*' "\"born\":$number"
    report_with '"seq":[0-9]*' "\"seq\":$number"
    report_with '"cpu":[0-9]*' "\"cpu\":$number"
    report_with '"gpu":[0-9]*' "\"gpu\":$number"
    report_with '"capacity":{[^}]*}' "\"capacity\":$number"
    report_with '"labels":\[[^]]*\]' "\"labels\":$number"
    report_with '"address":"[^"]*"' "\"address\":$number"
  done
  for port in 0 65536 99999 -1 http '' 99999999999999999999; do
    report_with '\("address":"[^:]*\):[0-9]*' "\1:$port"
  done
  report_with '"state":"ready"' '"state":"odd"'
  report_with '"service":"service"' '"service":"other"'
  report_with '"address":"127.0.0.1' '"address":"127.0.0.9'
  for i in 1 2; do usual "$i" >"$odd/body"; report "an odd id" "$odd/body" "%0d%0aX:%20y"; done
}
odd_records() {
  local name names
  names=$("$build/odd_entry_writer")
  for name in $names; do
    "$build/odd_entry_writer" "$name" >"$odd/body"
    case $name in
    journal:*) append keyed.journal "$odd/body" ;;
    beats:*) append beats "$odd/body" ;;
    operator:*) append keyed.op "$odd/body" ;;
    datagram:*) datagram "$odd/body" ;;
    *) fail "no reader of the entry $name" ;;
    esac
  done
}
for round in 1 2 3; do
  echo "round $round"
  odd_reports
  odd_records
done
same_processes() { # WHEN: all processes still run, and none has taken more memory than its machine has
  local name
  for name in "${!pid_of[@]}"; do
    kill -0 "${pid_of[$name]}" 2>/dev/null || fail "$name ended $1"
    [ "$(grep -c '"message":"started"' "$work/$name.log")" = "$2" ] || fail "$name started again $1"
    echo "$name $1: $(peak "$name") kB at most"
    [ "$(peak "$name")" -lt "${memory_limit[$name]}" ] || fail "$name took more memory than its machine has $1"
  done
}
await 200 status POST 1 /q/00000000000000a2 "$job"
await '{"state":"completed"}' call GET 2 /q/00000000000000a2
await 200 status POST 2 /q/00000000000000a3 "$job"
await '{"state":"completed"}' call GET 1 /q/00000000000000a3
same_processes "after odd entries" 1
echo "passed: all processes run on after odd entries, and jobs run to their ends"

for i in 1 2; do
  await_log "agent-$i" '"message":"report ignored"'
  await_log "agent-$i" 'field born'
  await_log "agent-$i" 'field address'
  await_log "agent-$i" 'not JSON, or nested too deep'
  await_log "agent-$i" '"message":"record ignored"'
  await_log "entry-$i" '"message":"record ignored"'
  await_log "entry-$i" '"message":"configuration ignored"'
done
grep -hq '"message":"beat ignored"' "$work"/entry-*.log || fail "no entry has logged the odd heartbeats"
for name in 00000000000000b1 00000000000000b2 00000000000000b3 00000000000000b4 00000000000000b5 decider; do
  await_log entry-1 "$name"
done
echo "passed: odd entries are logged"

# The newest record of a key is read again by each process that starts.
for name in "${!pid_of[@]}"; do kill -KILL "${pid_of[$name]}"; wait "${pid_of[$name]}" 2>/dev/null || true; done
# A new entry needs a configuration, and the store accepts only valid ones.
"$build/odd_entry_writer" --config "$work/config.json" >"$odd/body"
append keyed.op "$odd/body"
start_all
await 200 curl -s -o /dev/null -w '%{http_code}' http://127.0.0.1:${ports}21/-/readyz
await 200 status POST 1 /q/00000000000000a4 "$job"
await '{"state":"completed"}' call GET 2 /q/00000000000000a4
same_processes "after a start with odd entries" 2
if grep -q BREACH "$work/standin.log"; then fail "an item ran twice"; fi
echo "passed: processes that start with odd entries run a job to its end"
