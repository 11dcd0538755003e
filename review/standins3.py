"""Stand-ins of the platform for the scripts of the third review: store, workers and clients.

They follow the users' pages (PROTOCOL.md) and use the standard library only. One process serves
them all on loopback addresses; the nodes are the project's own program, one process each.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[1]
SERVICE = "render"
HOST = "jobs.example"
PREFIXES = {"urgent": "/urgent/", "normal": "/normal/", "bulk": "/bulk/"}
PRIORITIES = {"urgent": 0, "normal": 1, "bulk": 2}
KEY = "key-of-tenant-1"
HOLD_MAX_MS = 10_000
STOP_TIMEOUT_MS = 200
GANG_TIMEOUT_MS = 3_000
HEARTBEAT_S = 1.5
CRASH_DOWNTIME_S = 2.0


def free_port() -> int:
    """Return a loopback port that is free now, below those that outgoing connections use."""
    while True:
        port = random.randrange(18_000, 30_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, event: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}\n")
        self._file.flush()


class NoReply(Exception):
    """The connection stays open and no reply is sent."""


class HttpServer:
    """Minimal HTTP/1.1 server with keep-alive.

    :param respond: coroutine of method, path, query, headers and body; returns status and body.
    """

    def __init__(self, respond):
        self._respond = respond
        self._server = None
        self.connections: set = set()
        self._silent: set = set()
        self.address = ""

    def silence(self) -> None:
        """Send nothing more on the open connections; new ones work."""
        self._silent |= self.connections

    async def start(self, port: int = 0) -> str:
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=512)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self.address

    async def _serve(self, reader, writer) -> None:
        self.connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line, *fields = head[:-4].split(b"\r\n")
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                for field in fields:
                    name, _, value = field.partition(b":")
                    headers[name.decode().lower()] = value.strip().decode()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                path, _, query = target.partition("?")
                try:
                    status, reply = await self._respond(
                        method, path, dict(parse_qsl(query)), headers, body
                    )
                except NoReply:
                    self._silent.add(writer)
                    continue
                if writer in self._silent:
                    continue
                content = json.dumps(reply).encode()
                writer.write(
                    b"HTTP/1.1 %d Reply\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(content)) + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            self._silent.discard(writer)
            writer.close()


class Store:
    """The platform's store. Each node has its own listener, so that faults can be one node's."""

    def __init__(self):
        self.items: dict[str, dict] = {}
        self.revision = 1
        self._events: list[dict] = []
        self._changed = asyncio.Event()
        self._leases: dict[int, list] = {}
        self._last_lease = 1000
        self.value_bytes = 1_048_576
        self.servers: dict[str, HttpServer] = {}
        self.hook = None
        """Coroutine of node, call and body, run before each call; may raise or delay."""

    async def listen(self, node: str) -> str:
        """Listen for one node and return the address."""

        async def respond(method, path, query, headers, body):
            return await self._call(node, method, path, query, json.loads(body) if body else {})

        self.servers[node] = HttpServer(respond)
        return await self.servers[node].start()

    def put(self, key: str, value: object, lease: int = 0) -> int:
        """Write a key as the operator or a worker does."""
        self.revision += 1
        return self._write(key, json.dumps(value).encode(), lease, self.revision)

    def remove(self, key: str) -> None:
        """Remove a key as the operator or the platform does."""
        if key in self.items:
            self.revision += 1
            self._remove(key, self.revision)
            self._notify()

    def _write(self, key: str, value: bytes, lease: int, revision: int) -> int:
        created = self.items[key]["created_rev"] if key in self.items else revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created_rev": created,
            "lease": lease,
        }
        self.items[key] = item
        self._events.append(item)
        self._notify()
        return revision

    def _remove(self, key: str, revision: int) -> None:
        del self.items[key]
        self._events.append({"key": key, "revision": revision, "compacted": True})

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def run_leases(self) -> None:
        """End leases at their time, until cancelled."""
        while True:
            now = time.monotonic()
            for lease, (end, _) in list(self._leases.items()):
                if now >= end:
                    self._end_lease(lease)
            await asyncio.sleep(0.01)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key, self.revision)
            self._notify()

    async def _call(self, node, method, path, query, body):
        name = path.removeprefix("/mimosapoint/")
        after = None
        if self.hook is not None:
            after = await self.hook(node, name, body)
        reply = await self._apply(method, name, query, body)
        if after is not None:
            await after(reply)
        return reply

    async def _apply(self, method, name, query, body):
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (
                (200, item | {"at_rev": self.revision})
                if item
                else (
                    404,
                    {"at_rev": self.revision},
                )
            )
        if name == "kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            )
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "has_more": len(keys) > 500, "at_rev": self.revision}
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self.transact(body)
        if name == "kv-lease":
            self._last_lease += 1
            ttl = max(1000, int(body["ttl_ms"]))
            self._leases[self._last_lease] = [time.monotonic() + ttl / 1000, ttl]
            return 200, {"lease": self._last_lease, "ttl_ms": ttl}
        lease = int(name.rpartition("/")[2])
        if name.startswith("kv-keep/"):
            if lease not in self._leases:
                return 404, {}
            ttl = self._leases[lease][1]
            self._leases[lease][0] = time.monotonic() + ttl / 1000
            return 200, {"ttl_ms": ttl}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at_rev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def transact(self, body):
        """Apply a transaction and return status and body."""
        conflict = False
        for row in body.get("expected_rev", ()):
            item = self.items.get(row["key"])
            conflict |= (item["revision"] if item else 0) != row["revision"]
        if conflict:
            rows = [
                self.items.get(row["key"], {"key": row["key"], "revision": 0})
                for row in body["expected_rev"]
            ]
            return 412, {"items": rows}
        values = [
            (row["key"], base64.b64decode(row["value"]), row.get("lease") or 0)
            for row in body.get("set_keys", ())
        ]
        if any(len(value) > self.value_bytes for _, value, _ in values):
            return 400, {}
        if any(lease and lease not in self._leases for _, _, lease in values):
            return 404, {}
        self.revision += 1
        for key, value, lease in values:
            self._write(key, value, lease, self.revision)
        for key in body.get("remove", ()):
            if key in self.items:
                self._remove(key, self.revision)
        self._notify()
        return 200, {"revision": self.revision}


class Run:
    """A run of a task on a worker."""

    def __init__(self, worker: Worker, task: str, run: int, spec: dict, checkpoint: str):
        self.worker, self.task, self.run = worker, task, run
        self.spec, self.checkpoint = spec, checkpoint
        self.began = time.monotonic()
        self.ended: float | None = None
        self.how = ""
        self.has_crashed_worker = False
        self.handle: asyncio.Task | None = None
        job, occurrence, step, _ = task.rsplit(".", 3)
        self.gang = (job, occurrence, step, run) if spec.get("gang") else None


class Fleet:
    """All workers, and the history of their runs."""

    def __init__(self, record: Record, store: Store):
        self.record, self.store = record, store
        self.workers: list[Worker] = []
        self.history: list[Run] = []
        self.gangs: dict[tuple, list[Run]] = {}

    async def add(self, count: int, gpu: int = 8) -> None:
        """Start workers."""
        for _ in range(count):
            number = len(self.workers)
            worker = Worker(self, f"w-{number:03d}", f"zone-{number % 2}", f"r{number // 6}", gpu)
            self.workers.append(worker)
            await worker.start()


class Worker:
    """A worker that follows the section "Running tasks" of the pages."""

    def __init__(self, fleet: Fleet, name: str, zone: str, rack: str, gpu: int):
        self.fleet, self.id, self.zone, self.rack = fleet, name, zone, rack
        self.capacity = {"cpu": 128_000, "mem_mb": 262_144, "gpu": gpu}
        self.labels = ["a", rack]
        self.state = "ready"
        self.refuses_starts = False
        self.is_cut = False
        self.is_listed = True
        self.hook = None
        self.sequence = 0
        self.leaves_at: float | None = None
        self._reset()
        self.server = HttpServer(self._respond)

    def _reset(self) -> None:
        self.born = int(time.time() * 1000)
        self._zero = time.monotonic() - 1.0
        self.token = 0
        self.lease_ms = 0
        self.running: dict[tuple[str, int], Run] = {}
        self.finished: list[list] = []
        self._last_number = 0
        self._rejected: dict[str, int] = {}
        self._ended = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """Time on the steady clock of the worker, in milliseconds."""
        return int((time.monotonic() - self._zero) * 1000)

    async def start(self) -> None:
        """Serve, and begin to report."""
        self.address = await self.server.start()
        asyncio.create_task(self._heartbeats())
        asyncio.create_task(self._expire())

    def crash(self, run: Run) -> None:
        """Crash under a run; the worker is back after some seconds."""
        self.fleet.record.write("worker-crashed", worker=self.id, task=run.task, run=run.run)
        run.has_crashed_worker = True
        self.is_cut = True
        self.restart()
        self.server.silence()
        asyncio.get_running_loop().call_later(CRASH_DOWNTIME_S, setattr, self, "is_cut", False)

    def restart(self) -> None:
        """Start a new incarnation that knows nothing."""
        for run in list(self.running.values()):
            self._finish(run, "lost")
        self._reset()

    def publish(self) -> None:
        """Write the entry of the worker to the store."""
        self.sequence += 1
        entry = {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": self.clock_ms,
            "born": self.born,
            "sequence": self.sequence,
        }
        if self.leaves_at is not None:
            entry["remaining_ms"] = max(0, int((self.leaves_at - time.monotonic()) * 1000))
        self.fleet.store.put("servers/" + self.id, entry)

    async def _heartbeats(self) -> None:
        while True:
            if self.is_listed:
                self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock_ms > self.lease_ms:
                for run in list(self.running.values()):
                    self._finish(run, "lapsed")

    async def _respond(self, method, path, query, headers, body):
        document = json.loads(body) if body else {}
        if self.is_cut:
            raise NoReply
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms}
        if self.hook is not None:
            await self.hook(self, path, document)
        return await self.execute(path, document)

    async def execute(self, path: str, document: dict):
        """Carry out a call and return status and body."""
        is_start = path.endswith("run-start")
        if is_start and self.refuses_starts:
            self.fleet.record.write(
                "start-refused", worker=self.id, task=document["task"], run=document["run"]
            )
            return 503, {"clock_ms": self.clock_ms, "born": self.born}
        token = document.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock_ms, "reason": "fence", "born": self.born}
        self.token = token
        if is_start:
            return self._start(document)
        if path.endswith("run-stop"):
            self._stop(document)
            return 200, {"clock_ms": self.clock_ms, "born": self.born}
        return await self._hold(document)

    def _extend(self, deadline_ms: int) -> None:
        self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock_ms + HOLD_MAX_MS))

    def _start(self, document: dict):
        key = (document["task"], document["run"])
        reply = {"clock_ms": self.clock_ms, "born": self.born}
        if key in self.running:
            return 200, reply
        if document["deadline_ms"] < self.clock_ms:
            return 409, reply | {"reason": "late"}
        self._extend(document["deadline_ms"])
        if document["run"] <= self._rejected.get(document["task"], 0):
            return 409, reply | {"reason": "old"}
        spec = json.loads(document["spec"])
        run = Run(self, *key, spec, document.get("checkpoint", ""))
        self.running[key] = run
        self.fleet.history.append(run)
        self.fleet.record.write("run-began", worker=self.id, task=run.task, run=run.run)
        run.handle = asyncio.create_task(self._work(run))
        return 200, reply

    def _stop(self, document: dict) -> None:
        task, number = document["task"], document["run"]
        self._rejected[task] = max(self._rejected.get(task, 0), number)
        run = self.running.get((task, number))
        if run is not None:
            asyncio.get_running_loop().call_later(
                STOP_TIMEOUT_MS / 2000, self._finish, run, "stopped"
            )

    async def _hold(self, document: dict):
        if "deadline_ms" in document:
            self._extend(document["deadline_ms"])
        last_seen = document.get("last_seen", 0)
        self.finished = [row for row in self.finished if row[0] > last_seen]
        if document.get("wait_ms") and not self.finished:
            try:
                await asyncio.wait_for(self._ended.wait(), document["wait_ms"] / 1000)
            except TimeoutError:
                pass
        running = [
            [run.task, run.run, run.checkpoint, self._percent(run)] for run in self.running.values()
        ]
        return 200, {
            "clock_ms": self.clock_ms,
            "born": self.born,
            "running": running,
            "finished": self.finished[:500],
        }

    def _percent(self, run: Run) -> int:
        seconds = float(run.spec.get("seconds", 1))
        return min(99, int(100 * (time.monotonic() - run.began) / seconds))

    async def _work(self, run: Run) -> None:
        if run.gang is not None:
            members = self.fleet.gangs.setdefault(run.gang, [])
            members.append(run)
            end = time.monotonic() + GANG_TIMEOUT_MS / 1000
            while len({member.task for member in members}) < run.spec["gang"]:
                if time.monotonic() > end:
                    self._finish(run, "alone")
                    return
                await asyncio.sleep(0.01)
        if run.spec.get("deadly"):
            await asyncio.sleep(run.spec["deadly"])
            self.crash(run)
            return
        await asyncio.sleep(float(run.spec.get("seconds", 1)))
        self._finish(run, "failed" if run.spec.get("fails") else "done")

    def _finish(self, run: Run, how: str) -> None:
        if run.ended is not None:
            return
        run.ended, run.how = time.monotonic(), how
        if run.handle is not None and run.handle is not asyncio.current_task():
            run.handle.cancel()
        self.running.pop((run.task, run.run), None)
        self._rejected[run.task] = max(self._rejected.get(run.task, 0), run.run)
        self.fleet.record.write("run-ended", worker=self.id, task=run.task, run=run.run, how=how)
        if how != "lost":
            self._last_number += 1
            self.finished.append([self._last_number, run.task, run.run, how, run.checkpoint])
            self._ended.set()
            self._ended = asyncio.Event()
        if run.gang is not None and how not in ("done", "broken"):
            for member in self.fleet.gangs.get(run.gang, ()):
                member.worker._finish(member, "broken")


def configuration(version: int = 1, **changes: object) -> dict:
    """Return a configuration with one service, three queues and one tenant."""
    routes = [
        {
            "name": f"q-{name}",
            "host": HOST,
            "prefix": prefix,
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "target_completion_ms": 1000,
            "priority": PRIORITIES[name],
            "service": SERVICE,
            "max_attempts": 3,
            "slack_factor": 2.0,
            "public": False,
        }
        for name, prefix in PREFIXES.items()
    ]
    tenant = {"name": "tenant-1", "api_keys": [KEY], "priority": 1, "guaranteed": {"gpu": 0}}
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE, "admission_check": False, "standby": False}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 262_144},
        "tenants": [tenant],
    } | changes


class Nodes:
    """The project's own nodes, started with the command of the deploy file."""

    def __init__(self, record: Record, store: Store, folder: Path):
        self.record, self.store, self.folder = record, store, folder
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.frontends: dict[str, str] = {}

    async def start(self, name: str) -> None:
        """Start a node with the command and the template of the deploy file."""
        template = (ROOT / "deploy" / "settings.yaml").read_text()
        address = await self.store.listen(name)
        ports = {field: f"127.0.0.1:{free_port()}" for field in ("front", "ready", "m", "n", "p")}
        self.frontends[name] = ports["front"]
        values = {
            "node_name|json": f'"{name}"',
            "zone|json": '"zone-0"',
            "region|json": '"region-0"',
            "listen.frontend|json": f'"{ports["front"]}"',
            "listen.readiness|json": f'"{ports["ready"]}"',
            "platform.address|json": f'"{address}"',
            "limits.cpu_share|json": "0.537",
            "limits.cores|json": "2",
            "limits.link_mbps|json": "1000.0",
            "bounds.config_apply_ms|json": "2000",
            "bounds.hold_max_ms|json": str(HOLD_MAX_MS),
            "bounds.grace_s|json": "6",
            "bounds.max_extension_ms|json": "5000",
            "bounds.stop_timeout_ms|json": str(STOP_TIMEOUT_MS),
            "bounds.gang_timeout_ms|json": str(GANG_TIMEOUT_MS),
            "bounds.reclaim_ms|json": "2700",
            "bounds.status_s|json": "120",
            "bounds.checkpoint_interval_s|json": "2",
            "bounds.restore_ms|json": "100",
        }
        for field, value in values.items():
            template = template.replace("{{" + field + "}}", value)
        for text, port in (
            ('"{{ip}}:9464"', "m"),
            ('"{{ip}}:{{port_range.0}}"', "n"),
            ('"{{ip}}:{{port_range.1}}"', "p"),
        ):
            template = template.replace(text, f'"{ports[port]}"')
        settings = self.folder / f"{name}.yaml"
        settings.write_text(template)
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "MIMOSAPOINT_CONFIG": str(settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            *"python3 target/program/run.py".split(),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        self.record.write("node-started", node=name, pid=self.processes[name].pid)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a node."""
        self.record.write("signal", node=name, signal=number.name)
        self.processes[name].send_signal(number)

    @property
    def owner(self) -> str:
        """Node that owns the cell, as the store shows it; empty for none."""
        item = self.store.items.get("cell/owner")
        return json.loads(base64.b64decode(item["value"]))["node"] if item else ""

    async def wait_owner(self, seconds: float = 20) -> str:
        """Wait until a node owns the cell, and return it."""
        end = time.monotonic() + seconds
        while not self.owner:
            if time.monotonic() > end:
                raise TimeoutError("no node owns the cell")
            await asyncio.sleep(0.05)
        return self.owner

    async def stop(self) -> None:
        """Kill the processes that were started and wait for their ends."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()


async def call(
    record: Record,
    address: str,
    method: str,
    path: str,
    body: object = None,
    timeout: float = 3.0,
    key: str = KEY,
    deadline: float | None = None,
) -> tuple[int, dict]:
    """Send a request as a client does; the status is 0 if there is no complete answer.

    :param timeout: time after which the client leaves, in seconds.
    :param deadline: time limit that it states; by default the same.
    """
    host, _, port = address.rpartition(":")
    content = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {key}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n"
        f"Deadline-Ms: {int((deadline or timeout) * 1000)}\r\nConnection: close\r\n\r\n"
    )
    status, reply, writer = 0, {}, None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + content)
            await writer.drain()
            answer = await reader.read()
        first, _, rest = answer.partition(b"\r\n\r\n")
        if first:
            status = int(first.split(b" ", 2)[1])
            reply = json.loads(rest) if rest else {}
    except (OSError, TimeoutError, ValueError):
        status = 0
    finally:
        if writer is not None:
            writer.close()
    record.write("request", method=method, path=path, to=address, status=status, reply=reply)
    return status, reply


def step(count: int = 1, gpu: int = 1, seconds: float = 1, **more: object) -> dict:
    """Return a step of a job."""
    return {
        "count": count,
        "cpu": 1000,
        "mem_mb": 1024,
        "gpu": gpu,
        "estimate_ms": int(seconds * 1000),
    } | more


def job(steps: list[dict], **spec: object) -> dict:
    """Return a job; its spec tells the workers how its tasks behave."""
    return {"spec": json.dumps(spec), "steps": steps}


class Site:
    """Store, workers and nodes of a small deployment."""

    def __init__(self, folder: Path):
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.fleet = Fleet(self.record, self.store)
        self._temporary = tempfile.TemporaryDirectory()
        self.logs = Path(self._temporary.name)
        self.nodes = Nodes(self.record, self.store, self.logs)

    async def start(self, workers: int, nodes: int = 3) -> None:
        """Start everything and wait until all nodes serve."""
        asyncio.create_task(self.store.run_leases())
        self.store.put("op/config", configuration())
        await self.fleet.add(workers)
        for number in range(nodes):
            await self.nodes.start(f"node-{number}")
        await self.nodes.wait_owner()
        for name in self.nodes.processes:
            await self.wait_serving(name)

    async def wait_serving(self, name: str, seconds: float = 20) -> None:
        """Wait until a node answers its callers."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            status, _ = await self.call(name, "GET", PREFIXES["bulk"], timeout=1.0)
            if status == 200:
                return
            await asyncio.sleep(0.2)
        raise TimeoutError(f"{name} does not serve")

    async def call(self, node: str, method: str, path: str, body=None, timeout: float = 3.0):
        """Send a request to a node."""
        return await call(self.record, self.nodes.frontends[node], method, path, body, timeout)

    async def submit(self, node: str, queue: str, job_id: str, body: dict, timeout=3.0) -> int:
        """Submit a job and return the status."""
        return (await self.call(node, "POST", PREFIXES[queue] + job_id, body, timeout))[0]

    async def stop(self) -> None:
        """Stop the nodes."""
        await self.nodes.stop()
        if os.environ.get("KEEP_LOGS"):
            for log in self.logs.glob("*.log"):
                Path(os.environ["KEEP_LOGS"], log.name).write_bytes(log.read_bytes())


def job_id(number: int) -> str:
    """Return the id of a job."""
    return f"{number:016x}"


def main(scenario, folder: Path, trouble: bool) -> None:
    """Run a scenario; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run.

    :param trouble: whether the disruption happens.
    """

    async def run() -> bool:
        site = Site(folder)
        try:
            async with asyncio.timeout(115):
                return await scenario(site, trouble)
        finally:
            await site.stop()

    try:
        is_broken = asyncio.run(run())
    except Exception as error:
        print(f"not run: {error!r}")
        sys.exit(2)
    print("broken" if is_broken else "held")
    sys.exit(1 if is_broken else 0)
