"""Stand-ins of the platform on loopback, written for the second review: the store, runners and callers.

They follow PROTOCOL.md and DEPLOY.md. Everything runs in one asyncio loop; the project's programs are
separate processes, started with the commands of deploy/system.toml. Only the standard library is used.
"""
import asyncio
import base64
import bisect
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPO = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"


def now_ms():
    return time.monotonic() * 1000.0


def free_ports(count):
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind((HOST, 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Recorder:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


def anonymous_mb(pid):
    """Memory of a process that is not backed by files, in MB."""
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


class HttpServer:
    """HTTP/1.1 server with kept connections. `handle(method, target, headers, body)` returns
    (status, headers, body), or None to close the connection without an answer."""

    def __init__(self, port, handle):
        self.port = port
        self.handle = handle
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, limit=1 << 24)

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    writer.transport.abort()
                    return
                status, extra, content = answer
                out = f"HTTP/1.1 {status} x\r\nContent-Length: {len(content)}\r\n"
                for name, value in extra.items():
                    out += f"{name}: {value}\r\n"
                writer.write(out.encode() + b"\r\n" + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def http_call(port, method, path, body=b"", headers=None, timeout=5.0):
    """One request on a connection of its own. Returns (status, headers, body), or None without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            lines = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(body)}"]
            for name, value in (headers or {}).items():
                lines.append(f"{name}: {value}")
            if "Host" not in (headers or {}):
                lines.append(f"Host: {HOST}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            rows = head.decode("latin-1").split("\r\n")
            fields = {}
            for row in rows[1:]:
                if ":" in row:
                    name, value = row.split(":", 1)
                    fields[name.strip().lower()] = value.strip()
            content = await reader.readexactly(int(fields.get("content-length", "0")))
            return int(rows[0].split(" ")[1]), fields, content
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


def answer(status, content):
    return status, {"Content-Type": "application/json"}, json.dumps(content).encode()


class Store:
    """The platform's store in the form of a log (PROTOCOL.md, "The platform's metadata store")."""

    CALL_BYTES = 2097152
    RECORD_BYTES = 262144
    TOTAL_BYTES = 400_000_000
    APPEND_S = 0.002
    PART_BYTES_S = 20e6
    READ_KB = 1024
    KEEP_S = 300

    def __init__(self, port, record):
        self.port = port
        self.record = record
        self.topics = {}
        self.groups = {}
        self.bytes = 0
        self.intercept = None  # async (method, path, query, headers, body, go) -> answer
        self.refused_appends = []
        self.full = False
        self.http = HttpServer(port, self.handle)

    def topic(self, name):
        if name not in self.topics:
            self.topics[name] = {
                "records": [], "first": 0, "newest": {}, "keys": [], "producers": {},
                "busy_until": 0.0, "event": asyncio.Event(),
            }
        return self.topics[name]

    def add(self, name, content):
        topic = self.topic(name)
        offset = len(topic["records"])
        topic["records"].append(content)
        self.bytes += len(content)
        if name.startswith("keyed."):
            size = content[0]
            key, value = content[1 : 1 + size], content[1 + size :]
            if value:
                if key not in topic["newest"]:
                    bisect.insort(topic["keys"], key)
                topic["newest"][key] = (offset, value)
            elif topic["newest"].pop(key, None) is not None:
                topic["keys"].remove(key)
        return offset

    def put_operator(self, key, value):
        """The operator writes a record of keyed.op."""
        content = bytes([len(key)]) + key.encode() + value.encode()
        self.add("keyed.op", content)
        topic = self.topic("keyed.op")
        topic["event"].set()
        topic["event"] = asyncio.Event()

    async def handle(self, method, target, headers, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}

        async def go():
            return await self.carry_out(parts.path, query, body)

        if self.intercept is not None:
            return await self.intercept(method, parts.path, query, headers, body, go)
        return await go()

    async def carry_out(self, path, query, body):
        if path == "/-/log-append":
            return await self.append(query, body)
        if path == "/-/log-read":
            return await self.read(query)
        if path == "/-/log-newest":
            return self.newest(query)
        if path == "/-/log-join":
            return self.join(json.loads(body))
        if path == "/-/log-leave":
            request = json.loads(body)
            group = self.groups.setdefault(request["group"], self.new_group())
            group["members"].pop(request["member"], None)
            self.deal(group)
            return answer(200, {})
        if path == "/-/log-owners":
            return answer(200, {"rows": []})
        return answer(404, {})

    async def append(self, query, body):
        name = query["topic"]
        if name in ("keyed.op", "keyed.servers"):
            return answer(403, {})
        topic = self.topic(name)
        records, at = [], 0
        while at < len(body):
            (length,) = struct.unpack(">I", body[at : at + 4])
            records.append(body[at + 4 : at + 4 + length])
            at += 4 + length
        total = sum(len(one) for one in records)
        if total > self.CALL_BYTES or any(len(one) > self.RECORD_BYTES for one in records):
            self.refused_appends.append((time.monotonic(), len(records), total))
            self.record(f"store: append of {len(records)} records, {total} bytes to {name} answered 413: above callBytes")
            return answer(413, {"message": "the records of one call total more than callBytes"})
        if self.bytes + total > self.TOTAL_BYTES:
            if not self.full:
                self.record(f"store: {self.bytes / 1e6:.1f} MB are stored, appends receive 507 from now on")
            self.full = True
            return answer(507, {})
        wait = max(0.0, topic["busy_until"] - time.monotonic())
        if wait > 2.0:
            return answer(503, {})
        took = self.APPEND_S + total / self.PART_BYTES_S
        topic["busy_until"] = time.monotonic() + wait + took
        await asyncio.sleep(wait + took)
        if "asOf" in query and int(query["asOf"]) != len(topic["records"]):
            return answer(412, {"end": len(topic["records"])})
        if "producer" in query:
            epoch, seq = int(query["epoch"]), int(query.get("seq", "0"))
            known = topic["producers"].get(query["producer"])
            if known and epoch < known["epoch"]:
                return answer(409, {"reason": "fenced"})
            if known is None or epoch > known["epoch"]:
                known = {"epoch": epoch, "last": None, "answers": {}}
                topic["producers"][query["producer"]] = known
            if records:
                if seq in known["answers"]:
                    return answer(200, known["answers"][seq])
                if known["last"] is not None and seq != known["last"] + 1:
                    return answer(409, {"reason": "seq", "expected": known["last"] + 1})
        if not records:
            return answer(200, {"offset": len(topic["records"]), "end": len(topic["records"])})
        offset = [self.add(name, one) for one in records][0]
        content = {"offset": offset, "end": len(topic["records"])}
        if "producer" in query:
            known["last"] = seq
            known["answers"][seq] = content
            for old in [n for n in known["answers"] if n <= seq - 5]:
                del known["answers"][old]
        topic["event"].set()
        topic["event"] = asyncio.Event()
        return answer(200, content)

    async def read(self, query):
        name = query["topic"]
        if name not in self.topics:
            return 200, {}, struct.pack(">QQ", 0, 0)
        topic = self.topics[name]
        start = int(query["from"])
        until = time.monotonic() + min(int(query.get("waitMs", "0")), 30000) / 1000.0
        while start >= len(topic["records"]) and time.monotonic() < until:
            event = topic["event"]
            try:
                await asyncio.wait_for(event.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        out = [struct.pack(">QQ", len(topic["records"]), topic["first"])]
        size = 0
        for at in range(start, len(topic["records"])):
            content = topic["records"][at]
            size += len(content) + 4
            if size > int(query.get("maxKb", self.READ_KB)) * 1024 and len(out) > 1:
                break
            out.append(struct.pack(">I", len(content)) + content)
        return 200, {}, b"".join(out)

    def newest(self, query):
        name = query["topic"]
        if name not in self.topics:
            return answer(200, {"items": [], "more": False, "end": 0})
        topic = self.topics[name]
        after = query.get("dependsOn", "").encode()
        items, size, more = [], 0, False
        keys = topic["keys"]
        for at in range(bisect.bisect_right(keys, after) if after else 0, len(keys)):
            key = keys[at]
            offset, value = topic["newest"][key]
            if len(items) >= 500 or size > 700_000:
                more = True
                break
            size += len(value)
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
        return answer(200, {"items": items, "more": more, "end": len(topic["records"])})

    @staticmethod
    def new_group():
        return {"generation": 0, "members": {}, "parts": {}}

    def deal(self, group):
        names = sorted(group["members"])
        owners = {part: (names[part % len(names)] if names else None) for part in range(12)}
        # A partition stays with a member that is still there, if that keeps the shares even.
        for part, owner in group["parts"].items():
            if owner in group["members"] and list(owners.values()).count(owner) > 0:
                other = next((p for p, o in owners.items() if o == owner and group["parts"].get(p) != owner), None)
                if owners[part] != owner and other is not None:
                    owners[other], owners[part] = owners[part], owner
        if owners != group["parts"]:
            group["parts"] = owners
            group["generation"] += 1

    def join(self, request):
        group = self.groups.setdefault(request["group"], self.new_group())
        now = time.monotonic()
        for name in [n for n, until in group["members"].items() if until < now]:
            del group["members"][name]
        group["members"][request["member"]] = now + max(1000, request["ttlMs"]) / 1000.0
        self.deal(group)
        rows = [[request["topics"][0], part, 0] for part, owner in group["parts"].items() if owner == request["member"]]
        return answer(200, {"generation": group["generation"], "parts": rows})


class Runner:
    """A runner (PROTOCOL.md, "Running work items"). `duration_ms(task)` tells how long an item works."""

    def __init__(self, name, port, control, record, history, duration_ms, cpu=64000, mem=262144, gpu=8, rack="r1-1",
                 stop_ms=400, hold_max_ms=6000, gang_ms=3000, start_delay_ms=30):
        self.name, self.port, self.control = name, port, control
        self.record, self.history, self.duration_ms = record, history, duration_ms
        self.capacity = {"cpu": cpu, "memMb": mem, "gpu": gpu}
        self.needs = {}  # job -> step -> needs, filled by Site.submit
        self.rack, self.stop_ms, self.hold_max_ms, self.gang_ms = rack, stop_ms, hold_max_ms, gang_ms
        self.http = HttpServer(port, self.handle)
        self.intercept = None
        self.beating = None
        self.state = "ready"
        self.seq = 0
        self.reset_life()

    def reset_life(self):
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.fence = 0
        self.until = 0.0
        self.running = {}
        self.ended = []
        self.next_end = 1
        self.last_runs = {}
        self.changed = asyncio.Event()
        self.alive = True

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    async def start(self):
        await self.http.start()
        self.beating = asyncio.create_task(self.beat())
        self.watching = asyncio.create_task(self.watch())

    async def stop(self):
        self.alive = False
        for task in (self.beating, self.watching):
            task.cancel()
        await self.http.stop()
        for run in list(self.running.values()):
            self.history.ended(run["task"], run["run"], self.name, "gone")
        self.running.clear()

    def heartbeat(self):
        self.seq += 1
        return {"service": "service", "address": f"{HOST}:{self.port}", "zone": "zone-1", "version": "v1", "slots": 8,
                "state": self.state, "coldLeftMs": 0, "capacity": self.capacity, "labels": ["a", self.rack],
                "clockMs": self.clock(), "born": self.born, "seq": self.seq}

    async def beat(self):
        while True:
            body = json.dumps(self.heartbeat()).encode()
            await http_call(self.control, "POST", f"/-/Instances.Heartbeat/{self.name}", body,
                            {"Content-Type": "application/json"}, timeout=1.0)
            await asyncio.sleep(1.5)

    def end(self, key, how):
        run = self.running.pop(key)
        self.ended.append([self.next_end, run["task"], run["run"], how, run["saved"]])
        self.next_end += 1
        self.history.ended(run["task"], run["run"], self.name, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def watch(self):
        while True:
            await asyncio.sleep(0.02)
            clock = self.clock()
            if self.running and clock > self.until:
                for key in list(self.running):
                    self.end(key, "lapsed")
            for key, run in list(self.running.items()):
                if key not in self.running:
                    continue
                if run["stop_at"] is not None and clock >= run["stop_at"]:
                    self.end(key, "stopped")
                elif clock >= run["done_at"]:
                    self.end(key, "done")

    async def handle(self, method, target, headers, body):
        async def go():
            return await self.carry_out(target, headers, json.loads(body or b"{}"))

        if self.intercept is not None:
            return await self.intercept(method, target, headers, body, go)
        return await go()

    def refuse(self, reason):
        return answer(409, {"clockMs": self.clock(), "reason": reason, "born": self.born})

    async def carry_out(self, target, headers, body):
        expected = headers.get("x-hyssoppond-expect-instance")
        if expected is not None and expected != self.name:
            return answer(421, {"clockMs": self.clock()})
        token = int(body.get("fenceToken", 0))
        if token < self.fence:
            return self.refuse("fence")
        self.fence = token
        if "untilMs" in body:
            self.until = max(self.until, min(int(body["untilMs"]), self.clock() + self.hold_max_ms))
        if target == "/-/run-start":
            return self.run_start(body)
        if target == "/-/run-stop":
            key = body["task"]
            run = self.running.get(key)
            self.last_runs[key] = max(self.last_runs.get(key, 0), int(body["runId"]))
            if run is not None and run["run"] == int(body["runId"]) and run["stop_at"] is None:
                run["stop_at"] = self.clock() + self.stop_ms // 2
            return answer(200, {"clockMs": self.clock()})
        if target == "/-/hold":
            seen = int(body.get("lastSeen", 0))
            for end in [e for e in self.ended if e[0] <= seen]:
                self.history.noted(end[1], end[2], self.name)
            self.ended = [e for e in self.ended if e[0] > seen]
            wait = int(body.get("waitMs", 0))
            if wait and not self.ended:
                try:
                    await asyncio.wait_for(self.changed.wait(), min(wait, 2000) / 1000.0)
                except asyncio.TimeoutError:
                    pass
            rows = [[r["task"], r["run"], r["saved"], min(100, int(100 * (self.clock() - r["at"]) / max(1, r["ms"]))), 0]
                    for r in self.running.values()]
            return answer(200, {"clockMs": self.clock(), "born": self.born, "running": rows, "ended": self.ended[:500]})
        return answer(404, {})

    def run_start(self, body):
        key, number = body["task"], int(body["runId"])
        run = self.running.get(key)
        if run is not None and run["run"] == number:
            return answer(200, {"clockMs": self.clock()})
        if number <= self.last_runs.get(key, 0) or run is not None:
            return self.refuse("old")
        if int(body["untilMs"]) <= self.clock():
            return self.refuse("late")
        need = self.needs.get(key.split(".")[0], {}).get(int(key.split(".")[2]), {})
        for field in ("cpu", "memMb", "gpu"):
            used = sum(self.needs.get(k.split(".")[0], {}).get(int(k.split(".")[2]), {}).get(field, 0) for k in self.running)
            if used + need.get(field, 0) > self.capacity[field]:
                return self.refuse("room")
        ms = self.duration_ms(key)
        self.last_runs[key] = number
        self.running[key] = {"task": key, "run": number, "saved": "", "at": self.clock(), "ms": ms,
                             "done_at": self.clock() + ms, "stop_at": None}
        self.history.started(key, number, self.name, body.get("spec", ""))
        return answer(200, {"clockMs": self.clock()})


class History:
    """What the runners have run, and two runs of one item at the same time."""

    def __init__(self, record):
        self.record = record
        self.quiet = False  # for runs that are too many to record
        self.runs = {}   # task -> list of [run, runner, start, end, how, noted]
        self.specs = {}

    def started(self, task, run, runner, spec):
        rows = self.runs.setdefault(task, [])
        rows.append([run, runner, time.monotonic(), None, None, False])
        self.specs[task] = spec
        if not self.quiet:
            self.record(f"{runner}: start {task} run {run}")

    def ended(self, task, run, runner, how):
        for row in self.runs.get(task, []):
            if row[0] == run and row[1] == runner and row[3] is None:
                row[3], row[4] = time.monotonic(), how
        if not self.quiet:
            self.record(f"{runner}: end {task} run {run} {how}")

    def noted(self, task, run, runner):
        for row in self.runs.get(task, []):
            if row[0] == run and row[1] == runner:
                row[5] = True

    def twice(self):
        """Items with two runs at the same time, or with a start after a noted end `done`."""
        found = []
        for task, rows in self.runs.items():
            for i, a in enumerate(rows):
                for b in rows[i + 1 :]:
                    if b[2] < (a[3] or float("inf")):
                        found.append((task, "two runs at the same time", a, b))
                    elif a[4] == "done" and a[5]:
                        found.append((task, "start after a noted end done", a, b))
        return found


class Site:
    """A small deployment: entries, agents with runners, and the store."""

    def __init__(self, folder, entries=2, agents=2, config=None, settings=None, runner_options=None):
        self.folder = Path(folder)
        self.record = Recorder(self.folder / "record.txt")
        self.work = Path(tempfile.mkdtemp(prefix="review-"))
        self.history = History(self.record)
        self.durations = {}
        self.default_ms = 1000
        self.processes = {}
        self.files = {}
        self.settings = settings or {}
        self.shares = {}  # name -> share of a core, if it is not 0.25
        self.deploy = tomllib.loads((REPO / "deploy/system.toml").read_text())
        ports = free_ports(2 + entries * 4 + agents * 4)
        self.store = Store(ports.pop(), self.record)
        self.entries, self.agents, self.runners = {}, {}, {}
        for i in range(1, entries + 1):
            self.entries[f"entry-{i}"] = {"front": ports.pop(), "ready": ports.pop(), "own": [ports.pop(), ports.pop()]}
        for i in range(1, agents + 1):
            agent = {"control": ports.pop(), "runner": ports.pop(), "own": [ports.pop(), ports.pop()]}
            self.agents[f"agent-{i}"] = agent
            self.runners[f"runner-{i}"] = Runner(f"i-{i}", agent["runner"], agent["control"], self.record, self.history,
                                                 lambda task: self.durations.get(task.split(".")[0], self.default_ms),
                                                 rack=f"r1-{(i - 1) // 3}", **(runner_options or {}))
        self.config = config or {
            "version": 7,
            "routes": [
                {"name": "urgent", "host": "site.example", "pathPrefix": "/u/", "priority": 0, "service": "service",
                 "maxAttempts": 4, "stretch": 3.0, "targetLatencyMs": 1000, "public": False},
                {"name": "batch", "host": "site.example", "pathPrefix": "/b/", "priority": 1, "service": "service",
                 "maxAttempts": 4, "stretch": 3.0, "targetLatencyMs": 1000, "public": False}],
            "services": [{"name": "service", "admissionCheck": True}],
            "tenants": [{"name": "east", "apiKeys": ["k-east"], "guaranteed": {"gpu": 8}}],
        }

    def settings_of(self, name):
        fields = {"name": name, "zone": "zone-1", "address": HOST, "orders_by": "call",
                  "store_address": f"{HOST}:{self.store.port}", "memory_mb": 260, "processor_share": self.shares.get(name, 0.25),
                  "longest_lease_ms": 6000, "gang_timeout_ms": 3000, "remote_factor": 3, "reclaim_ms": 2900,
                  "stop_ms": 400, "keys_valid_ms": 5000, "stop_grace_seconds": 6}
        if name in self.entries:
            entry = self.entries[name]
            # own_ports is a range of ports; the first serves metrics, the second takes datagrams.
            fields |= {"front": f"{HOST}:{entry['front']}", "readiness": f"{HOST}:{entry['ready']}", "control": "",
                       "worker_address": "", "service": "", "own_ports": self.own_ports(entry)}
        else:
            agent = self.agents[name]
            fields |= {"front": "", "readiness": "", "control": f"{HOST}:{agent['control']}",
                       "worker_address": f"{HOST}:{agent['runner']}", "service": "service",
                       "own_ports": self.own_ports(agent)}
        return fields | self.settings

    @staticmethod
    def own_ports(ports):
        if "range" not in ports:
            while True:
                (first,) = free_ports(1)
                s = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                try:
                    s.bind((HOST, first + 1))
                    ports["range"] = [first, first + 1]
                    break
                except OSError:
                    continue
                finally:
                    s.close()
        return ports["range"]

    def launch(self, name):
        role = "entry" if name in self.entries else "agent"
        path = self.work / f"{name}.json"
        path.write_text(json.dumps(self.settings_of(name)))
        words = self.deploy["roles"][role]["run"].split()
        log = self.files.setdefault(name, open(self.work / f"{name}.log", "ab"))
        import subprocess
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["HYSSOPPOND_SETTINGS"] = str(path)
        self.processes[name] = subprocess.Popen(words, cwd=REPO, env=env, stdout=log, stderr=log,
                                                stdin=subprocess.DEVNULL)
        self.record(f"started {name}, process {self.processes[name].pid}")

    def kill(self, name, how=signal.SIGKILL):
        self.processes[name].send_signal(how)
        self.record(f"sent signal {int(how)} to {name}")
        if how == signal.SIGKILL:
            self.processes[name].wait()

    def alive(self, name):
        return self.processes[name].poll() is None

    async def start(self):
        self.store.put_operator("config", json.dumps(self.config))
        await self.store.http.start()
        for runner in self.runners.values():
            await runner.start()
        for name in [*self.entries, *self.agents]:
            self.launch(name)

    async def ready(self, limit=20.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            states = [await http_call(e["ready"], "GET", "/-/readyz", timeout=1.0) for e in self.entries.values()]
            if all(s is not None and s[0] == 200 for s in states):
                return True
            await asyncio.sleep(0.2)
        return False

    async def call(self, entry, method, path, body=b"", key="k-east", deadline_ms=3000, timeout=None, quiet=False):
        headers = {"Host": "site.example", "Authorization": f"Bearer {key}", "Content-Type": "application/json",
                   "X-Hyssoppond-Deadline-Ms": str(deadline_ms)}
        got = await http_call(self.entries[entry]["front"], method, path, body, headers,
                              timeout if timeout is not None else deadline_ms / 1000.0)
        status = got[0] if got else None
        content = got[2].decode(errors="replace") if got else ""
        if not quiet:
            self.record(f"caller: {method} {path} at {entry} -> {status} {content[:200]}")
        return status, content

    def note_job(self, job, body, ms):
        steps = {i: {k: step.get(k, 0) for k in ("cpu", "memMb", "gpu")} for i, step in enumerate(body["steps"])}
        for runner in self.runners.values():
            runner.needs[job] = steps
        self.durations[job] = ms

    async def submit(self, entry, prefix, job, body, ms, **options):
        self.note_job(job, body, ms)
        return await self.call(entry, "POST", prefix + job, json.dumps(body).encode(), **options)

    async def state(self, entry, prefix, job, **options):
        status, content = await self.call(entry, "GET", prefix + job, **options)
        return json.loads(content).get("state") if status == 200 else status

    async def stop(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        until = time.monotonic() + 7
        for process in self.processes.values():
            while process.poll() is None and time.monotonic() < until:
                await asyncio.sleep(0.05)
            if process.poll() is None:
                process.kill()
            process.wait()
        for file in self.files.values():
            file.close()
        for runner in self.runners.values():
            await runner.stop()
        await self.store.http.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.work, keep, dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)


def job_id(rng):
    return f"{rng.getrandbits(64):016x}"


def main(folder, play, limit=115):
    """Runs `play(site_folder, trouble)`, which returns True if the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        held = asyncio.run(asyncio.wait_for(play(Path(folder), trouble), limit))
    except (asyncio.TimeoutError, OSError, RuntimeError) as problem:
        print(f"the case could not run: {problem!r}")
        return 2
    print("the rule held" if held else "the rule was broken")
    return 0 if held else 1
