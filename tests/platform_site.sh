# Functions of the process tests: a site of two entries and two agents with settings files as the platform renders them,
# against the stand-in of the platform. Sourced with `build`, the build folder, and `ports`, the first three digits of the
# ports that the site uses, which no other test may use at the same time.
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
  echo "{\"name\":\"$1\",\"zone\":\"zone-1\",\"store_address\":\"127.0.0.1:${ports}00\",\"orders_by\":\"call\",$2}" >"$work/$1.json"
}
daemon() { # NAME ROLE: starts the process and keeps its id in pid_of
  HYSSOPPOND_SETTINGS="$work/$1.json" "$build/hyssoppond" --role "$2" >>"$work/$1.log" 2>&1 &
  pids+=($!)
  pid_of[$1]=$!
}
declare -A pid_of
for i in 1 2; do
  settings "entry-$i" "\"front\":\"127.0.0.1:${ports}1$i\",\"readiness\":\"127.0.0.1:${ports}2$i\",\"address\":\"127.0.0.1\",\"own_ports\":[${ports}6$i,${ports}7$i]"
  settings "agent-$i" "\"control\":\"127.0.0.1:${ports}3$i\",\"worker_address\":\"127.0.0.1:${ports}4$i\",\"service\":\"service\",\"address\":\"127.0.0.1\",\"own_ports\":[${ports}8$i,${ports}9$i]"
done
"$build/hyssoppond-platform-standin" --store 127.0.0.1:${ports}00 --config "$work/config.json" \
  --runner 127.0.0.1:${ports}41=127.0.0.1:${ports}31 --runner 127.0.0.1:${ports}42=127.0.0.1:${ports}32 >"$work/standin.log" 2>&1 &
pids+=($!)
start_all() {
  for i in 1 2; do daemon "entry-$i" entry; daemon "agent-$i" agent; done
}
call() { # METHOD ENTRY PATH [BODY]: prints the body of the response
  curl -s -m 5 -X "$1" -H 'Host: site.example' -H "Authorization: Bearer ${key:-k1}" \
    "http://127.0.0.1:${ports}1$2$3" ${4:+-d "$4"}
}
status() { # METHOD ENTRY PATH [BODY]: prints the HTTP status only
  curl -s -m 5 -o /dev/null -w '%{http_code}' -X "$1" -H 'Host: site.example' \
    -H "Authorization: Bearer ${key:-k1}" "http://127.0.0.1:${ports}1$2$3" ${4:+-d "$4"} || true
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

