#!/usr/bin/env bash
# Guards against an entry or agent that runs out of memory or descriptors, or stops serving, because of clients outside
# the limits: a crowd of each kind of client_crowd.py holds its connections to one listener, while and after which the
# process must answer ordinary requests. It checks no times and no share of served requests.
# Usage: client_crowd_test.sh BUILD LISTENER [KIND...]; LISTENER is front, no_queue, readiness, control or metrics.
set -euo pipefail
build=$1
listener=$2
shift 2
kinds=${*:-whole pieces chunked over fields pipelined slow head}
# Two listeners may share a prefix of ports, as the tests run one at a time.
case $listener in
  front) ports=181 ;;
  no_queue) ports=182 ;;
  readiness) ports=183 ;;
  control) ports=181 ;;
  metrics) ports=182 ;;
  *) echo "unknown listener $listener"; exit 2 ;;
esac
# Crowds, and bounds of the process: its memory_mb, and its limit of descriptors less a reserve for its own use. An
# agent's bound leaves room for one heartbeat of 4 MiB and its parsed form.
crowd=160
[ "$listener" = front ] || [ "$listener" = no_queue ] || crowd=64
head_crowd=300
memory_mb=32
[ "$listener" = control ] && memory_mb=64
descriptor_limit=256
max_descriptors=224
heartbeat_bytes=4194304

source "$(dirname "$0")/platform_site.sh"
for name in entry-1 agent-1; do sed -i "s/^{/{\"memory_mb\":$memory_mb,\"client_stall_ms\":500,/" "$work/$name.json"; done
ulimit -Sn "$descriptor_limit"
daemon entry-1 entry
daemon agent-1 agent
ulimit -Sn 1024

process=entry-1
method=POST
path=/q/00000000000000f1
case $listener in
  front) port=${ports}11 ;;
  no_queue) port=${ports}11 path=/none/00000000000000f1 ;;
  readiness) port=${ports}21 path=/-/readyz ;;
  control) port=${ports}31 path=/-/Instances.Heartbeat/i-${ports}41 process=agent-1 ;;
  metrics) port=${ports}61 path=/metrics ;;
esac
pid=${pid_of[$process]}

python3 - "$heartbeat_bytes" "127.0.0.1:${ports}41" >"$work/heartbeat.json" <<'P'
import json
import sys
beat = {"service": "service", "address": sys.argv[2], "zone": "zone-1", "state": "ready", "labels": ["a", "r1-1"],
        "capacity": {"cpu": 64000, "memMb": 262144, "gpu": 8}, "born": 1, "seq": 1, "note": ""}
beat["note"] = "x" * (int(sys.argv[1]) - len(json.dumps(beat)))
print(json.dumps(beat), end="")
P
readiness() { curl -s -m 5 -o /dev/null -w '%{http_code}' "http://127.0.0.1:${ports}21/-/readyz" || true; }
metrics() { curl -s -m 5 -o /dev/null -w '%{http_code}' "http://127.0.0.1:${ports}61/metrics" || true; }
heartbeat() {
  curl -s -m 5 -o /dev/null -w '%{http_code}' -H 'Expect:' --data-binary "@$work/heartbeat.json" \
    "http://127.0.0.1:${ports}31/-/Instances.Heartbeat/i-${ports}41" || true
}
check_process() { # KIND
  kill -0 "$pid" 2>/dev/null || fail "$process ended under the crowd '$1'"
  local peak descriptors
  peak=$(awk '/^VmHWM/ {print $2}' "/proc/$pid/status")
  descriptors=$(ls "/proc/$pid/fd" | wc -l)
  echo "$listener $1: $process has $descriptors descriptors and had at most $peak kB"
  [ "$descriptors" -le "$max_descriptors" ] || fail "$descriptors descriptors, more than $max_descriptors"
  if grep -q '^HYSSOPPOND_SANITIZE:STRING=.\+' "$build/CMakeCache.txt"; then
    echo "memory not checked: the sanitizer's own memory is larger than the bound"
  elif [ "$peak" -gt $((memory_mb * 1024)) ]; then
    fail "$peak kB under the crowd '$1', more than $memory_mb MB"
  fi
}

await 200 readiness
await 200 status POST 1 /q/00000000000000e0 "$job"
check_process none
index=0
for kind in $kinds; do
  index=$((index + 1))
  size=$crowd
  [ "$kind" = head ] && size=$head_crowd
  python3 "$(dirname "$0")/client_crowd.py" "$port" "$method" "$path" "$kind" "$size" "$work/ready-$kind" &
  crowd_pid=$!
  pids+=("$crowd_pid")
  await ready cat "$work/ready-$kind"
  check_process "$kind"
  case $listener in
    control) await 200 heartbeat ;;
    metrics) await 200 metrics ;;
    *) await 200 readiness ;;
  esac
  # A repeated submission of a job is answered like the first.
  await 200 status POST 1 "/q/00000000000000e$index" "$job"
  kill "$crowd_pid"
  wait "$crowd_pid" 2>/dev/null || true
  check_process "$kind"
done
for i in $(seq 0 "$index"); do await '{"state":"completed"}' call GET 1 "/q/00000000000000e$i"; done
check_process all
echo "passed: $process serves $listener under $kinds"
