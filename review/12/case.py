"""The store does two writes late and does not answer them. The requester leaves meanwhile, cancels its job and is told that
there is none; then the entry, which has been writing the job all the while, records it, and it runs to its end."""
import asyncio
import pathlib
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from site3 import BOUNDS, TROUBLE, Site, main, now, route

JOB = "00000000000000d1"


async def case(site):
    if TROUBLE:
        # Of the writes of this second, the entry's own and the one that it asks its peer for.
        site.store.late_key = b"j:" + JOB.encode()
        site.store.late_count = 2
    step = {"count": 1, "cpu": 1000, "memMb": 100, "gpu": 1, "estimateMs": 15000}
    body = {"spec": "work " + JOB, "steps": [step]}
    site.jobs[JOB] = {"body": body, "prefix": "/q/"}
    # The requester leaves 0.6 s after it sent the job, if it has no answer by then, and cancels the job.
    sent = now()
    await site.call(0, "POST", "/q/" + JOB, body, leave=0.6)
    await asyncio.sleep(max(0.0, sent + 0.6 - now()))
    acknowledged = None
    while acknowledged is None:
        status, _ = await site.call(0, "DELETE", "/q/" + JOB)
        if 200 <= status < 300 or status == 410:
            acknowledged = now()
        else:
            await asyncio.sleep(0.2)
    # The late writes are done within 4 s of the submission; contactMs later nothing counts as near.
    calm = sent + 4 + BOUNDS["contactMs"] / 1000
    limit = max(calm, acknowledged + BOUNDS["cancel_ms"] / 1000) + BOUNDS["stopMs"] / 1000
    broken = None
    while now() < limit + 4:
        await asyncio.sleep(0.05)
        if now() > limit + 0.5 and site.present(JOB) and broken is None:
            broken = (f"UNASKED: the cancelling of {JOB} was acknowledged at {acknowledged:.2f} s with {status}, and "
                      f"{site.present(JOB)} runs at {now():.2f} s")
    await asyncio.sleep(8)
    await site.state(JOB)
    return broken


main(Site(pathlib.Path(__file__).parent, 2, [["a", f"r1-{i // 3 + 1}"] for i in range(4)], [route("q", "/q/", 1, goal_ms=3000)],
          [{"name": "east", "apiKeys": ["key-1"], "guaranteed": {"gpu": 0}}]), case)
