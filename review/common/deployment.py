"""Stand-ins for the users' platform on loopback, and the start of the project's own programs.

The store, the runners and the requesters live in the process of the case. The programs under test are separate
processes, started with the commands of deploy/system.toml and settings rendered as in platform/settings.template.
Only the Python standard library is used.
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

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(REPO, "target", "hyssoppond")
HELD, BROKEN, NOT_RUN = 0, 1, 2

REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict", 410: "Gone",
           413: "Content Too Large", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable", 507: "Insufficient Storage"}


class Record:
    """Writes record.txt: one line for each message or observation, with the time since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.headers = headers
        self.body = body
        path, _, query = target.partition("?")
        self.path = path
        self.query = {}
        for pair in query.split("&") if query else []:
            name, _, value = pair.partition("=")
            self.query[name] = unquote(value)

    def json(self):
        return json.loads(self.body or b"{}")


def unquote(text):
    from urllib.parse import unquote as decode
    return decode(text)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class HttpServer:
    """handler(request) returns (status, body) with bytes or an object to be encoded as JSON, or None for no answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def listen(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 22, backlog=512)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await self.handler(Request(method, target, headers, body))
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                kind = "application/octet-stream"
                if not isinstance(content, bytes):
                    content, kind = json.dumps(content).encode(), "application/json"
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\nContent-Type: {kind}\r\n"
                             f"Content-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.close()


async def http_call(port, method, path, body=None, headers=None, timeout=5.0):
    """Returns (status, headers, body), or (0, {}, b"") if there was no complete answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
        try:
            content = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": f"127.0.0.1:{port}", "Content-Length": str(len(content))}
            if content:
                fields["Content-Type"] = "application/json"
            fields.update(headers or {})
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + content)
            await writer.drain()
            line, answer_headers = await read_head(reader)
            answer = await reader.readexactly(int(answer_headers.get("content-length", "0")))
            return int(line.split(" ")[1]), answer_headers, answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, {}, b""


class Store:
    """The log of PROTOCOL.md, "The platform's metadata store", with one process's view of time."""

    RECORD_BYTES = 262144
    CALL_BYTES = 2097152
    TOTAL_BYTES = 400 * 1000 * 1000
    PARTS = 12
    PAGE_ITEMS = 500
    PAGE_BYTES = 1000000
    APPEND_S = 0.002
    WRITES_PER_S = 800
    READS_PER_S = 2000

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.producers = {}
        self.groups = {}
        self.bytes = 0
        self.changed = asyncio.Event()
        self.rejected = []  # (time, topic, bytes, status) of appends over a limit
        self.appends = asyncio.Lock()
        self.windows = {"write": [0, 0.0], "read": [0, 0.0]}
        self.gate = None  # gate(request) may answer in the place of the store
        self.http = HttpServer(self.handle)

    def within_rate(self, kind, limit, weight=1.0):
        window = self.windows[kind]
        second = int(time.monotonic())
        if window[0] != second:
            window[0], window[1] = second, 0.0
        window[1] += weight
        return window[1] <= limit

    def topic(self, name):
        return self.topics.setdefault(name, {"records": [], "newest": {}, "keys": []})

    def put(self, topic, key, value):
        """Appends a record as the operator does."""
        self.add(topic, struct.pack("B", len(key)) + key.encode() + value)
        self.wake()

    def add(self, topic, content):
        state = self.topic(topic)
        offset = len(state["records"])
        state["records"].append(content)
        self.bytes += len(content)
        if topic.startswith("keyed.") and content and len(content) >= 1 + content[0]:
            key, value = content[1:1 + content[0]], content[1 + content[0]:]
            if value:
                if key not in state["newest"]:
                    bisect.insort(state["keys"], key)
                state["newest"][key] = (offset, value)
            elif state["newest"].pop(key, None):
                state["keys"].remove(key)
        return offset

    def wake(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def handle(self, request):
        if self.gate is not None:
            answer = await self.gate(request)
            if answer != "serve":
                return answer
        path = request.path
        if path in ("/-/log-read", "/-/log-newest", "/-/log-owners"):
            if not self.within_rate("read", self.READS_PER_S):
                return 429, {}
        elif not self.within_rate("write", self.WRITES_PER_S, 0.1 if path.startswith("/-/log-join") else 1.0):
            return 429, {}
        if path == "/-/log-append":
            return await self.append(request)
        if path == "/-/log-read":
            return await self.read(request)
        if path == "/-/log-newest":
            return self.newest(request)
        if path == "/-/log-join":
            return self.join(request)
        if path == "/-/log-leave":
            return self.leave(request)
        return 404, {}

    async def append(self, request):
        query = request.query
        topic = query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        if len(request.body) > self.CALL_BYTES:
            self.rejected.append((self.record.now(), topic, len(request.body), 413))
            self.record(f"store: append of {len(request.body)} bytes to {topic} rejected: over callBytes")
            return 413, {"reason": "callBytes"}
        records, position = [], 0
        while position < len(request.body):
            length, = struct.unpack_from(">I", request.body, position)
            records.append(request.body[position + 4:position + 4 + length])
            position += 4 + length
        if any(len(content) > self.RECORD_BYTES for content in records):
            size = max(len(content) for content in records)
            self.rejected.append((self.record.now(), topic, size, 413))
            self.record(f"store: append to {topic} rejected: a record of {size} bytes is over recordBytes")
            return 413, {"reason": "recordBytes"}
        if self.bytes + len(request.body) > self.TOTAL_BYTES:
            return 507, {}
        async with self.appends:  # a partition processes its appends one at a time
            await asyncio.sleep(self.APPEND_S)
            state = self.topic(topic)
            if "producer" in query:
                producer = self.producers.setdefault((topic, query["producer"]), [-1, 0, {}])
                epoch, sequence = int(query["epoch"]), int(query["seq"])
                if epoch < producer[0]:
                    return 409, {"reason": "fenced"}
                if epoch > producer[0]:
                    producer[0], producer[1], producer[2] = epoch, sequence - 1, {}
                if sequence in producer[2]:
                    return 200, producer[2][sequence]
                if sequence != producer[1] + 1:
                    return 409, {"reason": "seq", "expected": producer[1] + 1}
            if "asOf" in query and int(query["asOf"]) != len(state["records"]):
                return 412, {"end": len(state["records"])}
            first = len(state["records"])
            for content in records:
                self.add(topic, content)
            answer = {"offset": first, "end": len(state["records"])}
            if "producer" in query:
                producer[1] = sequence
                producer[2][sequence] = answer
                for old in sorted(producer[2])[:-5]:
                    del producer[2][old]
        self.wake()
        return 200, answer

    async def read(self, request):
        topic, start = request.query["topic"], int(request.query["from"])
        limit = int(request.query.get("maxKb", "1024")) * 1024
        deadline = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000
        await asyncio.sleep(0.001)
        while True:
            records = self.topics.get(topic, {"records": []})["records"]
            left = deadline - time.monotonic()
            if start < len(records) or left <= 0:
                break
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        out = [struct.pack(">QQ", len(records), 0)]
        size = 0
        for content in records[start:]:
            if size and size + len(content) + 4 > limit:
                break
            out.append(struct.pack(">I", len(content)) + content)
            size += len(content) + 4
        return 200, b"".join(out)

    def newest(self, request):
        topic = self.topics.get(request.query["topic"])
        if topic is None:
            return 404, {}
        after = request.query.get("dependsOn", "").encode()
        items, size, more = [], 0, False
        keys = topic["keys"]
        for index in range(bisect.bisect_right(keys, after) if after else 0, len(keys)):
            key = keys[index]
            offset, value = topic["newest"][key]
            if len(items) >= self.PAGE_ITEMS or (items and size + len(value) > self.PAGE_BYTES):
                more = True
                break
            size += len(value)
            items.append({"key": key.decode("utf-8", "replace"), "value": base64.b64encode(value).decode(),
                          "offset": offset})
        return 200, {"items": items, "more": more, "end": len(topic["records"])}

    def join(self, request):
        body = request.json()
        now = time.monotonic()
        group = self.groups.setdefault(body["group"], {"members": {}, "generation": 0, "owners": {}, "seen": {}})
        members = group["members"]
        expired = [name for name, until in members.items() if until < now]
        changed = bool(expired) or body["member"] not in members
        for name in expired:
            del members[name]
            group["seen"].pop(name, None)
        members[body["member"]] = now + max(1000, body["ttlMs"]) / 1000
        if changed:
            group["generation"] += 1
        group["seen"][body["member"]] = max(body.get("generation", 0), group["seen"].get(body["member"], 0))
        self.assign(group)
        topic = body["topics"][0]
        rows = [[topic, part, 0] for part, owner in sorted(group["owners"].items()) if owner == body["member"]
                and group["wanted"][part] == owner]
        group["seen"][body["member"]] = group["generation"]
        return 200, {"generation": group["generation"], "parts": rows}

    def assign(self, group):
        """A partition moves when its owner has joined with the present generation, has left or has expired."""
        names = sorted(group["members"])
        group["wanted"] = {}
        count = max(1, len(names))
        for part in range(self.PARTS):
            if not names:
                group["owners"].pop(part, None)
                continue
            owner = group["owners"].get(part)
            wanted = owner if owner in names and sum(
                1 for p, o in group["wanted"].items() if o == owner) < -(-self.PARTS // count) else None
            if wanted is None:
                load = {name: sum(1 for o in group["wanted"].values() if o == name) for name in names}
                wanted = min(names, key=lambda name: load[name])
            group["wanted"][part] = wanted
            if owner is None or owner not in names or owner == wanted \
                    or group["seen"].get(owner, 0) >= group["generation"]:
                group["owners"][part] = wanted

    def leave(self, request):
        body = request.json()
        group = self.groups.get(body["group"])
        if group and body["member"] in group["members"]:
            del group["members"][body["member"]]
            group["seen"].pop(body["member"], None)
            group["generation"] += 1
            self.assign(group)
        return 200, {}


class Jobs:
    """What the requesters have submitted, so that runners know the needs of a work item, and what has run."""

    def __init__(self, record):
        self.record = record
        self.jobs = {}
        self.gangs = {}
        self.starts = []  # (time, runner id, task, run)
        self.ends = []    # (time, runner id, task, run, how)

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)] if job in self.jobs else None


class Runner:
    """One life of a runner, as in PROTOCOL.md, "Running work items"."""

    def __init__(self, site, index, ident, port, labels, capacity):
        self.site, self.index, self.ident, self.port = site, index, ident, port
        self.labels, self.capacity = labels, capacity
        self.record, self.jobs = site.record, site.jobs
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.fence = 0
        self.running = {}   # task -> dict
        self.over = {}      # task -> highest run stopped or ended here
        self.ended = []     # [number, task, run, how, saved]
        self.next_end = 1
        self.lease = 0
        self.state = "ready"
        self.sequence = 0
        self.acknowledged_draining = None
        self.refuse_starts = False
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)
        self.tasks = []

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    async def begin(self):
        await self.http.listen(self.port)
        self.tasks = [asyncio.create_task(self.expire()), asyncio.create_task(self.beat())]

    def report(self, state=None):
        self.sequence += 1
        report = {"service": "service", "address": f"127.0.0.1:{self.port}", "zone": "zone-1", "version": "v1",
                  "slots": 8, "state": state or self.state, "coldLeftMs": 0, "capacity": self.capacity,
                  "labels": self.labels, "clockMs": self.clock(), "seq": self.sequence, "born": self.born}
        if self.state == "draining":
            report["remainingMs"] = 2000
        return report

    async def send_report(self, report):
        status, _, _ = await http_call(self.site.control_port(self.index), "POST",
                                       f"/-/Instances.Heartbeat/{self.ident}", report, timeout=1.0)
        self.record(f"runner {self.ident}: liveness report seq {report['seq']} {report['state']} -> {status}")
        if status == 200 and report["state"] == "draining" and self.acknowledged_draining is None:
            self.acknowledged_draining = time.monotonic()
        return status

    async def beat(self):
        while True:
            await self.send_report(self.report())
            await asyncio.sleep(self.site.HEARTBEAT_S)

    async def expire(self):
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.clock() >= self.lease:
                for task in list(self.running):
                    self.end(task, "lapsed")

    def notify(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def end(self, task, how):
        run = self.running.pop(task, None)
        if run is None:
            return
        if run["timer"]:
            run["timer"].cancel()
        self.over[task] = max(self.over.get(task, 0), run["run"])
        self.ended.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.jobs.ends.append((time.monotonic(), self.ident, task, run["run"], how))
        self.record(f"runner {self.ident}: end {task}/{run['run']} {how}")
        self.notify()
        gang = run["gang"]
        if gang and not gang["over"]:
            gang["over"] = True
            for runner, member in list(gang["members"]):
                runner.end(member, "done" if how == "done" else "broken")

    def used(self):
        total = {"cpu": 0, "memMb": 0, "gpu": 0}
        for run in self.running.values():
            for name in total:
                total[name] += run["need"][name]
        return total

    def refusal(self, request, body):
        expected = request.headers.get("x-hyssoppond-expect-instance")
        if expected is not None and expected != self.ident:
            return 421, {}
        if body.get("fenceToken", 0) < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = body.get("fenceToken", 0)
        return None

    async def handle(self, request):
        body = request.json()
        if request.method != "POST":
            return 404, {}
        if request.path == "/-/run-start":
            return self.start(request, body)
        refused = self.refusal(request, body)
        if refused:
            return refused
        if request.path == "/-/run-stop":
            task = body["task"]
            if task in self.running and self.running[task]["run"] == body["runId"]:
                asyncio.get_running_loop().call_later(self.site.STOP_S, self.end, task, "stopped")
            self.over[task] = max(self.over.get(task, 0), body["runId"])
            return 200, {"clockMs": self.clock()}
        if request.path == "/-/hold":
            return await self.hold(body)
        return 404, {}

    def extend(self, until):
        self.lease = max(self.lease, min(until, self.clock() + self.site.HOLD_MAX_MS))

    def start(self, request, body):
        task, run = body["task"], body["runId"]
        if self.refuse_starts:
            self.record(f"runner {self.ident}: start {task}/{run} refused: unhealthy")
            return 503, {}
        refused = self.refusal(request, body)
        if refused:
            return refused
        if body["untilMs"] <= self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        if task in self.running and self.running[task]["run"] == run:
            self.extend(body["untilMs"])
            return 200, {"clockMs": self.clock()}
        if run <= self.over.get(task, 0):
            self.extend(body["untilMs"])
            return 409, {"clockMs": self.clock(), "reason": "old"}
        step = self.jobs.step_of(task) or {}
        need = {name: step.get(name, 0) for name in ("cpu", "memMb", "gpu")}
        used = self.used()
        if task in self.running or any(used[name] + need[name] > self.capacity[name] for name in need):
            self.extend(body["untilMs"])
            return 409, {"clockMs": self.clock(), "reason": "room"}
        if body["untilMs"] - self.clock() < 1:
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self.extend(body["untilMs"])
        job, occurrence, number, _ = task.split(".")
        entry = {"run": run, "need": need, "timer": None, "gang": None, "at": time.monotonic(),
                 "work": step.get("workMs", step.get("estimateMs", 1000)) / 1000}
        self.running[task] = entry
        self.jobs.starts.append((time.monotonic(), self.ident, task, run))
        self.record(f"runner {self.ident}: start {task}/{run} token {body.get('fenceToken', 0)}")
        loop = asyncio.get_running_loop()
        if step.get("gang"):
            key = (job, occurrence, number, run)
            gang = self.jobs.gangs.setdefault(key, {"members": [], "over": False, "working": False})
            entry["gang"] = gang
            gang["members"].append((self, task))
            if len(gang["members"]) == step["count"]:
                gang["working"] = True
                loop.call_later(entry["work"], self.end, task, "done")
            else:
                loop.call_later(self.site.GANG_S, self.check_gang, gang, task, run)
        else:
            entry["timer"] = loop.call_later(entry["work"], self.end, task, "done")
        return 200, {"clockMs": self.clock()}

    def check_gang(self, gang, task, run):
        if not gang["working"] and not gang["over"] and task in self.running and self.running[task]["run"] == run:
            self.end(task, "alone")

    async def hold(self, body):
        if "untilMs" in body:
            self.extend(body["untilMs"])
        self.ended = [row for row in self.ended if row[0] > body.get("lastSeen", 0)]
        deadline = time.monotonic() + min(2000, body.get("waitMs", 0)) / 1000
        while not self.ended and time.monotonic() < deadline:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = [[task, run["run"], "", min(99, int(100 * (now - run["at"]) / max(0.001, run["work"]))), 0]
                   for task, run in self.running.items()]
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running, "ended": self.ended[:500]}


class Site:
    """A small deployment: entries, and one agent and one runner on each of the other machines."""

    HEARTBEAT_S = 1.5
    HOLD_MAX_MS = 6000
    STOP_S = 0.4
    GANG_S = 3.0
    HOST = "site.example"

    def __init__(self, folder, entries=2, runners=4, capacity=None, labels=None):
        self.folder = folder
        self.record = Record(folder)
        self.work = tempfile.mkdtemp(prefix="hyssoppond-review-")
        self.jobs = Jobs(self.record)
        self.entry_count, self.runner_count = entries, runners
        self.capacity = capacity or {"cpu": 64000, "memMb": 262144, "gpu": 8}
        self.labels = labels or (lambda index: ["a", f"r1-{1 + index // 3}"])
        self.processes = {}
        self.runners = {}
        self.store = None
        self.ports = {}
        self.random = random.Random(1)

    def port(self, name):
        if name not in self.ports:
            self.ports[name] = self.free_port()
        return self.ports[name]

    def free_port(self):
        while True:
            with socket.socket() as probe, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
                probe.bind(("127.0.0.1", 0))
                port = probe.getsockname()[1]
                try:
                    datagram.bind(("127.0.0.1", port))
                except OSError:
                    continue
                if port not in self.ports.values():
                    return port

    def control_port(self, index):
        return self.port(f"control-{index}")

    def own_ports(self, name):
        """Two ports in a row, for the metrics and the messages between the processes."""
        key = f"own-{name}"
        while key not in self.ports:
            first = self.free_port()
            try:
                with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
                    tcp.bind(("127.0.0.1", first + 1))
                    datagram.bind(("127.0.0.1", first + 1))
            except OSError:
                continue
            if first + 1 not in self.ports.values():
                self.ports[key], self.ports[key + "+1"] = first, first + 1
        return [self.ports[key], self.ports[key] + 1]

    def settings(self, name, fields):
        settings = {"name": name, "zone": "zone-1", "address": "127.0.0.1", "own_ports": self.own_ports(name),
                    "orders_by": "call", "store_address": f"127.0.0.1:{self.port('store')}", "memory_mb": 260,
                    "processor_share": 0.25, "longest_lease_ms": self.HOLD_MAX_MS, "gang_timeout_ms": 3000,
                    "remote_factor": 3, "reclaim_ms": 2900, "stop_ms": 400, "keys_valid_ms": 5000,
                    "stop_grace_seconds": 6}
        settings.update(fields)
        path = os.path.join(self.work, name + ".json")
        with open(path, "w") as out:
            json.dump(settings, out)
        return path

    async def spawn(self, name, role):
        if role == "entry":
            path = self.settings(name, {"front": f"127.0.0.1:{self.port('front-' + name)}",
                                        "readiness": f"127.0.0.1:{self.port('ready-' + name)}"})
        else:
            index = int(name.split("-")[1])
            path = self.settings(name, {"control": f"127.0.0.1:{self.control_port(index)}", "service": "service",
                                        "worker_address": f"127.0.0.1:{self.port(f'runner-{index}')}"})
        log = open(os.path.join(self.work, name + ".log"), "a")
        process = await asyncio.create_subprocess_exec(
            PROGRAM, "--role", role, stdout=log, stderr=log, cwd=REPO,
            env={"PATH": os.environ.get("PATH", ""), "HYSSOPPOND_SETTINGS": path})
        log.close()
        self.processes[name] = process
        self.record(f"platform: started {name}")
        return process

    async def kill(self, name, number=signal.SIGKILL):
        process = self.processes[name]
        self.record(f"platform: signal {number} to {name}")
        if process.returncode is None:
            process.send_signal(number)
        if number == signal.SIGKILL:
            await process.wait()

    async def begin(self, config):
        if not os.access(PROGRAM, os.X_OK):
            raise RuntimeError("target/hyssoppond is missing; run the build of deploy/system.toml first")
        self.store = Store(self.record)
        await self.store.http.listen(self.port("store"))
        self.configure(config)
        for index in range(self.runner_count):
            await self.spawn(f"agent-{index}", "agent")
        for index in range(self.entry_count):
            await self.spawn(f"entry-{index}", "entry")
        for index in range(self.runner_count):
            await self.add_runner(index)
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            ready = [await http_call(self.port(f"ready-entry-{i}"), "GET", "/-/readyz", timeout=1.0)
                     for i in range(self.entry_count)]
            if all(answer[0] == 200 for answer in ready):
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError("the entries did not become ready")
        await asyncio.sleep(3.0)
        self.record("platform: entries are ready")

    def configure(self, config):
        self.record(f"operator: desired state version {config['version']}")
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    async def add_runner(self, index):
        runner = Runner(self, index, f"i-{index:04d}", self.port(f"runner-{index}"), self.labels(index),
                        dict(self.capacity))
        self.runners[index] = runner
        await runner.begin()
        return runner

    async def call(self, entry, method, path, body=None, key="key-east", wait_ms=3000):
        headers = {"Host": self.HOST, "X-Hyssoppond-Deadline-Ms": str(wait_ms)}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        status, fields, content = await http_call(self.port(f"front-entry-{entry}"), method, path, body, headers,
                                                  timeout=wait_ms / 1000)
        text = content.decode("utf-8", "replace")
        self.record(f"requester: {method} {path} at entry-{entry} -> {status} {text[:200]}")
        return status, text

    async def submit(self, entry, prefix, ident, steps, spec="text", key="key-east", **more):
        """Hands a job in; later attempts go to other entries, as PROTOCOL.md says of requesters."""
        wire = [{name: value for name, value in step.items() if name != "workMs"} for step in steps]
        self.jobs.jobs[ident] = {"steps": steps, "spec": spec}
        for attempt in range(5):
            status, _ = await self.call((entry + attempt) % self.entry_count, "POST", prefix + ident,
                                        {"spec": spec, "steps": wire, **more}, key)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, entry, prefix, ident, key="key-east"):
        status, text = await self.call(entry, "GET", prefix + ident, key=key)
        return json.loads(text).get("state") if status == 200 else status

    async def end(self):
        for runner in self.runners.values():
            for task in runner.tasks:
                task.cancel()
        for name, process in self.processes.items():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes.values():
            await process.wait()
        for server in [runner.http for runner in self.runners.values()] + ([self.store.http] if self.store else []):
            server.close()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.work, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)


def route(name, priority=1, prefix=None, attempts=3, **more):
    return {"name": name, "host": Site.HOST, "pathPrefix": prefix or f"/{name}/", "priority": priority,
            "service": "service", "maxAttempts": attempts, "stretch": 3.0, "targetLatencyMs": 1000, "public": False,
            **more}


def desired_state(version, routes, guaranteed=16):
    return {"version": version, "routes": routes, "services": [{"name": "service", "admissionCheck": True}],
            "tenants": [{"name": "east", "apiKeys": ["key-east"], "guaranteed": {"gpu": guaranteed}},
                        {"name": "west", "apiKeys": ["key-west"], "guaranteed": {"gpu": 0}}], "limits": {}}


def run_case(folder, scenario, limit_s=115, **options):
    """Runs scenario(site, trouble), which returns HELD or BROKEN, and exits with that."""

    async def main():
        trouble = os.environ.get("TROUBLE", "1") != "0"
        site = Site(folder, **options)
        site.record(f"disruption: {'on' if trouble else 'off'}")
        result = NOT_RUN
        work = asyncio.ensure_future(asyncio.wait_for(scenario(site, trouble), limit_s))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, work.cancel)
        try:
            result = await work
        except (Exception, asyncio.CancelledError) as problem:  # the case could not run
            site.record(f"not run: {problem!r}")
            print(f"not run: {problem!r}", file=sys.stderr)
        finally:
            await site.end()
        site.record({HELD: "result: the rule held", BROKEN: "result: the rule was broken",
                     NOT_RUN: "result: the case could not run"}[result])
        print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[result])
        return result

    sys.exit(asyncio.run(main()))
