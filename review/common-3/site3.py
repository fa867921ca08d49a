"""A small deployment on loopback: stand-ins of the platform's store, of runners and of requesters, and the
project's own programs as separate processes. Only the standard library is used.

The stand-ins follow PROTOCOL.md: the store is a log with keyed topics, producers and groups; a runner keeps a lease, a
fence and its two lists; a requester repeats a call that got no answer. All of them live in one Python process; entries
and agents are started with the commands of deploy/system.toml and settings by platform/settings.template.
"""
import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()

# The bounds of the site file burrowline-tx, under the names of DEPLOY.md.
BOUNDS = {
    "contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "configApplyMs": 2000, "revokeMs": 5000,
    "holdMaxMs": 6000, "stopMs": 400, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14,
    "remoteFactor": 3, "checkpointS": 1, "restoreMs": 250, "reclaimMs": 2900,
}
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
RECORD_BYTES = 262144       # recordBytes and callBytes of the settings
CALL_BYTES = 2097152


def now():
    """Seconds since the start of the case."""
    return time.monotonic() - START


class CannotRun(Exception):
    pass


class Record:
    """record.txt: what was sent, answered and run, a line for each event."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, *words):
        self.file.write(f"{now():8.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


def free_ports(count):
    """Ports that are free now. They lie below the range from which the kernel picks ports for connections."""
    found = []
    port = 12000 + int.from_bytes(os.urandom(2), "big") % 15000
    while len(found) < count:
        port += 1
        if port > 31000:
            port = 12000
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((HOST, port))
        except OSError:
            continue
        found.append(port)
    return found


# HTTP

async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class HttpServer:
    """handle(method, path, query, headers, body) returns (status, bytes), or None for no answer."""

    def __init__(self, port, handle):
        self.port = port
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, limit=2 ** 23)

    async def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.server = None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                answer = await self.handle(method, unquote(url.path), query, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                writer.write(f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def http_call(port, method, path, headers=None, body=b"", timeout=3.0):
    """Status and body of the answer; (0, reason) if there is none."""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(HOST, port, limit=2 ** 23)
            try:
                lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}", "Connection: close"]
                lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                await writer.drain()
                line, _, content = await read_message(reader)
                return int(line.split(" ")[1]), content
            finally:
                writer.close()
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as problem:
        return 0, type(problem).__name__.encode()


# The platform's store

class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}


class Store:
    def __init__(self, port, record):
        self.port = port
        self.record = record
        self.topics = {}
        self.groups = {}
        self.changed = asyncio.Condition()
        self.late_key = None    # platform_lost, late: the next appends of this key are done later and not answered
        self.late_count = 0
        self.server = HttpServer(port, self.handle)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def add(self, name, contents):
        topic = self.topic(name)
        offset = len(topic.records)
        for content in contents:
            if name.startswith("keyed."):
                size = content[0]
                key, value = content[1:1 + size], content[1 + size:]
                if value:
                    topic.newest[key] = (len(topic.records), value)
                else:
                    topic.newest.pop(key, None)
            topic.records.append(content)
        async with self.changed:
            self.changed.notify_all()
        return offset

    async def put(self, key, value):
        """The operator writes the record op/KEY."""
        text = json.dumps(value).encode()
        await self.add("keyed.op", [bytes([len(key)]) + key.encode() + text])
        self.record("operator", "op/" + key, text.decode())

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        if path == "/-/log-append":
            if self.late_count > 0 and self.late_key in body:
                self.record("store", "does an append with", self.late_key.decode(), "3 s later, without an answer")
                self.late_count -= 1
                await asyncio.sleep(3)
                await self.append(query, body)
                return None
            return await self.append(query, body)
        if path == "/-/log-read":
            return await self.read(query)
        if path == "/-/log-newest":
            return self.list_newest(query)
        if path == "/-/log-join":
            return self.join(json.loads(body))
        if path == "/-/log-leave":
            call = json.loads(body)
            self.groups.get(call["group"], {"members": {}})["members"].pop(call["member"], None)
            return 200, b"{}"
        return 404, b"{}"

    async def append(self, query, body):
        contents = []
        position = 0
        while position < len(body):
            size = int.from_bytes(body[position:position + 4], "big")
            contents.append(body[position + 4:position + 4 + size])
            position += 4 + size
        name = query["topic"]
        total = sum(len(content) for content in contents)
        if total > CALL_BYTES or any(len(content) > RECORD_BYTES for content in contents):
            self.record("store", "refuses an append of", len(contents), "records,", total, "bytes, by",
                        query.get("producer"), 400)
            return 400, b'{"reason":"size"}'
        topic = self.topic(name)
        producer = query.get("producer")
        if producer is not None:
            epoch, seq = int(query["epoch"]), int(query.get("seq", 0))
            known = topic.producers.setdefault(producer, {"epoch": -1, "seq": None, "answers": {}})
            if epoch < known["epoch"]:
                return 409, b'{"reason":"fenced"}'
            if epoch > known["epoch"]:
                known.update(epoch=epoch, seq=None, answers={})
            if contents:
                if seq in known["answers"]:
                    return 200, known["answers"][seq]
                if known["seq"] is not None and seq != known["seq"] + 1:
                    return 409, json.dumps({"reason": "seq", "seq": known["seq"] + 1}).encode()
        offset = await self.add(name, contents)
        answer = json.dumps({"offset": offset, "end": offset + len(contents)}).encode()
        if producer is not None and contents:
            known["seq"] = seq
            known["answers"][seq] = answer
            known["answers"].pop(seq - 5, None)
        return 200, answer

    async def read(self, query):
        topic = self.topic(query["topic"])
        start = int(query["from"])
        limit = int(query.get("maxKb", 1024)) * 1024
        wait = int(query.get("waitMs", 0)) / 1000
        if len(topic.records) <= start and wait > 0:
            try:
                async with asyncio.timeout(wait):
                    async with self.changed:
                        await self.changed.wait_for(lambda: len(topic.records) > start)
            except TimeoutError:
                pass
        content = b""
        for one in topic.records[start:]:
            if content and len(content) + len(one) + 4 > limit:
                break
            content += len(one).to_bytes(4, "big") + one
        return 200, len(topic.records).to_bytes(8, "big") + (0).to_bytes(8, "big") + content

    def list_newest(self, query):
        topic = self.topic(query["topic"])
        after = query.get("dependsOn", "").encode()
        keys = sorted(key for key in topic.newest if key > after or not after)
        items = [{"key": key.decode(), "value": base64.b64encode(topic.newest[key][1]).decode(),
                  "offset": topic.newest[key][0]} for key in keys[:500]]
        return 200, json.dumps({"items": items, "more": len(keys) > 500, "end": len(topic.records)}).encode()

    def join(self, call):
        group = self.groups.setdefault(call["group"], {"members": {}, "generation": 0, "owner": None})
        alive = {name: until for name, until in group["members"].items() if until > time.monotonic()}
        alive[call["member"]] = time.monotonic() + call["ttlMs"] / 1000
        if set(alive) != set(group["members"]):
            group["generation"] += 1
        group["members"] = alive
        if group["owner"] not in alive:
            group["owner"] = call["member"]
        parts = [[call["topics"][0], 0, 0]] if group["owner"] == call["member"] else []
        return 200, json.dumps({"generation": group["generation"], "ttlMs": call["ttlMs"], "parts": parts}).encode()


# Runners

class Runner:
    """A runner on one machine. shape(task) tells what a work item needs and how long it works."""

    def __init__(self, site, name, port, control, labels, gpu=8):
        self.site = site
        self.name = name
        self.port = port
        self.control = control
        self.labels = labels
        self.capacity = {"cpu": 64000, "memMb": 262144, "gpu": gpu}
        self.server = HttpServer(port, self.handle)
        self.state = "ready"
        self.fails = False      # srv_grey errors: it fails all that it starts, its health check is good
        self.busy = False       # srv_grey busy: an unhealthy runner, which turns starts away with 503
        self.up = False
        self.tasks = []

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    async def start(self):
        self.began = time.monotonic() - 100
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.fence = 0
        self.until = 0
        self.running = {}
        self.ended = []
        self.last_end = 0
        self.highest = {}
        self.changed = asyncio.Event()
        self.up = True
        await self.server.start()
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]
        self.site.record("runner", self.name, "up, labels", ",".join(self.labels))

    async def crash(self):
        """Ends at once; all that runs here ends with it."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        await self.server.stop()
        for (task, run) in list(self.running):
            self.site.note_end(self, task, run, "with its runner")
        self.running = {}
        self.site.record("runner", self.name, "is gone")

    async def leave(self, drain_s):
        """Drains, deregisters and ends."""
        self.state = "draining"
        self.leaves_at = time.monotonic() + drain_s
        await self.send_beat()
        await asyncio.sleep(drain_s)
        await http_call(self.control, "POST", "/-/Instances.Deregister/" + self.name, {}, b"", 1.0)
        await self.crash()

    async def send_beat(self):
        self.seq += 1
        body = {"service": "service", "address": f"{HOST}:{self.port}", "zone": "zone-1", "version": "v1", "slots": 8,
                "state": self.state, "coldLeftMs": 0, "capacity": self.capacity, "labels": self.labels,
                "clockMs": self.clock(), "seq": self.seq, "born": self.born}
        if self.state == "draining":
            body["remainingMs"] = max(0, int((self.leaves_at - time.monotonic()) * 1000))
        status, _ = await http_call(self.control, "POST", "/-/Instances.Heartbeat/" + self.name,
                                    {"Content-Type": "application/json"}, json.dumps(body).encode(), 1.0)
        return status

    async def beat(self):
        while True:
            status = await self.send_beat()
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.2)

    def end(self, task, run, how):
        self.running.pop((task, run))
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.last_end += 1
        self.ended.append([self.last_end, task, run, how, ""])
        self.changed.set()
        self.site.note_end(self, task, run, how)

    async def work(self):
        while True:
            await asyncio.sleep(0.02)
            moment = time.monotonic()
            for (task, run), item in list(self.running.items()):
                if (task, run) not in self.running:
                    continue
                if self.clock() >= self.until:
                    self.end(task, run, "lapsed")
                elif item["stop_at"] is not None and moment >= item["stop_at"]:
                    self.end(task, run, "stopped")
                elif item["fail_at"] is not None and moment >= item["fail_at"]:
                    self.end(task, run, "failed")
                else:
                    self.site.advance(self, task, run, item, moment)

    def used(self):
        total = {"cpu": 0, "memMb": 0, "gpu": 0}
        for (task, _) in self.running:
            shape = self.site.shape(task)
            for name in total:
                total[name] += shape.get(name, 0)
        return total

    async def handle(self, method, path, query, headers, body):
        if path == "/healthz":
            return 200, b"{}"
        if headers.get("x-hyssoppond-expect-instance", self.name) != self.name:
            return 421, b"{}"
        call = json.loads(body)
        def answer(status, **fields):
            return status, json.dumps({"clockMs": self.clock(), "born": self.born, **fields}).encode()
        if call.get("fenceToken", 0) < self.fence:
            return answer(409, reason="fence")
        if path == "/-/run-start" and self.busy:
            self.site.record("runner", self.name, "turns away", call["task"], call["runId"], 503)
            return answer(503)
        self.fence = max(self.fence, call.get("fenceToken", 0))
        if path == "/-/run-start":
            return self.run_start(call, answer)
        if path == "/-/run-stop":
            key = (call["task"], call["runId"])
            if key in self.running:
                self.running[key]["stop_at"] = time.monotonic() + 0.1
            else:
                self.highest[call["task"]] = max(self.highest.get(call["task"], 0), call["runId"])
            return answer(200)
        if path == "/-/hold":
            if "untilMs" in call:
                self.extend(call["untilMs"])
            self.ended = [one for one in self.ended if one[0] > call.get("lastSeen", 0)]
            if not self.ended and call.get("waitMs", 0) > 0:
                self.changed.clear()
                try:
                    async with asyncio.timeout(call["waitMs"] / 1000):
                        await self.changed.wait()
                except TimeoutError:
                    pass
            running = [[task, run, "", item["percent"], 0] for (task, run), item in self.running.items()]
            return answer(200, running=running, ended=self.ended[:500])
        return answer(404)

    def extend(self, until):
        self.until = max(self.until, min(until, self.clock() + BOUNDS["holdMaxMs"]))

    def run_start(self, call, answer):
        task, run = call["task"], call["runId"]
        if (task, run) in self.running:
            self.extend(call["untilMs"])
            return answer(200)
        if run <= self.highest.get(task, 0):
            self.extend(call["untilMs"])
            return answer(409, reason="old")
        if call["untilMs"] <= self.clock():
            return answer(409, reason="late")
        shape, used = self.site.shape(task), self.used()
        if any(used[name] + shape.get(name, 0) > self.capacity[name] for name in used):
            self.extend(call["untilMs"])
            return answer(409, reason="room")
        self.extend(call["untilMs"])
        moment = time.monotonic()
        self.running[(task, run)] = {"began": moment, "percent": 0, "stop_at": None,
                                     "fail_at": moment + 0.3 if self.fails else None}
        self.site.note_start(self, task, run, call)
        return answer(200)


# The deployment

def render(template, fields):
    """Fills platform/settings.template in, as DEPLOY.md says."""
    def value(name):
        found = fields
        for part in name.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match):
        return match.group(2) if value(match.group(1)) else ""

    def place(match):
        found = value(match.group(1))
        if match.group(2):
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", place, text)


class Site:
    """entries: number of edge machines. runners: the labels of the runner of each side machine."""

    def __init__(self, folder, entries, runners, routes, tenants):
        self.record = Record(folder)
        self.routes = routes
        self.tenants = tenants
        self.entry_count = entries
        self.runner_labels = runners
        self.jobs = {}          # by id: the submission, and what requesters have seen of it
        self.starts = []        # [time, runner, task, run]
        self.ends = []          # [time, runner, task, run, how]
        self.processes = {}
        self.runners = []
        self.exits = []         # processes that ended by themselves
        self.work = tempfile.mkdtemp(prefix="review3-")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.roles = deploy["roles"]

    def shape(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["body"]["steps"][int(step)]

    def work_s(self, task):
        return self.shape(task).get("work_s", self.shape(task).get("estimateMs", 0) / 1000)

    def note_start(self, runner, task, run, call):
        self.starts.append([now(), runner.name, task, run])
        self.record("start", task, run, "on", runner.name, "token", call["fenceToken"])

    def note_end(self, runner, task, run, how):
        self.ends.append([now(), runner.name, task, run, how])
        self.record("end", task, run, "on", runner.name, how)

    def advance(self, runner, task, run, item, moment):
        """Moves the work of a present work item on. A gang works while all its members are present."""
        shape = self.shape(task)
        if shape.get("gang"):
            job, k, step, _ = task.split(".")
            names = [f"{job}.{k}.{step}.{i}" for i in range(shape["count"])]
            places = [(other, name) for name in names for other in self.runners
                      if other.up and (name, run) in other.running]
            if len(places) < len(names):
                if not item.get("worked") and moment - item["began"] >= BOUNDS["gangTimeoutMs"] / 1000:
                    runner.end(task, run, "alone")
                elif item.get("worked"):
                    runner.end(task, run, "broken")
                return
            for other, name in places:
                other.running[(name, run)].setdefault("worked", moment)
            item["began"] = max(other.running[(name, run)]["worked"] for other, name in places)
        if shape.get("longRunning"):
            item["percent"] = 100
            return
        share = (moment - item["began"]) / max(0.001, self.work_s(task))
        item["percent"] = min(99, int(100 * share))
        if share >= 1:
            if shape.get("gang"):
                for other, name in places:
                    other.end(name, run, "done")
            else:
                runner.end(task, run, "done")

    # Processes

    def settings(self, name, **own):
        fields = {"nodeName": name, "zone": "zone-1", "ip": HOST, "orders": "call", "bounds": BOUNDS,
                  "platform": {"address": f"{HOST}:{self.store.port}"}, **own}
        template = (ROOT / self.roles[own["role"]]["template"]).read_text()
        path = pathlib.Path(self.work) / (name + ".json")
        path.write_text(render(template, fields))
        return path

    async def run_process(self, name, role):
        words = self.roles[role]["run"].split()
        binary = ROOT / words[0]
        if not binary.exists():
            raise CannotRun(f"{words[0]} is missing; run the build of deploy/system.toml")
        log = open(pathlib.Path(self.work) / (name + ".log"), "ab")
        process = await asyncio.create_subprocess_exec(
            str(binary), *words[1:], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HYSSOPPOND_SETTINGS": str(pathlib.Path(self.work) / (name + ".json"))})
        self.processes[name] = process
        self.record("process", name, "started")
        asyncio.create_task(self.watch(name, process))

    async def watch(self, name, process):
        code = await process.wait()
        if self.processes.get(name) is process:
            self.exits.append(name)
            self.record("process", name, "ended by itself with", code)

    async def kill(self, name, number=signal.SIGKILL):
        process = self.processes.pop(name)
        process.send_signal(number)
        self.record("process", name, signal.Signals(number).name)
        await process.wait()

    async def start(self):
        ports = iter(free_ports(1 + 4 * self.entry_count + 4 * len(self.runner_labels)))
        self.store = Store(next(ports), self.record)
        await self.store.server.start()
        await self.store.put("config", self.config(1))
        self.fronts = []
        self.readiness = []
        started = []
        for i in range(self.entry_count):
            front, ready, first, second = (next(ports) for _ in range(4))
            self.fronts.append(front)
            self.readiness.append(ready)
            self.settings(f"edge-{i + 1}", role="entry", listen={"front": f"{HOST}:{front}",
                          "readiness": f"{HOST}:{ready}"}, portRange=[first, first + 1],
                          limits={"memoryMb": 260, "cpuShare": 0.25})
            started.append((f"edge-{i + 1}", "entry"))
        for i, labels in enumerate(self.runner_labels):
            control, app, first, second = (next(ports) for _ in range(4))
            self.settings(f"side-{i + 1}", role="agent", listen={"control": f"{HOST}:{control}"},
                          app=f"{HOST}:{app}", service="service", portRange=[first, first + 1],
                          limits={"memoryMb": 128, "cpuShare": 0.15})
            started.append((f"side-{i + 1}", "agent"))
            self.runners.append(Runner(self, f"i-{i + 1}", app, control, labels))
        for name, role in started:
            await self.run_process(name, role)
        for runner in self.runners:
            await runner.start()
        for _ in range(150):
            if all([(await http_call(port, "GET", "/-/readyz", timeout=1))[0] == 200 for port in self.readiness]):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("the entries did not become ready within 15 s")
        await asyncio.sleep(6)  # the agents announce their runners
        self.record("site is ready")

    def config(self, version):
        return {"version": version, "routes": self.routes, "tenants": self.tenants,
                "services": [{"name": "service", "healthPath": "/healthz", "maxConns": 64, "protocol": "h1",
                              "tls": False, "admissionCheck": True, "standby": False}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                           "idleTimeoutMs": 15000}}

    async def stop(self):
        for name, process in list(self.processes.items()):
            self.processes.pop(name)
            if process.returncode is None:
                process.kill()
                await process.wait()
        for runner in self.runners:
            for task in runner.tasks:
                task.cancel()
            await runner.server.stop()
        await self.store.server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.work, keep, dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)

    # Requesters

    async def call(self, entry, method, path, body=None, key="key-1", wait=3.0, leave=None):
        """leave: the requester closes its channel after this time, before its time budget `wait` has passed."""
        headers = {"Host": "site.example", "Authorization": "Bearer " + key, "Content-Type": "application/json",
                   "X-Hyssoppond-Deadline-Ms": str(int(wait * 1000))}
        content = b"" if body is None else json.dumps(body).encode()
        sent = now()
        status, answer = await http_call(self.fronts[entry], method, path, headers, content, leave or wait)
        self.record("call", f"edge-{entry + 1}", method, path, "sent", f"{sent:.3f}", "->", status,
                    answer.decode("utf-8", "replace")[:200])
        return status, answer

    async def submit(self, prefix, job, steps, entry=0, **more):
        """Hands a job in until it is accepted, five tries at most; returns whether it was."""
        body = {"spec": more.pop("spec", "work " + job), "steps": [{k: v for k, v in one.items() if k != "work_s"} for one in steps],
                **more}
        self.jobs[job] = {"body": {**body, "steps": steps}, "prefix": prefix, "accepted": None}
        for attempt in range(5):
            status, _ = await self.call((entry + attempt) % self.entry_count, "POST", prefix + job, body)
            if 200 <= status < 300:
                self.jobs[job]["accepted"] = now()
                return True
            await asyncio.sleep(1)
        return False

    async def state(self, job, entry=0):
        status, answer = await self.call(entry, "GET", self.jobs[job]["prefix"] + job)
        return json.loads(answer)["state"] if status == 200 else f"status {status}"

    def present(self, job):
        """Work items of the job that runners run now."""
        return [(runner.name, task) for runner in self.runners if runner.up
                for task, _ in runner.running if task.startswith(job)]

    async def lose_machine(self, number):
        """The machine of a runner loses power: its agent and its runner are gone."""
        await asyncio.gather(self.kill(f"side-{number}"), self.runners[number - 1].crash())

    async def regain_machine(self, number):
        """The machine comes back: the agent starts again, and a new runner with another id."""
        runner = self.runners[number - 1]
        runner.name += "b"
        await self.run_process(f"side-{number}", "agent")
        await runner.start()

    def room_for(self, task):
        """How often the work item would fit into the free capacity of the runners that may run it."""
        shape = self.shape(task)
        count = 0
        for runner in self.runners:
            if not runner.up or runner.state != "ready":
                continue
            if shape.get("constraints") and shape["constraints"] not in runner.labels:
                continue
            used = runner.used()
            count += min((runner.capacity[name] - used[name]) // shape[name] for name in used if shape.get(name))
        return count

    def share_in_use(self):
        """Largest share of a resource of the service that is in use."""
        up = [runner for runner in self.runners if runner.up and runner.state == "ready"]
        return max(sum(runner.used()[name] for runner in up) / sum(runner.capacity[name] for runner in up)
                   for name in ("cpu", "memMb", "gpu"))

    async def idle_for_3s(self, job, task):
        """Whether the rule LOST is broken now: for 3 s, the job isn't over and has nothing running, there is capacity
        for its work item `task` twice over, and under half of the service's capacity is in use."""
        end = time.monotonic() + 3.2
        while time.monotonic() < end:
            if self.present(job) or self.room_for(task) < 2 or self.share_in_use() >= 0.5:
                return False
            await asyncio.sleep(0.05)
        return await self.state(job) in ("queued", "running")

    def free_gpu(self):
        return sum(runner.capacity["gpu"] - runner.used()["gpu"] for runner in self.runners
                   if runner.up and runner.state == "ready")


def route(name, prefix, priority, attempts=3, stretch=3.0, goal_ms=1000):
    return {"name": name, "host": "site.example", "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000,
            "targetLatencyMs": goal_ms, "priority": priority, "service": "service", "maxAttempts": attempts,
            "stretch": stretch, "public": False}


def main(site, case):
    """Runs the case, which returns the text of a broken rule or None, and exits with 1, 0 or 2."""
    async def run():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await site.start()
            return await asyncio.wait_for(case(site), 100)
        finally:
            await site.stop()
    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as problem:
        site.record("the case could not run:", type(problem).__name__, problem)
        print("could not run:", type(problem).__name__, problem)
        sys.exit(2)
    if broken:
        site.record("BROKEN", broken)
        print("broken:", broken)
        sys.exit(1)
    site.record("the rule held")
    print("the rule held")
    sys.exit(0)
