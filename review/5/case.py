"""Jobs wait for one runner, which fails all starts for some seconds; the queue's pending count is asked for."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from deployment import BROKEN, HELD, desired_state, route, run_case  # noqa: E402

RUNNERS = 11
JOBS = 8
VISIBLE_S = 3.0      # bound visible_ms
STEPS = [{"count": 1, "cpu": 5600, "memMb": 23000, "gpu": 1, "constraints": "b", "estimateMs": 9500, "workMs": 9500}]
GREY_S = 6.5         # srv_grey of the site file: share 0.085, x 1.0, for_s 6.5
LAST = RUNNERS - 1


def labels(index):
    return ["b" if index == LAST else "a", f"r1-{1 + index // 3}"]


async def scenario(site, trouble):
    await site.begin(desired_state(1, [route("survey", 2)]))
    runner = site.runners[LAST]
    ids = [f"{0xb0 + i:016x}" for i in range(JOBS)]
    if not trouble:
        # Another tenant's jobs hold the runner, so that the jobs wait without any failure.
        full = [dict(STEPS[0], gpu=8, workMs=int(GREY_S * 1000))]
        if not await site.submit(0, "/survey/", "00000000000000aa", full, key="key-west"):
            raise RuntimeError("the filling job was not accepted")
        await asyncio.sleep(0.5)
    runner.refuse_starts = trouble
    begin = time.monotonic()
    accepted = {}
    for ident in ids:
        if await site.submit(0, "/survey/", ident, STEPS):
            accepted[ident] = time.monotonic()
    broken = False
    while time.monotonic() - begin < GREY_S - 0.3:
        asked = time.monotonic()
        for entry in range(site.entry_count):
            status, text = await site.call(entry, "GET", "/survey/", key="key-east")
            begun = {task.split(".")[0] for _, _, task, _ in site.jobs.starts}
            waiting = [ident for ident, at in accepted.items() if asked - at > VISIBLE_S + 2.0 and ident not in begun]
            if status == 200 and waiting:
                pending = json.loads(text)["pending"]
                site.record(f"observed: entry-{entry} gives pending {pending}; {len(waiting)} jobs were accepted over "
                            f"5 s before and have not begun")
                broken = broken or pending < len(waiting) / 2
        await asyncio.sleep(0.2)
    runner.refuse_starts = False
    await asyncio.sleep(4.0)
    site.record(f"observed: starts: {[start[1:] for start in site.jobs.starts]}")
    return BROKEN if broken else HELD


run_case(FOLDER, scenario, runners=RUNNERS, labels=labels)
