#!/usr/bin/env python3
"""Randomized fault soak: real daemons against the stand-in of the platform, on loopback.

Each daemon reaches the store through its own proxy, which delays, resets, silences or refuses
its connections. Processes are killed, paused, stopped and restarted. Meanwhile callers submit jobs, repeat
requests of unknown outcome, query and cancel jobs. At the end of a seed:
  - no item ran twice at once or after it was done (the stand-in's own record);
  - each accepted job that was not cancelled is completed, and was never reported as unknown after its acceptance;
  - a job of which every submission was refused does not exist.
Usage: soak.py BUILD [--seed N] [--seeds N] [--seconds S] [--base-port P]. Prints one line per seed and a count.
"""
import argparse
import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile

BASE_PORT = 17900  # default; ports up to BASE_PORT + 90 are used, all on 127.0.0.1
ENTRIES, AGENTS = 3, 4
SETTLE_SECONDS = 120  # limit for all jobs to end after the last fault; only a stuck run reaches it
CALL_SECONDS = 4  # timeout of one request of a caller
CONFIG = {
    "version": 7,
    "routes": [{"name": "q", "host": "site.example", "pathPrefix": "/q/", "priority": 1, "service": "service",
                "maxAttempts": 3, "stretch": 3.0, "targetLatencyMs": 1000, "public": False}],
    "services": [{"name": "service", "admissionCheck": True}],
    "tenants": [{"name": "east", "apiKeys": ["k1"], "guaranteed": {"gpu": 8}}],
}


class Proxy:
    """TCP proxy to the store for one daemon; `mode` applies to open connections as well."""

    def __init__(self, port):
        self.port, self.mode, self.writers = port, "pass", set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def pump(self, reader, writer, to_store):
        while data := await reader.read(65536):
            if self.mode == "delay":
                await asyncio.sleep(0.2)
            # "silent" holds back both directions, "deaf" only the answers of the store.
            while self.mode == "silent" or (self.mode == "deaf" and not to_store):
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()
        writer.close()

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.close()
            return
        try:
            store_reader, store_writer = await asyncio.open_connection("127.0.0.1", BASE_PORT)
            self.writers.update({writer, store_writer})
            await asyncio.gather(self.pump(reader, store_writer, True), self.pump(store_reader, writer, False))
        except (OSError, asyncio.CancelledError):
            pass  # the daemon was killed, or the connection was reset on purpose
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()


class Site:
    def __init__(self, build, folder, rng):
        self.build, self.folder, self.rng = build, folder, rng
        self.processes, self.proxies, self.log_files = {}, {}, []

    def path(self, name):
        return os.path.join(self.folder, name)

    def spawn(self, name, arguments, environment=None):
        output = open(self.path(name + ".log"), "ab")
        self.log_files.append(output)
        self.processes[name] = subprocess.Popen(arguments, stdout=output, stderr=output,
                                                env={**os.environ, **(environment or {})})

    async def start(self):
        with open(self.path("config.json"), "w", encoding="utf-8") as file:
            json.dump(CONFIG, file)
        arguments = [f"{self.build}/hyssoppond-platform-standin", "--store", f"127.0.0.1:{BASE_PORT}", "--config",
                     self.path("config.json")]
        for i in range(AGENTS):
            arguments += ["--runner", f"127.0.0.1:{BASE_PORT + 40 + i}=127.0.0.1:{BASE_PORT + 30 + i}"]
        self.spawn("standin", arguments)
        names = [f"entry-{i}" for i in range(ENTRIES)] + [f"agent-{i}" for i in range(AGENTS)]
        for number, name in enumerate(names):
            self.proxies[name] = Proxy(BASE_PORT + 80 + number)
            await self.proxies[name].start()
            i = int(name.split("-")[1])
            settings = {"name": name, "zone": "zone-1", "store_address": f"127.0.0.1:{self.proxies[name].port}",
                        "orders_by": "call", "address": "127.0.0.1",
                        "own_ports": [BASE_PORT + 50 + number, BASE_PORT + 60 + number]}
            if name.startswith("entry"):
                settings |= {"front": f"127.0.0.1:{BASE_PORT + 10 + i}", "readiness": f"127.0.0.1:{BASE_PORT + 20 + i}"}
            else:
                settings |= {"control": f"127.0.0.1:{BASE_PORT + 30 + i}", "service": "service",
                             "worker_address": f"127.0.0.1:{BASE_PORT + 40 + i}"}
            with open(self.path(name + ".json"), "w", encoding="utf-8") as file:
                json.dump(settings, file)
            self.start_daemon(name)

    def start_daemon(self, name):
        current = self.processes.get(name)
        if current is not None and current.poll() is None:
            return  # an overlapping fault has already restarted it
        self.spawn(name, [f"{self.build}/hyssoppond", "--role", name.split("-")[0]],
                   {"HYSSOPPOND_SETTINGS": self.path(name + ".json")})

    async def end_daemon(self, name, signal_number):
        process = self.processes[name]
        process.send_signal(signal_number)
        while process.poll() is None:
            await asyncio.sleep(0.05)

    async def fault(self):
        """Applies one random fault for a random time; faults may overlap."""
        rng = self.rng
        name = rng.choice(list(self.proxies))
        kind = rng.choice(["kill", "term", "pause", "silent", "deaf", "delay", "refuse", "reset", "kill_all"])
        if kind == "kill_all" and rng.random() > 0.15:
            kind = "kill"
        length = rng.uniform(0.3, 4.0)
        if kind in ("kill", "term"):
            await self.end_daemon(name, signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            await asyncio.sleep(length / 3)
            self.start_daemon(name)
        elif kind == "kill_all":
            await asyncio.gather(*(self.end_daemon(daemon, signal.SIGKILL) for daemon in self.proxies))
            for daemon in self.proxies:
                self.start_daemon(daemon)
        elif kind == "pause":
            process = self.processes[name]
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(length)
            process.send_signal(signal.SIGCONT)
        elif kind == "reset":
            self.proxies[name].reset()
        else:
            self.proxies[name].mode = kind
            await asyncio.sleep(length)
            self.proxies[name].mode = "pass"
            self.proxies[name].reset()

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for file in self.log_files:
            file.close()


async def call(entry, method, path, body=None):
    """Returns status and body of the answer; status 0 if there was none."""
    try:
        async with asyncio.timeout(CALL_SECONDS):
            reader, writer = await asyncio.open_connection("127.0.0.1", BASE_PORT + 10 + entry)
            content = json.dumps(body).encode() if body else b""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer k1\r\n"
                         f"X-Hyssoppond-Deadline-Ms: 3000\r\nConnection: close\r\n"
                         f"Content-Length: {len(content)}\r\n\r\n".encode() + content)
            answer = await reader.read()
            writer.close()
        head, _, content = answer.partition(b"\r\n\r\n")
        return (int(head.split()[1]), json.loads(content or b"{}")) if head else (0, {})
    except (OSError, asyncio.TimeoutError, ValueError):
        return 0, {}


class Callers:
    def __init__(self, rng):
        self.rng, self.problems = rng, []
        self.accepted, self.cancelled, self.refused = set(), set(), set()

    async def submit(self, job):
        """Submits one job, repeats it while its outcome is unknown, and sometimes cancels it or repeats it later."""
        rng = self.rng
        gang = rng.random() < 0.4
        body = {"spec": "text", "steps": [{"count": rng.randint(1, 4), "cpu": 1000, "memMb": 100,
                                           "gpu": rng.randint(1, 4), "estimateMs": 3000, "gang": gang}]}
        only_refused = True
        for _ in range(6):
            status, _ = await call(rng.randrange(ENTRIES), "POST", "/q/" + job, body)
            if status == 200:
                self.accepted.add(job)
                break
            only_refused = only_refused and status in (429, 503)
            if status in (429, 503) and rng.random() < 0.3:
                break
            await asyncio.sleep(rng.uniform(0.05, 0.6))
        if job not in self.accepted:
            if only_refused:
                self.refused.add(job)
            return
        if rng.random() < 0.15:
            await asyncio.sleep(rng.uniform(0, 3))
            status, _ = await call(rng.randrange(ENTRIES), "DELETE", "/q/" + job)
            if status != 503:
                self.cancelled.add(job)  # also when the outcome is unknown
        elif rng.random() < 0.3:
            await call(rng.randrange(ENTRIES), "POST", "/q/" + job, body)
        await self.check_known(job)

    async def check_known(self, job):
        status, _ = await call(self.rng.randrange(ENTRIES), "GET", "/q/" + job)
        if status == 410:
            self.problems.append(f"accepted job {job} was reported as unknown")

    async def has_ended(self, job):
        for entry in range(ENTRIES):
            status, body = await call(entry, "GET", "/q/" + job)
            if status == 200 and body.get("state") in ("completed", "cancelled"):
                return True
            if status == 200 and body.get("state") == "failed":
                self.problems.append(f"job {job} ended as failed")
                return True
        return False


async def run_seed(build, seed, seconds, folder):
    rng = random.Random(seed)
    site, callers = Site(build, folder, rng), Callers(rng)
    await site.start()
    try:
        await asyncio.sleep(3)
        loop = asyncio.get_running_loop()
        tasks, end, number = [], loop.time() + seconds, 0
        while loop.time() < end:
            number += 1
            tasks.append(asyncio.create_task(callers.submit(f"{seed % 2**32:08x}{number:08x}")))
            if rng.random() < 0.6:
                tasks.append(asyncio.create_task(site.fault()))
            await asyncio.sleep(rng.uniform(0.1, 0.9))
        await asyncio.gather(*tasks)
        open_jobs, deadline = set(callers.accepted), loop.time() + SETTLE_SECONDS
        while open_jobs and loop.time() < deadline:
            open_jobs = {job for job in open_jobs if not await callers.has_ended(job)}
            await asyncio.sleep(0.3)
        callers.problems += [f"accepted job {job} did not end" for job in sorted(open_jobs)]
        for job in sorted(callers.refused):
            status, _ = await call(0, "GET", "/q/" + job)
            if status != 410:
                callers.problems.append(f"refused job {job} exists: {status}")
        with open(site.path("standin.log"), encoding="utf-8") as file:
            callers.problems += [line.strip() for line in file if "BREACH" in line]
    finally:
        site.stop()
        for proxy in site.proxies.values():
            proxy.reset()
            proxy.server.close()
    counts = f"{len(callers.accepted)} accepted, {len(callers.cancelled)} cancelled, {len(callers.refused)} refused"
    return counts, callers.problems


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--base-port", type=int, default=BASE_PORT)
    options = parser.parse_args()
    globals()["BASE_PORT"] = options.base_port
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        folder = tempfile.mkdtemp(prefix="hyssoppond-soak-")
        counts, problems = asyncio.run(run_seed(options.build, seed, options.seconds, folder))
        failed += bool(problems)
        print(f"seed {seed}: {'FAILED' if problems else 'passed'}; {counts}", flush=True)
        for problem in problems:
            print(f"  {problem}")
        if problems:
            print(f"  logs: {folder}", flush=True)
        else:
            for name in os.listdir(folder):
                os.remove(os.path.join(folder, name))
            os.rmdir(folder)
    print(f"{options.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
