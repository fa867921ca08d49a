"""One side machine loses power while 600 work items run on its runner. None of the accepted jobs, and no later one, is
ever started again: the decider records the orders of one plan in one append, which is larger than the store takes."""
import asyncio
import pathlib
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from site3 import BOUNDS, TROUBLE, Site, main, now, route

JOBS = [f"{i:016x}" for i in range(1, 13)]
LATER = "00000000000000ff"
STEP = {"count": 50, "cpu": 100, "memMb": 100, "estimateMs": 60000}
SPEC = "x" * 4000


async def case(site):
    for i, job in enumerate(JOBS):
        if not await site.submit("/batch/", job, [STEP], entry=i % 2, spec=SPEC):
            raise OSError("a job was not accepted")
        await asyncio.sleep(0.5)
    await asyncio.sleep(3)
    busiest = max(site.runners, key=lambda runner: len(runner.running))
    number = site.runners.index(busiest) + 1
    site.record("work items on each runner:", [len(runner.running) for runner in site.runners])
    if TROUBLE:
        await site.lose_machine(number)
        await asyncio.sleep(3.5)
        await site.regain_machine(number)
    else:
        await asyncio.sleep(3.5)
    await asyncio.sleep(8)
    await site.submit("/other/", LATER, [{"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 1000}], key="key-2")
    traffic_end = now()
    await asyncio.sleep(BOUNDS["finish_s"])
    results = await asyncio.gather(*[site.idle_for_3s(job, f"{job}.0.0.0") for job in JOBS + [LATER]])
    lost = [job for job, idle in zip(JOBS + [LATER], results) if idle]
    if lost:
        return (f"LOST: {BOUNDS['finish_s']} s after the end of the traffic at {traffic_end:.1f} s, {len(lost)} accepted "
                f"jobs have had nothing running for 3 s, with {site.share_in_use():.0%} of the capacity in use: {lost}")
    return None


main(Site(pathlib.Path(__file__).parent, 2, [["a", f"r1-{i // 3 + 1}"] for i in range(5)],
          [route("batch", "/batch/", 2), route("other", "/other/", 1)],
          [{"name": "east", "apiKeys": ["key-1"], "guaranteed": {"gpu": 0}},
           {"name": "west", "apiKeys": ["key-2"], "guaranteed": {"gpu": 0}}]), case)
