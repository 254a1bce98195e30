"""A small deployment on loopback addresses: the project's programs, and stand-ins around them.

The entries and agents are started with the commands of `deploy/system.toml`. The store, the
runners and the clients are stand-ins in this process. They use the standard library alone.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

FRONT_PORT, READY_PORT, CONTROL_PLANE_PORT, RUNNER_PORT, STORE_PORT = 8521, 8523, 8526, 8529, 8531
INTERNAL_PORTS = (7000, 7015)
METRICS_PORT = 9464

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
PAGE_RECORDS = 500
LISTED_ENDS = 500
"""Largest number of ended runs in one answer of a runner."""

MAX_HOLD_MS = 10_000
STOP_S = 0.1
HEARTBEAT_S = 1.5
CALLER_WAIT_S = 3.0

HOST = "desk.example"
SERVICE = "desk"
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainMs": 2500,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2500,
    "downgradeSlackMs": 250,
    "maxStretchMs": 5000,
    "strictRevoke": "true",
    "revokeMs": 5000,
    "recoveryS": 12,
    "maxHoldMs": MAX_HOLD_MS,
    "stopGraceMs": 400,
    "gangWaitMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remoteFactor": 3,
    "checkpointS": 0.5,
    "restoreMs": 100,
    "enforceFencing": "false",
    "leaseTtlMs": 3000,
    "thawSlackMs": 300,
    "reclaimMs": 2900,
}


class CannotRun(Exception):
    """The case could not be run."""


class Journal:
    """Writes what was sent, answered and run to the record of a case."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self.started_s

    def note(self, actor: str, text: str) -> None:
        self.file.write(f"{self.now_s():8.3f} {actor}: {text}\n")
        self.file.flush()


# HTTP


async def read_head(reader):
    line = await reader.readline()
    if not line.strip():
        return None, {}
    headers = {}
    while True:
        row = (await reader.readline()).decode("latin-1").strip()
        if not row:
            return line.decode("latin-1").strip(), headers
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()


class HttpServer:
    """Serves requests with a coroutine that returns status and body, or `None` for no answer."""

    def __init__(self, handle) -> None:
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, backlog=512)

    async def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                if line is None:
                    return
                method, path, _ = line.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self.handle(method, path, headers, body)
                if answer is None:
                    # The connection returns nothing further.
                    await asyncio.sleep(60)
                    return
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(content)}\r\n"
                head += "Content-Type: application/json\r\n\r\n"
                writer.write(head.encode() + content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, path, document=None, headers=None, timeout_s=CALLER_WAIT_S):
    """Send one request on a new connection; return status and body, or `None` without an answer."""
    ip, port = address
    body = b"" if document is None else json.dumps(document).encode()
    rows = {"Host": HOST, "Content-Length": len(body), "Content-Type": "application/json"}
    rows |= headers or {}
    rows["Connection"] = "close"
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in rows.items())
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(head.encode() + b"\r\n" + body)
            line, fields = await read_head(reader)
            if line is None:
                return None
            content = await reader.readexactly(int(fields.get("content-length", 0)))
            return int(line.split()[1]), content
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


# The store


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.added = asyncio.Event()

    def add(self, contents):
        for content in contents:
            key = content[1 : 1 + content[0]].decode("utf-8", "replace")
            value = content[1 + content[0] :]
            if value:
                self.newest[key] = (value, len(self.records))
            else:
                self.newest.pop(key, None)
            self.records.append(content)
        self.added.set()
        self.added = asyncio.Event()


class Producer:
    def __init__(self):
        self.epoch = -1
        self.sequence = None
        self.answers = {}


class Store:
    """The platform's store, with one listening address for each entry.

    Attributes
    ----------
    down
        Names of the entries whose calls get no answer and are not executed.
    busy_topics
        Topics whose partition is down for all: calls get 503 and are not executed.
    delay_s
        Delay of each answer.
    observers
        Called with topic, producer's epoch and contents after each executed append.
    """

    def __init__(self, journal):
        self.journal = journal
        self.topics = {}
        self.down = set()
        self.busy_topics = set()
        self.delay_s = 0.004
        self.servers = []
        self.observers = []

    async def listen(self, name, ip):
        server = HttpServer(lambda *request: self.handle(name, *request))
        await server.start(ip, STORE_PORT)
        self.servers.append(server)

    async def stop(self):
        for server in self.servers:
            await server.stop()

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def publish(self, key, document):
        """Write a record of the operator."""
        value = json.dumps(document).encode()
        self.topic("keyed.op").add([bytes([len(key)]) + key.encode() + value])
        self.journal.note("operator", f"op/{key} version {document.get('version')} acknowledged")

    async def handle(self, name, method, path, headers, body):
        if name in self.down:
            return None
        await asyncio.sleep(self.delay_s / 2)
        if name in self.down:
            return None
        parts = urlsplit(path)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if query.get("topic") in self.busy_topics:
            return 503, {}
        if parts.path == "/api/log-append":
            answer = self.append(query, body)
        elif parts.path == "/api/log-read":
            answer = await self.read(name, query)
        elif parts.path == "/api/log-newest":
            answer = self.newest(query)
        else:
            answer = (404, {})
        await asyncio.sleep(self.delay_s / 2)
        return None if name in self.down else answer

    def append(self, query, body):
        name = query["topic"]
        if name in ("keyed.op", "keyed.servers"):
            return 403, {}
        contents, rest = [], body
        while rest:
            length = int.from_bytes(rest[:4], "big")
            contents.append(rest[4 : 4 + length])
            rest = rest[4 + length :]
        if any(len(each) > RECORD_BYTES for each in contents):
            return 400, {"reason": "record"}
        if sum(map(len, contents)) > CALL_BYTES:
            return 400, {"reason": "call"}
        topic = self.topic(name)
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return 412, {"end": end}
        producer, epoch, sequence = None, 0, 0
        if "producer" in query:
            producer = topic.producers.setdefault(query["producer"], Producer())
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            if epoch < producer.epoch:
                return 409, {"reason": "fenced"}
            if epoch > producer.epoch:
                producer.epoch, producer.sequence, producer.answers = epoch, None, {}
            if contents and sequence in producer.answers:
                return producer.answers[sequence]
            if contents and producer.sequence is not None and sequence != producer.sequence + 1:
                return 409, {"reason": "seq", "sequence": producer.sequence + 1}
        topic.add(contents)
        answer = (200, {"offset": end, "end": len(topic.records)})
        if producer is not None and contents:
            producer.sequence = sequence
            producer.answers[sequence] = answer
            for old in sorted(producer.answers)[:-5]:
                del producer.answers[old]
        for observe in self.observers:
            observe(name, epoch, contents)
        return answer

    async def read(self, name, query):
        topic, offset = self.topic(query["topic"]), int(query["from"])
        if offset >= len(topic.records):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query.get("waitMs", 0)) / 1000):
                    await topic.added.wait()
        data = len(topic.records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        size = 0
        for content in topic.records[offset:]:
            size += len(content)
            if size > 1_048_576:
                break
            data += len(content).to_bytes(4, "big") + content
        return 200, data

    def newest(self, query):
        topic = self.topic(query["topic"])
        keys = sorted(key for key in topic.newest if key > query.get("after", ""))
        items, size = [], 0
        for key in keys[:PAGE_RECORDS]:
            value, offset = topic.newest[key]
            size += len(value)
            if items and size > 700_000:
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        more = len(items) < len(keys)
        return 200, {"items": items, "hasMore": more, "end": len(topic.records)}


# Runners


class Run:
    """One run of a task; the command says how long it takes and how it ends."""

    def __init__(self, task, attempt, command, now_s):
        words = command.split()
        self.task, self.attempt, self.command = task, attempt, command
        self.began_s = now_s
        self.how = words[0]
        self.work_s = float(words[1])
        self.stopping_s = None
        self.interval_s = [now_s, None]

    def percent(self, now_s):
        return max(0, min(99, int(100 * (now_s - self.began_s) / self.work_s)))


class Runner:
    """A runner of the service, in one incarnation.

    Attributes
    ----------
    starts, ends
        All starts and ends so far, as (time, task, attempt) and (time, position, task, attempt,
        how).
    history
        All runs of all incarnations.
    acknowledged, acknowledged_s
        Highest position that an acknowledgement has reached, and when each end was first below it.
    lapses
        When the lease lapsed, whether something ran or not.
    """

    def __init__(self, journal, name, ip, number, rack, capacity, zone):
        self.journal, self.name, self.ip = journal, name, ip
        self.rack, self.capacity, self.zone = rack, capacity, zone
        self.registry = (ip, CONTROL_PLANE_PORT)
        self.instance = f"i-{number:08x}"
        self.born_ms = int(time.time() * 1000)
        self.state = "ready"
        self.origin_s = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.deadline_ms = 0.0
        self.runs = {}
        self.finished = []
        self.positions = 0
        self.acknowledged = 0
        self.acknowledged_s = {}
        self.lapses, self.has_lapsed = [], True
        self.returned = 0
        self.over = {}
        self.starts, self.ends, self.history = [], [], []
        self.ended = asyncio.Event()
        self.server = HttpServer(self.handle)
        self.tasks = []

    def clock_ms(self):
        return (time.monotonic() - self.origin_s) * 1000 + 1000

    async def start(self):
        await self.server.start(self.ip, RUNNER_PORT)
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await self.server.stop()

    async def crash(self):
        """End without notice; nothing of this incarnation is left."""
        self.journal.note(self.name, "crashes")
        await self.stop()
        for run in self.runs.values():
            run.interval_s[1] = time.monotonic()
        self.runs, self.finished, self.over = {}, [], {}

    async def restart(self):
        """Start again under the same instance ID."""
        self.born_ms = int(time.time() * 1000)
        self.origin_s = time.monotonic()
        self.sequence = self.fence = self.positions = self.acknowledged = self.returned = 0
        self.deadline_ms, self.has_lapsed = 0.0, True
        self.server = HttpServer(self.handle)
        self.journal.note(self.name, f"is back as {self.instance}, born {self.born_ms}")
        await self.start()

    async def beat(self):
        while True:
            answer = await self.report()
            await asyncio.sleep(HEARTBEAT_S if answer and answer[0] == 200 else 0.3)

    async def report(self):
        self.sequence += 1
        document = {
            "service": SERVICE,
            "address": f"{self.ip}:{RUNNER_PORT}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "capacity": self.capacity,
            "labels": ["a", self.rack],
            "clockMs": int(self.clock_ms()),
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        path = f"/api/Instances.Heartbeat/{self.instance}"
        return await call(self.registry, "POST", path, document, timeout_s=1.0)

    async def work(self):
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            lapsed = self.clock_ms() > self.deadline_ms
            if lapsed and not self.has_lapsed:
                self.lapses.append(self.journal.now_s())
                self.journal.note(self.name, "the lease lapses")
            self.has_lapsed = lapsed
            for run in list(self.runs.values()):
                if lapsed:
                    self.end(run, "lapsed")
                elif run.stopping_s is not None and now_s >= run.stopping_s:
                    self.end(run, "stopped")
                elif run.stopping_s is None and now_s - run.began_s >= run.work_s:
                    self.end(run, run.how)

    def end(self, run, how):
        del self.runs[run.task]
        run.interval_s[1] = time.monotonic()
        self.positions += 1
        self.over[run.task] = max(run.attempt, self.over.get(run.task, 0))
        self.finished.append([self.positions, run.task, run.attempt, how, ""])
        self.ends.append((self.journal.now_s(), self.positions, run.task, run.attempt, how))
        self.journal.note(self.name, f"end {self.positions} {run.task} #{run.attempt} {how}")
        self.ended.set()
        self.ended = asyncio.Event()

    async def handle(self, method, path, headers, body):
        if headers.get("x-expect-instance") not in (None, self.instance):
            return 421, {}
        document = json.loads(body or b"{}")
        if document.get("fencingToken", 0) < self.fence:
            return 409, {"clockMs": int(self.clock_ms()), "reason": "fence"}
        self.fence = document.get("fencingToken", 0)
        if "deadlineMs" in document:
            limit_ms = self.clock_ms() + MAX_HOLD_MS
            self.deadline_ms = max(self.deadline_ms, min(document["deadlineMs"], limit_ms))
        if path == "/api/run-start":
            return self.run_start(document)
        if path == "/api/run-stop":
            return self.run_stop(document)
        if path == "/api/hold":
            return await self.hold(document)
        return 404, {}

    def run_start(self, document):
        task, attempt = document["task"], document["attempt"]
        answer = {"clockMs": int(self.clock_ms())}
        known = self.runs.get(task)
        if known is not None and known.attempt == attempt:
            return 200, answer
        if known is not None or attempt <= self.over.get(task, 0):
            return 409, answer | {"reason": "old"}
        if document["deadlineMs"] <= self.clock_ms():
            return 409, answer | {"reason": "late"}
        self.runs[task] = Run(task, attempt, document["taskSpec"], time.monotonic())
        self.history.append(self.runs[task])
        self.starts.append((self.journal.now_s(), task, attempt))
        self.journal.note(self.name, f"start {task} #{attempt} under token {self.fence}")
        return 200, answer

    def run_stop(self, document):
        task, attempt = document["task"], document["attempt"]
        run = self.runs.get(task)
        if run is not None and run.attempt <= attempt:
            run.stopping_s = run.stopping_s or time.monotonic() + STOP_S
        else:
            self.over[task] = max(attempt, self.over.get(task, 0))
        self.journal.note(self.name, f"stop {task} #{attempt}")
        return 200, {"clockMs": int(self.clock_ms())}

    async def hold(self, document):
        cursor = document.get("ackCursor", 0)
        if cursor > self.acknowledged:
            self.journal.note(self.name, f"ends up to {cursor} are taken note of")
            self.acknowledged = cursor
            for row in self.ends:
                if row[1] <= cursor:
                    self.acknowledged_s.setdefault(row[1], self.journal.now_s())
        self.finished = [row for row in self.finished if row[0] > cursor]
        if self.positions <= self.returned and document.get("waitMs"):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(document["waitMs"] / 1000):
                    await self.ended.wait()
        finished = self.finished[:LISTED_ENDS]
        if finished:
            self.returned = max(self.returned, self.positions)
        now_s = time.monotonic()
        running = [[run.task, run.attempt, "", run.percent(now_s), 0] for run in self.runs.values()]
        return 200, {
            "clockMs": int(self.clock_ms()),
            "born": self.born_ms,
            "running": running,
            "finished": finished,
        }


class LateOrders:
    """A proxy in front of a runner that leaves some starts unanswered and passes them on late.

    Attributes
    ----------
    choose
        Returns after how many seconds a start is passed on, by its document; `None` for at once.
    """

    def __init__(self, journal, runner, ip):
        self.journal, self.runner, self.ip = journal, runner, ip
        self.choose = lambda document: None
        self.server = HttpServer(self.handle)
        self.tasks = set()

    async def start(self):
        await self.server.start(self.ip, RUNNER_PORT)

    async def stop(self):
        for task in list(self.tasks):
            task.cancel()
        await self.server.stop()

    async def refuse(self):
        """Refuse connections while the runner is down; orders under way stay under way."""
        await self.server.stop()
        self.server = HttpServer(self.handle)

    async def handle(self, method, path, headers, body):
        document = json.loads(body or b"{}")
        delay_s = self.choose(document) if path == "/api/run-start" else None
        if delay_s is None:
            answer = await self.forward(method, path, headers, document)
            if answer is None:
                raise OSError("the runner does not answer")
            return answer
        text = f"{path} {document['task']} #{document['attempt']}"
        self.journal.note("network", f"{text} to {self.runner.name} gets no answer")
        task = asyncio.create_task(self.pass_on(delay_s, text, method, path, headers, document))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return None

    async def pass_on(self, delay_s, text, method, path, headers, document):
        await asyncio.sleep(delay_s)
        answer = await self.forward(method, path, headers, document)
        self.journal.note(
            "network", f"{text} reaches {self.runner.name} {delay_s} s late: {answer}"
        )

    async def forward(self, method, path, headers, document):
        kept = {"X-Expect-Instance": headers["x-expect-instance"]}
        address = self.runner.ip, RUNNER_PORT
        return await call(address, method, path, document, kept, timeout_s=10.0)


# Programs


class Program:
    """A process of the project, started as the deploy file says."""

    def __init__(self, role, name, settings, folder, journal):
        self.role, self.name, self.settings = role, name, settings
        self.journal = journal
        self.path = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        self.process = None

    async def start(self):
        self.path.write_text("".join(f"{k}={v}\n" for k, v in self.settings.items()))
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["BRIARDEAL_BOOT"] = str(self.path)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *roles[self.role]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.journal.note(self.name, f"process {self.process.pid} started")

    def send(self, number):
        if self.process is not None and self.process.returncode is None:
            self.journal.note(self.name, f"gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class Deployment:
    """Three entries, some runners with their agents, a store and callers."""

    def __init__(self, record, *, runners=3, capacity=None, configuration=None, proxies=False):
        self.journal = Journal(Path(record))
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.runner_count = runners
        self.capacity = capacity or {"cpu": 32_000, "memMb": 65_536, "gpuCount": 8}
        self.configuration = configuration or make_configuration()
        self.prefix = find_network()
        self.store = Store(self.journal)
        self.entries, self.agents, self.runners = {}, {}, {}
        self.proxies = {} if proxies else None
        self.rng = random.Random(1)

    def ip(self, number):
        return f"{self.prefix}.{number}"

    def entry_address(self, name):
        return self.entries[name].settings["ip"], FRONT_PORT

    async def start(self):
        self.store.publish("config", self.configuration)
        names = [f"front-{number}" for number in range(1, 4)]
        seeds = ",".join(f"{self.ip(10 + n)}:{CONTROL_PLANE_PORT}" for n in range(1, 4))
        for number, name in enumerate(names, 1):
            await self.store.listen(name, self.ip(100 + number))
            settings = self.make_settings(name, "front", self.ip(10 + number), seeds, number)
            settings["platform.address"] = f"{self.ip(100 + number)}:{STORE_PORT}"
            self.entries[name] = Program("entry", name, settings, self.folder, self.journal)
            await self.entries[name].start()
        for number in range(1, self.runner_count + 1):
            name, ip = f"side-{number}", self.ip(30 + number)
            settings = self.make_settings(name, "side", ip, seeds, number)
            settings["app"] = f"{ip}:{RUNNER_PORT}"
            settings["service"] = SERVICE
            settings["platform.address"] = f"{self.ip(101)}:{STORE_PORT}"
            self.agents[name] = Program("agent", name, settings, self.folder, self.journal)
            rack = f"r{(number - 1) // 3 + 1}"
            runner = Runner(
                self.journal, f"runner-{number}", ip, number, rack, self.capacity, zone_of(number)
            )
            self.runners[name] = runner
            if self.proxies is not None:
                proxy_ip = self.ip(60 + number)
                settings["app"] = f"{proxy_ip}:{RUNNER_PORT}"
                self.proxies[name] = LateOrders(self.journal, runner, proxy_ip)
                await self.proxies[name].start()
            await self.agents[name].start()
            await runner.start()
        await self.wait_until_ready()

    def make_settings(self, name, machine_class, ip, seeds, number):
        is_front = machine_class == "front"
        settings = {
            "nodeName": name,
            "role": "entry" if is_front else "agent",
            "machineClass": machine_class,
            "serves": "front,control" if is_front else "side",
            "ip": ip,
            "zone": zone_of(number),
            "region": zone_of(number).replace("zone", "region"),
            "zones.zone-a": "region-a",
            "zones.zone-b": "region-b",
            "zones.zone-c": "region-c",
            "listenAddrs.controlPlane": f"{ip}:{CONTROL_PLANE_PORT}",
            "internalPorts": ",".join(map(str, INTERNAL_PORTS)),
            "seedNodes": seeds,
            "bootstrap": "true",
            "inFaultBudget": "false",
            "limits.memoryMb": 300 if is_front else 168,
            "limits.maxFds": 4100,
            "discovery": "local",
            "entryMode": "vip",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": "base,drain,config,cost,recover,sched,tenants,platform",
            "controlMode": "push",
            "platform.form": "log",
            "platform.writesPerS": 800.0,
            "platform.readsPerS": 2000.0,
            "platform.parts": 12,
            "platform.appendMs": 2.0,
            "platform.recordBytes": RECORD_BYTES,
            "platform.callBytes": CALL_BYTES,
            "platform.keep_s": 300,
        }
        settings |= {f"bounds.{key}": value for key, value in BOUNDS.items()}
        if is_front:
            settings["listenAddrs.front"] = f"{ip}:{FRONT_PORT}"
            settings["listenAddrs.readiness"] = f"{ip}:{READY_PORT}"
        return settings

    async def wait_until_ready(self, limit_s=25.0):
        """Wait until all entries are ready and each runner has been listed by its agent."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            ready = [
                await call((entry.settings["ip"], READY_PORT), "GET", "/api/readiness")
                for entry in self.entries.values()
            ]
            listed = [runner.fence for runner in self.runners.values()]
            if all(each and each[0] == 200 for each in ready) and all(listed):
                await asyncio.sleep(1.0)
                self.journal.note("deployment", "all entries are ready, all runners are held")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the deployment did not become ready")

    async def stop(self):
        for program in [*self.entries.values(), *self.agents.values()]:
            await program.end()
        for proxy in (self.proxies or {}).values():
            await proxy.stop()
        for runner in self.runners.values():
            await runner.stop()
        await self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def owner(self):
        """Return the entry that made the newest claim, for the choice of the process to kill."""
        record = self.store.topic("keyed.control").newest.get("owner")
        text = b"" if record is None else record[0]
        return next((name for name in self.entries if name.encode() in text), None)

    def new_id(self):
        return f"{self.rng.getrandbits(64):016x}"

    async def request(self, entry, method, path, document=None, key="key-one"):
        """Send a client's request to an entry; return the status or `None`, and the answer."""
        headers = {"X-Deadline-Ms": "3000", "Authorization": f"Bearer {key}"}
        sent_s = self.journal.now_s()
        answer = await call(self.entry_address(entry), method, path, document, headers)
        text = "no answer" if answer is None else f"{answer[0]} {answer[1][:80].decode()}"
        short = "" if document is None else f" {document.get('taskSpec')!r}"
        self.journal.note("client", f"{method} {path}{short} to {entry} at {sent_s:.3f}: {text}")
        return (None, b"") if answer is None else answer

    async def submit(self, path, document, entry="front-1"):
        """Hand a job in, with retries under the same ID as the pages say; return its path."""
        job = path + self.new_id()
        for _ in range(6):
            status, _ = await self.request(entry, "POST", job, document)
            if status == 200:
                return job
            await asyncio.sleep(0.5)
            entry = self.rng.choice(sorted(self.entries))
        raise CannotRun(f"{job} was not accepted")


def zone_of(number):
    """Return the zone of a machine; there are three, as in the small deployments."""
    return f"zone-{'abc'[(number - 1) % 3]}"


def find_doubled(deployment):
    """Return the starts after a run of the task ended `done`, with the end taken note of.

    An end is not taken note of if the lease of its runner lapsed before the acknowledgement.
    """
    done = {}
    for runner in deployment.runners.values():
        for ended_s, position, task, attempt, how in runner.ends:
            noted_s = runner.acknowledged_s.get(position)
            if how != "done" or noted_s is None:
                continue
            if not any(ended_s <= lapsed_s <= noted_s for lapsed_s in runner.lapses):
                done.setdefault(task, (ended_s, attempt, runner.name))
    return [
        f"TWICE: {task} #{attempt} started at {started_s:.3f} on {runner.name}, after "
        f"#{done[task][1]} had ended done at {done[task][0]:.3f} on {done[task][2]}, an end that "
        "was taken note of"
        for runner in deployment.runners.values()
        for started_s, task, attempt in runner.starts
        if task in done and started_s > done[task][0]
    ]


def find_overlaps(deployment, least_s=0.05):
    """Return the pairs of runs of one task that ran at the same time on runners that were up."""
    journal, now_s = deployment.journal, time.monotonic()
    by_task = {}
    for runner in deployment.runners.values():
        for run in runner.history:
            by_task.setdefault(run.task, []).append((run, runner.name))
    findings = []
    for task, runs in by_task.items():
        for number, (first, first_name) in enumerate(runs):
            for second, second_name in runs[number + 1 :]:
                begin_s = max(first.interval_s[0], second.interval_s[0])
                end_s = min(each.interval_s[1] or now_s for each in (first, second))
                if end_s - begin_s > least_s:
                    findings.append(
                        f"TWICE: {task} ran as #{first.attempt} on {first_name} and as "
                        f"#{second.attempt} on {second_name} at the same time, from "
                        f"{begin_s - journal.started_s:.3f} to {end_s - journal.started_s:.3f}"
                    )
    return findings


def make_configuration(version=1, **route_fields):
    """Return a configuration with a queue for each priority and one tenant."""
    routes = [
        {
            "name": name,
            "hostname": HOST,
            "pathPrefix": f"/{name}/",
            "routeType": "unsafe",
            "timeoutMs": 3000,
            "targetLatencyMs": 3000,
            "priority": priority,
            "service": SERVICE,
            "maxAttempts": 4,
            "slackFactor": 3.0,
            "authExempt": False,
        }
        | route_fields
        for priority, name in enumerate(("draw", "rescore", "bundle"))
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": SERVICE,
                "healthPath": "/health",
                "maxConns": 64,
                "protocol": "h1",
                "enforceCapacity": False,
                "standby": False,
            }
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 262_144},
        "tenants": [
            {
                "name": "one",
                "apiKeys": ["key-one"],
                "priority": 1,
                "guaranteedGpus": {"gpuCount": 8},
            },
        ],
    }


def find_network():
    """Return the first three numbers of loopback addresses on which the ports are free."""
    rng = random.Random(os.getpid())
    for _ in range(50):
        prefix = f"127.{rng.randint(16, 250)}.{rng.randint(1, 250)}"
        if all(is_free(f"{prefix}.11", port) for port in (FRONT_PORT, INTERNAL_PORTS[0])):
            return prefix
    raise CannotRun("no free loopback addresses")


def is_free(ip, port):
    with contextlib.closing(socket.socket()) as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def run_case(play, record, limit_s=105.0, **options):
    """Play a case and exit with its result; `play` returns what broke the rule, or nothing.

    Parameters
    ----------
    record
        File for what was sent, answered and run.
    """
    sys.exit(asyncio.run(_run_case(play, record, limit_s, options)))


async def _run_case(play, record, limit_s, options):
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, task.cancel)
    deployment = None
    try:
        deployment = Deployment(record, **options)
        deployment.journal.note("case", f"TROUBLE={int(TROUBLE)}")
        async with asyncio.timeout(limit_s):
            await deployment.start()
            findings = await play(deployment)
    except (Exception, asyncio.CancelledError) as error:
        # Whatever keeps a case from its end says nothing about the rule.
        if deployment is not None:
            deployment.journal.note("case", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return NOT_RUN
    finally:
        if deployment is not None:
            await deployment.stop()
    for finding in findings[:20]:
        deployment.journal.note("broken", finding)
        print(finding)
    verdict = "broken" if findings else "held"
    deployment.journal.note("case", f"the rule {verdict}; {len(findings)} findings")
    print(f"the rule {verdict}")
    return BROKEN if findings else HELD
