"""Stand-ins of the platform, and the start of the project's programs, for the cases of the review.

Everything runs on addresses of the loopback network and uses the standard library only.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

HEARTBEAT_S = 1.5
STOP_GRACE_S = 0.2
MAX_HOLD_S = 10.0
GRACE_S = 6.0
RESTART_S = 1.0


class Record:
    """Writes what was sent, answered and run to `record.txt` in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self.started_s = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def write(self, text: str) -> None:
        line = f"{time.monotonic() - self.started_s:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


class HttpServer:
    """A small HTTP/1.1 server. A handler that returns `None` leaves the request unanswered.

    `bytes_per_s` limits the rate of each connection, as the link of a machine does.
    """

    def __init__(self, handle, bytes_per_s: float = 0.0) -> None:
        self.handle = handle
        self.bytes_per_s = bytes_per_s
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        self.server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening and reset the open connections, as a killed process does."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                method, path, headers, body = await _read_message(reader)
                reply = await self.handle(method.split()[0], path, headers, body)
                if reply is None:
                    await asyncio.sleep(30.0)
                    return
                status, content = reply
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                data = f"{head}Content-Length: {len(content)}\r\n\r\n".encode() + content
                await self._write(writer, data)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        piece = 16_384 if self.bytes_per_s else len(data)
        for place in range(0, len(data), piece):
            part = data[place : place + piece]
            writer.write(part)
            await writer.drain()
            if self.bytes_per_s:
                await asyncio.sleep(len(part) / self.bytes_per_s)


async def _read_message(reader: asyncio.StreamReader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    first = head[0].split(" ")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first[0], first[1], headers, body


async def call(address: str, method: str, path: str, document=None, headers=(), timeout_s=3.0):
    """Make one HTTP call on a connection of its own; return the status and the body, or `None`."""
    host, _, port = address.rpartition(":")
    body = b"" if document is None else json.dumps(document).encode()
    fields = {"Host": address, "Content-Type": "application/json", **dict(headers)}
    fields["Content-Length"] = str(len(body))
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            _, status, _, content = await _read_message(reader)
            return int(status), content
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's store: keyed topics of one partition, which lose nothing acknowledged.

    `lose_answer` is called with the topic, the keys and the query of each append; if it returns
    true, the append is carried out and not answered.
    """

    def __init__(self) -> None:
        self.server = HttpServer(self.handle)
        self.logs: dict[str, list[bytes]] = {}
        self.newest: dict[str, dict[str, tuple[int, bytes]]] = {}
        self.producers: dict[tuple[str, str], dict] = {}
        self.changed = asyncio.Condition()
        self.lose_answer = lambda topic, keys, query: False
        self.writes = 0

    async def handle(self, method, target, headers, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = query.get("topic", "")
        await asyncio.sleep(0.004)
        if parts.path == "/api/log-append":
            self.writes += 1
            if topic in ("keyed.op", "keyed.servers"):
                return 403, {}
            records = _split_records(body)
            reply = await self.append(topic, records, query)
            keys = [record[1 : 1 + record[0]].decode() for record in records]
            return None if self.lose_answer(topic, keys, query) else reply
        if parts.path == "/api/log-read":
            return await self.read(topic, int(query["from"]), int(query.get("waitMs", 0)))
        if parts.path == "/api/log-newest":
            return self.list_newest(topic, query.get("after", ""))
        return 404, {}

    async def append(self, topic, records, query):
        log = self.logs.setdefault(topic, [])
        if "at" in query and int(query["at"]) != len(log):
            return 412, {"end": len(log)}
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            state = self.producers.setdefault((topic, query["producer"]), {"epoch": -1})
            if epoch < state["epoch"]:
                return 409, {"reason": "fenced"}
            if epoch > state["epoch"]:
                state.update(epoch=epoch, next=None, answers={})
            if records:
                if sequence in state["answers"]:
                    return state["answers"][sequence]
                if state["next"] not in (None, sequence):
                    return 409, {"reason": "seq", "sequence": state["next"]}
        offset = len(log)
        for record in records:
            key, value = record[1 : 1 + record[0]].decode(), record[1 + record[0] :]
            keys = self.newest.setdefault(topic, {})
            if value:
                keys[key] = (len(log), value)
            else:
                keys.pop(key, None)
            log.append(record)
        reply = 200, {"offset": offset, "end": len(log)}
        if "producer" in query and records:
            state["next"] = sequence + 1
            state["answers"][sequence] = reply
            state["answers"].pop(sequence - 5, None)
        async with self.changed:
            self.changed.notify_all()
        return reply

    async def read(self, topic, offset, wait_ms):
        log = self.logs.setdefault(topic, [])
        try:
            async with asyncio.timeout(wait_ms / 1000), self.changed:
                while len(log) <= offset:
                    await self.changed.wait()
        except TimeoutError:
            pass
        records = b"".join(len(each).to_bytes(4, "big") + each for each in log[offset:])
        return 200, len(log).to_bytes(8, "big") + bytes(8) + records

    def list_newest(self, topic, after):
        keys = sorted(key for key in self.newest.get(topic, {}) if key > after)
        items = []
        size = 0
        for key in keys[:500]:
            offset, value = self.newest[topic][key]
            size += len(key) + len(value)
            if items and size > 1_000_000:
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        end = len(self.logs.get(topic, []))
        return 200, {"items": items, "hasMore": len(keys) > len(items), "end": end}

    async def publish(self, configuration) -> None:
        """Write a configuration, as the operator does."""
        value = json.dumps(configuration).encode()
        await self.append("keyed.op", [bytes([6]) + b"config" + value], {})


def _split_records(body: bytes) -> list[bytes]:
    records = []
    while body:
        length = int.from_bytes(body[:4], "big")
        records.append(body[4 : 4 + length])
        body = body[4 + length :]
    return records


class Run:
    """One run of a task on a runner."""

    def __init__(self, runner: Runner, task: str, attempt: int, spec: str, works_s: float) -> None:
        self.runner, self.task, self.attempt, self.spec = runner, task, attempt, spec
        self.works_s = works_s
        self.started_s = time.monotonic()
        self.stops_at_s: float | None = None
        self.ended_s: float | None = None
        self.how = ""


class Runner:
    """A runner of the platform, with the calls and rules of the pages.

    The text of a task is JSON: `work_s` is how long it runs; `fails` lists the attempts, counted
    from 1, that end as `failed` half-way; with `lasts` it runs on after that time, at 100 percent.
    `before_start` and `before_stop` may return `"late"` to leave an order unanswered and carry it
    out later.
    """

    def __init__(self, record, name, address, agent_address, service, rack, history) -> None:
        self.record, self.name, self.address = record, name, address
        self.agent_address, self.service, self.rack = agent_address, service, rack
        self.history: list[Run] = history
        self.capacity = {"cpu": 16000, "memMb": 32768, "gpuCount": 8}
        self.before_start = lambda document: ""
        self.before_stop = lambda document: ""
        self.late_s = 3.0
        self.orders = self.late_orders = 0
        self.life = 0
        self.up = False
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Start a life of the runner, which holds and knows nothing of before."""
        self.life += 1
        self.instance = f"i-{self.name}-{self.life}"
        self.born_ms = int(time.time() * 1000)
        self.clock_zero_s = time.monotonic()
        self.running: dict[tuple[str, int], Run] = {}
        self.finished: list[list] = []
        self.closed: dict[str, int] = {}
        self.token = self.ends = self.sequence = 0
        self.lease_ms = 0.0
        self.up = True
        self.server = HttpServer(self.handle)
        host, _, port = self.address.rpartition(":")
        await self.server.start(host, int(port))
        self.tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._work())]
        self.record.write(f"runner {self.name} is up as {self.instance}")

    def crash(self) -> None:
        """End without notice; all that runs ends with the runner."""
        self.up = False
        self.server.close()
        for task in self.tasks:
            task.cancel()
        for run in list(self.running.values()):
            self._end(run, "lost with the runner")
        self.record.write(f"runner {self.name} has crashed")

    def clock_ms(self) -> float:
        return (time.monotonic() - self.clock_zero_s) * 1000 + 1000

    def state(self) -> dict:
        """Return what the runner says of itself."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": self.capacity,
            "labels": ["a", self.rack, self.name],
            "clockMs": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born_ms,
        }

    async def _beat(self) -> None:
        while True:
            path = f"/api/Instances.Heartbeat/{self.instance}"
            answer = await call(self.agent_address, "POST", path, self.state(), timeout_s=1.0)
            await asyncio.sleep(HEARTBEAT_S if answer and answer[0] == 200 else 0.3)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            for run in list(self.running.values()):
                ran_s = now_s - run.started_s
                behavior = json.loads(run.spec)
                number = sum(each.task == run.task for each in self.history[: self._place(run)]) + 1
                if self.clock_ms() > self.lease_ms:
                    self._end(run, "lapsed")
                elif run.stops_at_s is not None and now_s >= run.stops_at_s:
                    self._end(run, "stopped")
                elif number in behavior.get("fails", ()) and ran_s > run.works_s / 2:
                    self._end(run, "failed")
                elif ran_s > run.works_s and not behavior.get("lasts"):
                    self._end(run, "done")

    def _place(self, run: Run) -> int:
        return self.history.index(run)

    def _end(self, run: Run, how: str) -> None:
        del self.running[run.task, run.attempt]
        self.closed[run.task] = max(run.attempt, self.closed.get(run.task, 0))
        run.ended_s, run.how = time.monotonic(), how
        self.ends += 1
        self.finished.append([self.ends, run.task, run.attempt, how, ""])
        self.record.write(f"runner {self.name}: {run.task} run {run.attempt} ended: {how}")

    async def handle(self, method, target, headers, body):
        if headers.get("x-expect-instance", self.instance) != self.instance:
            return 421, {}
        document = json.loads(body or b"{}")
        if target == "/api/run-start":
            return await self._order(self.before_start, self._start_run, document)
        if target == "/api/run-stop":
            return await self._order(self.before_stop, self._stop_run, document)
        if target == "/api/hold":
            return await self._hold(document)
        return 404, {}

    async def _order(self, before, carry_out, document):
        self.orders += 1
        if before(document) == "late":
            self.late_orders += 1
            life = self.life
            self.record.write(f"runner {self.name}: leaves {_order_text(document)} unanswered")

            async def later() -> None:
                await asyncio.sleep(self.late_s)
                if self.up and life == self.life:
                    status, answer = carry_out(document)
                    self.record.write(
                        f"runner {self.name}: carries out late {_order_text(document)}: "
                        f"{status} {answer.get('reason', '')}"
                    )

            self.tasks.append(asyncio.create_task(later()))
            return None
        status, answer = carry_out(document)
        self.record.write(
            f"runner {self.name}: {carry_out.__name__[1:]} {_order_text(document)} -> {status} "
            f"{answer.get('reason', '')}"
        )
        return status, answer

    def _answer(self, status, reason=""):
        answer = {"clockMs": self.clock_ms()}
        if reason:
            answer["reason"] = reason
        return status, answer

    def _extend(self, document) -> None:
        deadline_ms = document.get("deadlineMs")
        if deadline_ms is not None:
            latest_ms = self.clock_ms() + MAX_HOLD_S * 1000
            self.lease_ms = max(self.lease_ms, min(deadline_ms, latest_ms))

    def _fenced(self, document) -> bool:
        token = document.get("fencingToken", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def _start_run(self, document):
        if self._fenced(document):
            return self._answer(409, "fence")
        if document["deadlineMs"] < self.clock_ms():
            return self._answer(409, "late")
        self._extend(document)
        task, attempt = document["task"], document["attempt"]
        if (task, attempt) in self.running:
            return self._answer(200)
        if attempt <= self.closed.get(task, 0):
            return self._answer(409, "old")
        works_s = json.loads(document["taskSpec"])["work_s"]
        run = Run(self, task, attempt, document["taskSpec"], works_s)
        self.running[task, attempt] = run
        self.history.append(run)
        self.record.write(f"runner {self.name}: {task} run {attempt} starts")
        return self._answer(200)

    def _stop_run(self, document):
        if self._fenced(document):
            return self._answer(409, "fence")
        task, attempt = document["task"], document["attempt"]
        self.closed[task] = max(attempt, self.closed.get(task, 0))
        run = self.running.get((task, attempt))
        if run is not None and run.stops_at_s is None:
            run.stops_at_s = time.monotonic() + STOP_GRACE_S / 2
        return self._answer(200)

    async def _hold(self, document):
        if self._fenced(document):
            return self._answer(409, "fence")
        self._extend(document)
        self.finished = [each for each in self.finished if each[0] > document["ackCursor"]]
        until_s = time.monotonic() + document.get("waitMs", 0) / 1000
        ends = self.ends
        while time.monotonic() < until_s and self.ends == ends:
            await asyncio.sleep(0.02)
        rows = [
            [run.task, run.attempt, "", int(100 * self._share(run)), 0]
            for run in self.running.values()
        ]
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born_ms,
            "running": rows,
            "finished": self.finished[:500],
        }

    def _share(self, run: Run) -> float:
        return min(1.0, (time.monotonic() - run.started_s) / run.works_s)


def _order_text(document) -> str:
    return f"{document['task']} run {document['attempt']} (token {document['fencingToken']})"


class Process:
    """One of the project's programs, run as a process of its own."""

    def __init__(self, site: Site, role: str, name: str, settings: str) -> None:
        self.site, self.role, self.name = site, role, name
        self.boot = site.folder / f"{name}.conf"
        self.boot.write_text(settings)
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BRIARDEAL_BOOT": str(self.boot),
        }
        log = (self.site.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *("python3", "-m", "briardeal_platform", self.role),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        self.site.record.write(f"{self.name} started")

    async def kill(self) -> None:
        self.site.record.write(f"{self.name} killed")
        self.process.kill()
        await self.process.wait()

    async def restart_gracefully(self) -> None:
        """Stop as the platform does for planned work, and start again after a short delay."""
        self.site.record.write(f"{self.name} gets SIGTERM")
        self.process.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.site.record.write(f"{self.name} has ended")
        await asyncio.sleep(RESTART_S)
        await self.start()

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


class Site:
    """A small deployment on loopback addresses: store, entries, agents with their runners."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.ports = _free_ports(self.network, 6)
        self.store = Store()
        self.entries: list[Process] = []
        self.agents: list[Process] = []
        self.runners: list[Runner] = []
        self.history: list[Run] = []
        self.configuration = {
            "version": 10,
            "routes": [
                {
                    "name": "queue-a",
                    "hostname": "jobs.example",
                    "pathPrefix": "/a/",
                    "service": "svc",
                    "priority": 1,
                    "maxAttempts": 3,
                    "slackFactor": 3,
                    "targetLatencyMs": 3000,
                }
            ],
            "services": [{"name": "svc", "enforceCapacity": False}],
            "tenants": [{"name": "tenant-a", "apiKeys": ["key-a"], "guaranteedGpus": 0}],
            "limits": {},
        }
        self.ended: set[asyncio.Task] = set()

    def ip(self, number: int) -> str:
        return f"{self.network}.{number}"

    async def start(self, entries: int, runners: int) -> None:
        front, ready, control, internal, app, store = self.ports
        self.store_address = f"{self.ip(1)}:{store}"
        await self.store.server.start(self.ip(1), store)
        await self.store.publish(self.configuration)
        seeds = ",".join(f"{self.ip(10 + number)}:{control}" for number in range(min(3, entries)))
        common = [
            "zone=zone-a",
            "region=region-a",
            "zones.zone-a=region-a",
            f"internalPorts={internal},{internal}",
            f"seedNodes={seeds}",
            "bootstrap=true",
            "heartbeatMs=1500",
            "controlMode=push",
            "discovery=local",
            f"platform.address={self.store_address}",
            "platform.form=log",
            "bounds.revokeMs=5000",
            "bounds.graceS=6",
        ]
        for number in range(entries):
            ip = self.ip(10 + number)
            lines = [
                f"nodeName=front-{number + 1}",
                "role=entry",
                "machineClass=front",
                "serves=front,control",
                f"ip={ip}",
                f"listenAddrs.front={ip}:{front}",
                f"listenAddrs.readiness={ip}:{ready}",
                f"listenAddrs.controlPlane={ip}:{control}",
                *common,
            ]
            entry = Process(self, "entry", f"front-{number + 1}", "\n".join(lines) + "\n")
            entry.address, entry.readiness = f"{ip}:{front}", f"{ip}:{ready}"
            self.entries.append(entry)
            await entry.start()
            # The entries start one after the other, so that the first one becomes the owner.
            await self.wait_until(lambda entry=entry: self.is_ready(entry), 15.0)
        for number in range(runners):
            ip = self.ip(100 + number)
            name = f"side-{number + 1}"
            lines = [
                f"nodeName={name}",
                "role=agent",
                "machineClass=side",
                "serves=side",
                f"ip={ip}",
                f"listenAddrs.controlPlane={ip}:{control}",
                f"app={ip}:{app}",
                "service=svc",
                *common,
            ]
            agent = Process(self, "agent", name, "\n".join(lines) + "\n")
            self.agents.append(agent)
            await agent.start()
            runner = Runner(
                self.record,
                f"r{number + 1}",
                f"{ip}:{app}",
                f"{ip}:{control}",
                "svc",
                f"rack-{number + 1}",
                self.history,
            )
            self.runners.append(runner)
            await runner.start()

    async def is_ready(self, entry: Process) -> bool:
        answer = await call(entry.readiness, "GET", "/api/readiness", timeout_s=1.0)
        return answer is not None and answer[0] == 200

    async def wait_until(self, condition, timeout_s: float) -> bool:
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return True
            await asyncio.sleep(0.05)
        return False

    async def request(self, method, path, document=None, key="key-a", entry=None):
        """Make a call as a client does: the next entry is tried after a failure."""
        for each in [entry] if entry is not None else [*self.entries, *self.entries]:
            headers = {
                "Host": "jobs.example",
                "Authorization": f"Bearer {key}",
                "X-Deadline-Ms": "3000",
            }
            answer = await call(each.address, method, path, document, headers)
            text = "no answer"
            if answer is not None:
                text = f"{answer[0]} {answer[1].decode(errors='replace')}"
            self.record.write(f"client: {method} {path} at {each.name} -> {text}")
            if answer is not None and answer[0] not in (429, 502, 503, 504):
                return answer
            await asyncio.sleep(0.3)
        return None

    async def submit(self, job_id, work_s, prefix="/a/", tasks=1, fails=(), lasts=False, **step):
        """Hand in a job of one step, and return whether it was accepted."""
        spec = json.dumps({"work_s": work_s, "fails": list(fails), "lasts": lasts})
        row = {"taskCount": tasks, "cpu": 1000, "memMb": 512, "estRuntimeMs": 1000 * work_s, **step}
        document = {"taskSpec": spec, "steps": [row]}
        answer = await self.request("POST", prefix + job_id, document)
        return answer is not None and answer[0] == 200

    async def state_of(self, job_id, prefix="/a/"):
        """Return the state of a job as a client is shown it."""
        answer = await self.request("GET", prefix + job_id)
        if answer is None or answer[0] != 200:
            return None if answer is None else str(answer[0])
        return json.loads(answer[1])["state"]

    def runs_of(self, job_id) -> list[Run]:
        return [run for run in self.history if run.task.startswith(job_id + ".")]

    def overlaps(self) -> list[tuple[Run, Run]]:
        """Return pairs of runs of one task that ran at the same time."""
        pairs = []
        for number, first in enumerate(self.history):
            for second in self.history[number + 1 :]:
                ended_s = first.ended_s or time.monotonic()
                if first.task == second.task and second.started_s < ended_s:
                    pairs.append((first, second))
        return pairs

    async def end(self) -> None:
        for process in [*self.entries, *self.agents]:
            await process.end()
        for runner in self.runners:
            for task in runner.tasks:
                task.cancel()
            runner.server.close()
        self.store.server.close()
        if os.environ.get("KEEP"):
            print(f"logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_ports(network: str, count: int) -> list[int]:
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((f"{network}.1", 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def job_id(number: int) -> str:
    """Return the ID of a job."""
    return f"{number:016x}"


def run_case(folder: str, play) -> None:
    """Play a case and exit with its result."""
    if not (ROOT / "target" / "deps" / "briardeal_platform").is_dir():
        print("target/deps is missing; run the build of the deploy file first")
        sys.exit(NOT_RUN)

    async def main() -> int:
        site = Site(Path(folder))
        try:
            async with asyncio.timeout(115.0):
                result = await play(site)
        except TimeoutError:
            site.record.write("the case took too long")
            result = NOT_RUN
        finally:
            await site.end()
        names = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "could not run"}
        site.record.write(f"result: {names[result]}")
        return result

    sys.exit(asyncio.run(main()))
