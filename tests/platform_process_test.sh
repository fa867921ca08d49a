#!/usr/bin/env bash
# Starts two entries and two agents from settings files as the platform renders them, against the
# stand-in of the platform. Guards against an adapter that cannot serve a job from its submission to
# its end, and against jobs that are lost when all entries and agents are killed.
# Usage: platform_process_test.sh BUILD
set -euo pipefail
build=$1
ports=${SITE_PORTS:-178}
source "$(dirname "$0")/platform_site.sh"

start_all
await 200 curl -s -o /dev/null -w '%{http_code}' http://127.0.0.1:${ports}21/-/readyz
await 200 curl -s -o /dev/null -w '%{http_code}' http://127.0.0.1:${ports}22/-/readyz

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

kill -TERM "${pid_of[agent-1]}"
wait "${pid_of[agent-1]}" || fail "an agent did not stop cleanly"
grep -q '"message":"ending recorded"' "$work/agent-1.log" || fail "an agent did not say that it ends"
echo "passed: an agent says on SIGTERM that it ends"
