#!/usr/bin/env bash
# Starts two entries and two agents from settings files as the platform renders them, against the
# stand-in of the platform. Guards against an adapter that cannot serve a job from its submission to
# its end, and against jobs that are lost when all entries and agents are killed.
# Usage: platform_process_test.sh BUILD
set -euo pipefail
build=$1
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT
fail() {
  echo "FAILED: $1"
  tail -n 20 "$work"/*.log
  exit 1
}

cat >"$work/config.json" <<'J'
{"version":7,"routes":[{"name":"q","host":"site.example","pathPrefix":"/q/","priority":1,"service":"service",
"maxAttempts":3,"stretch":3.0,"targetLatencyMs":1000,"public":false}],"services":[{"name":"service","admissionCheck":true}],
"tenants":[{"name":"east","apiKeys":["k1"],"guaranteed":{"gpu":8}}]}
J
settings() { # NAME EXTRA_FIELDS
  echo "{\"name\":\"$1\",\"zone\":\"zone-1\",\"store_address\":\"127.0.0.1:17800\",\"orders_by\":\"call\",$2}" >"$work/$1.json"
}
daemon() { # NAME ROLE: starts the process and keeps its id in pid_of
  HYSSOPPOND_SETTINGS="$work/$1.json" "$build/hyssoppond" --role "$2" >>"$work/$1.log" 2>&1 &
  pids+=($!)
  pid_of[$1]=$!
}
declare -A pid_of
for i in 1 2; do
  settings "entry-$i" "\"front\":\"127.0.0.1:1781$i\",\"readiness\":\"127.0.0.1:1782$i\",\"address\":\"127.0.0.1\",\"own_ports\":[1786$i,1787$i]"
  settings "agent-$i" "\"control\":\"127.0.0.1:1783$i\",\"worker_address\":\"127.0.0.1:1784$i\",\"service\":\"service\",\"address\":\"127.0.0.1\",\"own_ports\":[1788$i,1789$i]"
done
"$build/hyssoppond-platform-standin" --store 127.0.0.1:17800 --config "$work/config.json" \
  --runner 127.0.0.1:17841=127.0.0.1:17831 --runner 127.0.0.1:17842=127.0.0.1:17832 >"$work/standin.log" 2>&1 &
pids+=($!)
start_all() {
  for i in 1 2; do daemon "entry-$i" entry; daemon "agent-$i" agent; done
}
call() { # METHOD ENTRY PATH [BODY]: prints the body of the response
  curl -s -m 5 -X "$1" -H 'Host: site.example' -H "Authorization: Bearer ${key:-k1}" \
    "http://127.0.0.1:1781$2$3" ${4:+-d "$4"}
}
status() { # METHOD ENTRY PATH [BODY]: prints the HTTP status only
  curl -s -m 5 -o /dev/null -w '%{http_code}' -X "$1" -H 'Host: site.example' \
    -H "Authorization: Bearer ${key:-k1}" "http://127.0.0.1:1781$2$3" ${4:+-d "$4"} || true
}
await() { # EXPECTED COMMAND...: up to 300 tries, 0.1 s apart, until the command prints EXPECTED
  local expected=$1 got=""
  shift
  for _ in $(seq 1 300); do
    got=$("$@" 2>/dev/null || true)
    [ "$got" = "$expected" ] && return 0
    sleep 0.1
  done
  fail "'$*' printed '$got', not '$expected'"
}
job='{"spec":"text","steps":[{"count":2,"cpu":1000,"memMb":100,"gpu":1,"estimateMs":3000,"gang":true}]}'

start_all
await 200 curl -s -o /dev/null -w '%{http_code}' http://127.0.0.1:17821/-/readyz
await 200 curl -s -o /dev/null -w '%{http_code}' http://127.0.0.1:17822/-/readyz

await 200 status POST 1 /q/00000000000000a1 "$job"
await '{"state":"completed"}' call GET 2 /q/00000000000000a1
[ "$(status POST 2 /q/00000000000000a1 "$job")" = 200 ] || fail "a repeated submission was not the same job"
echo "passed: a job runs and is shown completed at the other entry"

[ "$(key=wrong status POST 1 /q/00000000000000a2 "$job")" = 401 ] || fail "an unknown key was accepted"
[ "$(status POST 1 /none/00000000000000a2 "$job")" = 404 ] || fail "an unknown queue was accepted"
[ "$(status GET 1 /q/00000000000000a2)" = 410 ] || fail "a job that was never accepted exists"
[ "$(status POST 1 /q/00000000000000a2 '{"steps":7}')" = 400 ] || fail "a malformed job was accepted"
echo "passed: wrong keys, queues, ids and bodies are refused"

await 200 status POST 1 /q/00000000000000a3 "$job"
await '{"state":"running"}' call GET 1 /q/00000000000000a3
[ "$(status DELETE 2 /q/00000000000000a3)" = 200 ] || fail "a cancellation was not acknowledged"
await '{"state":"cancelled"}' call GET 1 /q/00000000000000a3
echo "passed: a running job is cancelled"

await 200 status POST 1 /q/00000000000000a4 "$job"
await '{"state":"running"}' call GET 1 /q/00000000000000a4
for name in "${!pid_of[@]}"; do kill -KILL "${pid_of[$name]}"; wait "${pid_of[$name]}" 2>/dev/null || true; done
start_all
await '{"state":"completed"}' call GET 2 /q/00000000000000a4
if grep -q BREACH "$work/standin.log"; then fail "an item ran twice"; fi
echo "passed: a job ends after all processes were killed"

kill -TERM "${pid_of[entry-1]}"
wait "${pid_of[entry-1]}" || fail "an entry did not stop cleanly"
grep -q '"message":"stopped"' "$work/entry-1.log" || fail "an entry did not log its stop"
echo "passed: an entry stops on SIGTERM"
