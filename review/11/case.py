"""A runner fails what it starts for 5 s and is sound again. A job that only this runner may run fails once there and is
never started again, although attempts are left."""
import asyncio
import pathlib
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from site3 import BOUNDS, TROUBLE, Site, main, now, route

ONCE = "00000000000000a1"
LASTING = "00000000000000a2"


async def case(site):
    only = site.runners[-1]
    only.fails = TROUBLE
    if TROUBLE:
        site.record("runner", only.name, "fails all that it starts, for 5 s")
    await site.submit("/q/", ONCE, [{"count": 1, "cpu": 1000, "memMb": 100, "gpu": 1, "estimateMs": 1500,
                                     "constraints": "b"}])
    await site.submit("/q/", LASTING, [{"count": 1, "cpu": 1000, "memMb": 100, "gpu": 1, "estimateMs": 1500,
                                        "constraints": "b", "longRunning": True}], entry=1)
    traffic_end = now()
    await asyncio.sleep(5)
    only.fails = False
    site.record("runner", only.name, "is sound")
    await asyncio.sleep(BOUNDS["finish_s"] + 10)
    results = await asyncio.gather(*[site.idle_for_3s(job, f"{job}.0.0.0") for job in (ONCE, LASTING)])
    lost = [job for job, idle in zip((ONCE, LASTING), results) if idle]
    if lost:
        return (f"LOST: {now() - traffic_end:.1f} s after the end of the traffic, accepted jobs have nothing running for "
                f"3 s on an idle service: {lost}")
    return None


main(Site(pathlib.Path(__file__).parent, 2, [["a", f"r1-{i // 3 + 1}"] for i in range(11)] + [["b", "r1-4"]],
          [route("q", "/q/", 1, attempts=3)],
          [{"name": "east", "apiKeys": ["key-1"], "guaranteed": {"gpu": 0}}]), case)
