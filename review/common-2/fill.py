"""Callers in a process of their own, which submit short jobs as fast as they are answered."""
import asyncio
import json
import random
import time

from platform_site import http_call, job_id

SPEC_BYTES = 4000  # the limit of PROTOCOL.md
CALLERS = 24


def submit_until(ports, until, answers):
    """Submits jobs of one short item until the time of day `until`; counts those accepted and those not in `answers`."""

    async def caller(number, rng):
        body = {"spec": "s" * SPEC_BYTES, "steps": [{"count": 1, "cpu": 250, "memMb": 128, "estimateMs": 20}]}
        content = json.dumps(body).encode()
        headers = {"Host": "site.example", "Authorization": "Bearer k-east", "X-Hyssoppond-Deadline-Ms": "3000",
                   "Content-Type": "application/json"}
        while time.time() < until:
            got = await http_call(ports[number % len(ports)], "POST", "/b/" + job_id(rng), content, headers, 3.0)
            accepted = got is not None and got[0] == 200
            with answers.get_lock():
                answers[0 if accepted else 1] += 1
            if not accepted:
                await asyncio.sleep(1.0)

    async def all_callers():
        rng = random.Random(8)
        await asyncio.gather(*[caller(n, rng) for n in range(CALLERS)])

    asyncio.run(all_callers())
