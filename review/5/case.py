"""An urgent job with antiAffinity 1 arrives while other work fills all runners."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from deployment import BROKEN, HELD, desired_state, route, run_case  # noqa: E402

FILLER = [{"count": 1, "cpu": 64000, "memMb": 65536, "gpu": 8, "checkpointed": True, "estimateMs": 10000, "workMs": 10000}]
URGENT = [{"count": 2, "cpu": 7500, "memMb": 22000, "gpu": 4, "antiAffinity": 1, "estimateMs": 2500, "workMs": 2500}]


async def scenario(site, trouble):
    await site.begin(desired_state(1, [route("urgent", 0), route("survey", 2)], guaranteed=32))
    if trouble:
        for i in range(4):
            if not await site.submit(i % 2, "/survey/", f"{0xb0 + i:016x}", FILLER, key="key-west"):
                raise RuntimeError("a filling job was not accepted")
        await asyncio.sleep(2.0)
    if not await site.submit(0, "/urgent/", "00000000000000aa", URGENT):
        raise RuntimeError("the urgent job was not accepted")
    broken = False
    end = time.monotonic() + 12
    while time.monotonic() < end:
        for runner in site.runners.values():
            here = [task for task in runner.running if task.startswith("00000000000000aa")]
            if len(here) > 1:
                if not broken:
                    site.record(f"observed: {here} run on {runner.ident} at once; antiAffinity is 1")
                broken = True
        await asyncio.sleep(0.02)
    starts = [start[1:] for start in site.jobs.starts if start[2].startswith("00000000000000aa")]
    site.record(f"observed: starts of the urgent job: {starts}")
    if not starts:
        raise RuntimeError("the urgent job did not start")
    return BROKEN if broken else HELD


run_case(FOLDER, scenario, runners=4)
