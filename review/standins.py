"""Stand-ins of the platform's store, of workers and of callers, and a runner for separate nodes.

Everything listens on loopback addresses and uses the standard library only. The stand-ins follow
PROTOCOL.md; where it is silent, they behave like a sound store, worker or caller.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("zone-a", "zone-b")
HOST = "queue.example"
POOL = "pool-1"

HEARTBEAT_S = 1.5
"""``heartbeat_ms`` of the example in DEPLOY.md."""

BOUNDS = {
    "config_apply_ms": 2000,
    "max_extension_ms": 5000,
    "hold_max_ms": 10_000,
    "grace_s": 6,
    "stop_timeout_ms": 200,
    "gang_timeout_ms": 3000,
    "reclaim_ms": 2700,
    "status_s": 120,
    "checkpoint_interval_s": 2,
    "restore_ms": 100,
}
"""Those of the settings example in DEPLOY.md that the settings template uses."""

Answer = tuple[int, Any]
Handler = Callable[[str, str, dict[str, str], dict[str, str], Any], Awaitable[Answer]]


class Record:
    """Lines of what was sent, answered and run, with the time since the start.

    :param path: file to which they are written.
    """

    def __init__(self, path: Path):
        self.started_at = time.monotonic()
        self.starts: list[tuple[float, str]] = []
        self.ends: list[tuple[float, str]] = []
        self.twice: list[str] = []
        self._file = path.open("w")

    def now(self) -> float:
        """Return the time since the start in seconds."""
        return time.monotonic() - self.started_at

    def __call__(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class HttpServer:
    """HTTP/1.1 server with JSON bodies.

    :param handler: returns status and body of the reply to a request.
    :ivar is_cut: whether nothing passes in either direction, as behind a partition.
    :ivar resets: whether a partition resets connections instead of being silent.
    """

    def __init__(self, handler: Handler):
        self.is_cut = False
        self.resets = False
        self.address = ""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> None:
        """Listen on ``IP:port``; port 0 picks a free one."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Close the port and reset all connections, as at the end of a process."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self._reset_all()

    def set_cut(self, is_cut: bool, resets: bool = False) -> None:
        """Begin or end a partition."""
        self.is_cut, self.resets = is_cut, resets
        if is_cut and resets:
            self._reset_all()

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while not (self.is_cut and self.resets):
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                pairs = (line.split(":", 1) for line in head[1:] if ":" in line)
                headers = {name.strip().lower(): value.strip() for name, value in pairs}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                if self.is_cut:
                    break
                content = json.loads(body) if body else None
                status, reply = await self._handler(method, url.path, query, headers, content)
                if self.is_cut:
                    break
                data = json.dumps(reply).encode()
                writer.write(
                    b"HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (status, len(data), data)
                )
                await writer.drain()
            while self.is_cut and not self.resets:
                await asyncio.sleep(0.05)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's store.

    Each node gets an address of its own, so that the store can turn one of them away.
    """

    def __init__(self, record: Record):
        self.revision = 10
        self.items: dict[str, dict[str, Any]] = {}
        self.refused: set[str] = set()
        self.late_key = ""
        self.late_seconds = 0.0
        self._record = record
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._leases: dict[int, list[float]] = {}
        self._last_lease = 70_000
        self._server_deadlines: dict[str, float] = {}

    async def listen(self, address: str, node: str) -> HttpServer:
        """Serve one node at an address of its own."""

        async def handle(method: str, path: str, query: Any, headers: Any, body: Any) -> Answer:
            if node in self.refused:
                return 503, {}
            return await self._handle(method, path, query, body)

        server = HttpServer(handle)
        await server.start(address)
        return server

    async def run(self) -> None:
        """Remove the keys of expired leases and the entries of silent workers, until cancelled."""
        while True:
            now = time.monotonic()
            for lease, (_, ends_at) in list(self._leases.items()):
                if ends_at <= now:
                    self._end_lease(lease)
            for key, ends_at in list(self._server_deadlines.items()):
                if ends_at <= now:
                    del self._server_deadlines[key]
                    self._record(f"store removes {key} after three silent intervals")
                    self.remove(key)
            await asyncio.sleep(0.01)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key and return the revision."""
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_rev": old["created_rev"] if old else self.revision,
            "lease": lease,
        }
        self._add_event(self.items[key])
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key, if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event({"key": key, "revision": self.revision, "compacted": True})

    def put_server(self, worker: str, entry: dict[str, Any]) -> None:
        """Write the entry of a worker, which is removed after three silent intervals."""
        key = f"servers/{worker}"
        self._server_deadlines[key] = time.monotonic() + 3 * HEARTBEAT_S
        self.put(key, json.dumps(entry).encode())

    def _add_event(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, lease: int) -> None:
        if self._leases.pop(lease, None) is not None:
            for key in [key for key, item in self.items.items() if item["lease"] == lease]:
                self.remove(key)

    async def _handle(self, method: str, path: str, query: dict[str, str], body: Any) -> Answer:
        name = path.removeprefix("/mimosapoint/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at_rev": self.revision}) if item else (404, {})
        if name == "kv-range":
            after = query.get("after", "")
            keys = sorted(
                key for key in self.items if key.startswith(query["prefix"]) and key > after
            )
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "has_more": len(keys) > 500, "at_rev": self.revision}
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            keys = [write["key"] for write in body.get("set_keys") or []]
            if self.late_key and self.late_key in keys:
                self.late_key = ""
                await self._commit_late(body)
            return self._commit(body)
        if name == "kv-lease":
            self._last_lease += 1
            ttl = max(1.0, body["ttl_ms"] / 1000)
            self._leases[self._last_lease] = [ttl, time.monotonic() + ttl]
            return 200, {"lease": self._last_lease, "ttl_ms": int(ttl * 1000)}
        lease = int(name.rpartition("/")[2])
        if name.startswith("kv-keep/"):
            if lease not in self._leases:
                return 404, {}
            self._leases[lease][1] = time.monotonic() + self._leases[lease][0]
            return 200, {}
        if lease not in self._leases:
            return 404, {}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, query: dict[str, str]) -> Answer:
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        after, prefix = int(query["after"]), query["prefix"]
        while True:
            changed, at_rev = self._changed, self.revision
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            wait = ends_at - time.monotonic()
            if events or wait <= 0:
                return 200, {"events": events, "at_rev": at_rev}
            try:
                await asyncio.wait_for(changed.wait(), wait)
            except TimeoutError:
                pass

    async def _commit_late(self, body: dict[str, Any]) -> None:
        """Carry out a write late, if its conditions hold then, and never answer it."""
        values = [base64.b64decode(write["value"]).decode() for write in body["set_keys"]]
        self._record(f"store: a write of {values} gets no answer")

        async def commit() -> None:
            await asyncio.sleep(self.late_seconds)
            status, _ = self._commit(body)
            self._record(f"store: that write is done {self.late_seconds} s later: {status}")

        task = asyncio.create_task(commit())
        await asyncio.sleep(3600)
        await task

    def _commit(self, body: dict[str, Any]) -> Answer:
        expected = body.get("expected_rev") or []
        current = {
            row["key"]: self.items.get(row["key"], {"key": row["key"], "revision": 0})
            for row in expected
        }
        if any(current[row["key"]]["revision"] != row["revision"] for row in expected):
            return 412, {"items": list(current.values())}
        writes = body.get("set_keys") or []
        if any(write.get("lease") and write["lease"] not in self._leases for write in writes):
            return 404, {}
        for write in writes:
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease") or 0)
        for key in body.get("remove") or []:
            self.remove(key)
        return 200, {"revision": self.revision}


class Gangs:
    """What workers know of each other, because the tasks of a gang work only together."""

    def __init__(self) -> None:
        self.workers: list[Worker] = []
        self.sizes: dict[str, int] = {}
        self.runs: dict[tuple[str, int], dict[str, Worker]] = {}


class Worker:
    """A worker, which does not guard its capacity.

    :param id: its id, which it keeps when it starts again.
    :param zone: its zone.
    :param store: the store to which it reports.
    :param record: receives each order that has an effect.
    :param gangs: the gangs of all workers.
    :param work: returns seconds of work and the end of a run.
    """

    def __init__(
        self,
        id: str,
        zone: str,
        store: Store,
        record: Record,
        gangs: Gangs,
        work: Callable[[str, int], tuple[float, str]],
    ):
        self.id, self.zone = id, zone
        self.is_cut_from_store = False
        self.server = HttpServer(self._handle)
        self._store, self._record, self._gangs, self._work = store, record, gangs, work
        self._tasks: set[asyncio.Task[None]] = set()
        gangs.workers.append(self)
        self._forget()

    def _forget(self) -> None:
        self._started_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token = 0
        self.running: dict[str, dict[str, Any]] = {}
        self._deadline_ms = 0
        self._last_runs: dict[str, int] = {}
        self._finished: list[list[Any]] = []
        self._last_end = 0
        self._ended = asyncio.Event()
        self._sequence = 0
        self._reported_at = 0.0
        self._held_at = 0.0

    @property
    def clock_ms(self) -> int:
        """Time since the start of this incarnation in milliseconds."""
        return int((time.monotonic() - self._started_at) * 1000)

    def since_report(self) -> float:
        """Return the time since the last report to the store in seconds."""
        return time.monotonic() - self._reported_at

    async def start(self, address: str) -> None:
        """Start, with nothing of an earlier incarnation, and report to the store."""
        self._forget()
        await self.server.start(address)
        self._record(f"worker {self.id} starts at {self.server.address}, born {self.born}")
        for run in (self._report, self._expire):
            task = asyncio.create_task(run())
            self._tasks.add(task)

    async def crash(self) -> None:
        """End at once, without a word."""
        self._record(f"worker {self.id} crashes")
        lost, self.running = self.running, {}
        for task, run in lost.items():
            self._end_gang(task, run["run"], "broken")
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        await self.server.stop()

    def set_cut(self, nodes: bool, store: bool, resets: bool = False) -> None:
        """Cut it off from the nodes, from the store, or heal that."""
        self._record(f"worker {self.id}: cut off from nodes {nodes}, from the store {store}")
        self.server.set_cut(nodes, resets)
        self.is_cut_from_store = store

    async def _report(self) -> None:
        while True:
            self._sequence += 1
            self._reported_at = time.monotonic()
            if not self.is_cut_from_store:
                if f"servers/{self.id}" not in self._store.items:
                    self._record(f"worker {self.id} is entered in the store")
                self._store.put_server(self.id, self._entry())
            await asyncio.sleep(HEARTBEAT_S)

    def _entry(self) -> dict[str, Any]:
        return {
            "service": POOL,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": 128_000, "mem_mb": 262_144, "gpu": 8},
            "labels": ["a", f"r-{self.zone}"],
            "clock_ms": self.clock_ms,
            "sequence": self._sequence,
            "born": self.born,
        }

    async def _expire(self) -> None:
        while True:
            if self.running and self.clock_ms > self._deadline_ms:
                for task in list(self.running):
                    self._end(task, "lapsed")
            await asyncio.sleep(0.01)

    async def _handle(self, method: str, path: str, query: Any, headers: Any, body: Any) -> Answer:
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms, "born": self.born}
        token = body.get("fencing_token", 0)
        if token < self.token:
            self._record(f"worker {self.id} refuses {path}: token {token} is below {self.token}")
            return 409, {"clock_ms": self.clock_ms, "born": self.born, "reason": "fence"}
        self.token = token
        name = path.removeprefix("/mimosapoint/")
        if name == "run-start":
            return self._start_run(body)
        if name == "run-stop":
            self._stop_run(body["task"], body["run"])
            return 200, {"clock_ms": self.clock_ms, "born": self.born}
        return await self._hold(body)

    def _start_run(self, body: dict[str, Any]) -> Answer:
        task, run = body["task"], body["run"]
        reply = {"clock_ms": self.clock_ms, "born": self.born}
        if task in self.running and self.running[task]["run"] == run:
            return 200, reply
        if body["deadline_ms"] <= self.clock_ms:
            return 409, {**reply, "reason": "late"}
        self._extend(body["deadline_ms"])
        if run <= self._last_runs.get(task, 0):
            return 409, {**reply, "reason": "old"}
        text = f"worker {self.id} ({self.zone}) starts {task} run {run}"
        self._record(text)
        self._record.starts.append((self._record.now(), text))
        for other in self._gangs.workers:
            if task in other.running:
                self._record(f"TWICE: {task} works on {other.id} and on {self.id}")
                self._record.twice.append(task)
        self.running[task] = {"run": run, "since": None, "seconds": 0.0, "how": ""}
        gang = task.rpartition(".")[0]
        size = self._gangs.sizes.get(gang, 0)
        if not size:
            self._begin(task)
            return 200, reply
        members = self._gangs.runs.setdefault((gang, run), {})
        members[task] = self
        if len(members) == size:
            for member, worker in members.items():
                worker._begin(member)
        return 200, reply

    def _begin(self, task: str) -> None:
        run = self.running.get(task)
        if run is not None:
            run["seconds"], run["how"] = self._work(task, run["run"])
            run["since"] = time.monotonic()
            timer = asyncio.create_task(self._finish(task, run))
            self._tasks.add(timer)
            timer.add_done_callback(self._tasks.discard)

    async def _finish(self, task: str, run: dict[str, Any]) -> None:
        await asyncio.sleep(run["seconds"])
        if self.running.get(task) is run and run["how"]:
            self._end(task, run["how"])

    def _stop_run(self, task: str, run: int) -> None:
        if task in self.running and self.running[task]["run"] == run:
            self._end(task, "stopped")
        else:
            self._last_runs[task] = max(self._last_runs.get(task, 0), run)

    def _end(self, task: str, how: str) -> None:
        run = self.running.pop(task)["run"]
        self._last_runs[task] = max(self._last_runs.get(task, 0), run)
        self._last_end += 1
        self._finished.append([self._last_end, task, run, how, ""])
        text = f"worker {self.id} ends {task} run {run}: {how}"
        self._record(text)
        self._record.ends.append((self._record.now(), text))
        self._ended.set()
        self._ended = asyncio.Event()
        self._end_gang(task, run, "done" if how == "done" else "broken")

    def _end_gang(self, task: str, run: int, how: str) -> None:
        """End the other members of a gang, one of which has ended or is lost."""
        members = self._gangs.runs.pop((task.rpartition(".")[0], run), {})
        for member, worker in members.items():
            if worker.running.get(member, {}).get("run") == run:
                worker._end(member, how)

    def since_hold(self) -> float:
        """Return the time since the last hold arrived in seconds."""
        return time.monotonic() - self._held_at

    def _extend(self, deadline_ms: int) -> None:
        latest = self.clock_ms + BOUNDS["hold_max_ms"]
        if deadline_ms > latest:
            self._record(
                f"worker {self.id} shortens a lease to {BOUNDS['hold_max_ms']} ms:"
                f" {deadline_ms} at {self.clock_ms} on its clock"
            )
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, latest))

    async def _hold(self, body: dict[str, Any]) -> Answer:
        self._held_at = time.monotonic()
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        last_seen = body["last_seen"]
        for end in self._finished:
            if end[0] <= last_seen:
                self._record(f"worker {self.id}: end {end[0]} {end[1]} {end[3]} is taken note of")
        self._finished = [end for end in self._finished if end[0] > last_seen]
        wait = min(body.get("wait_ms", 0), 2000) / 1000
        if wait and not self._finished:
            try:
                await asyncio.wait_for(self._ended.wait(), wait)
            except TimeoutError:
                pass
        return 200, {
            "clock_ms": self.clock_ms,
            "born": self.born,
            "running": [
                [task, run["run"], "", self._percent(run), 0] for task, run in self.running.items()
            ],
            "finished": [end for end in self._finished if end[0] > last_seen][:500],
        }

    def _percent(self, run: dict[str, Any]) -> int:
        if run["since"] is None:
            return 0
        if not run["how"]:
            return 100
        share = (time.monotonic() - run["since"]) / max(run["seconds"], 0.001)
        return min(99, int(100 * share))


class Site:
    """A small deployment: the store, workers, and nodes as separate processes.

    :param folder: folder of the case, which gets ``record.txt``.
    :param nodes: number of nodes.
    :param workers: number of workers, dealt to the zones in turn.
    """

    def __init__(self, folder: Path, nodes: int, workers: int):
        self.record = Record(folder / "record.txt")
        self.store = Store(self.record)
        self.gangs = Gangs()
        self.work: Callable[[str, int], tuple[float, str]] = lambda task, run: (1.0, "done")
        self.specs: dict[str, str] = {}
        self._network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.workers = {
            f"i-{number}": Worker(
                f"i-{number}",
                ZONES[number % len(ZONES)],
                self.store,
                self.record,
                self.gangs,
                lambda task, run: self.work(task, run),
            )
            for number in range(workers)
        }
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._node_names = [f"node-{number}" for number in range(nodes)]
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._store_run: asyncio.Task[None] | None = None
        self._version = 0

    async def __aenter__(self) -> Site:
        """Start the store, the workers and the nodes, and wait until all nodes are ready."""
        try:
            await self._start_all()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start_all(self) -> None:
        self._store_run = asyncio.create_task(self.store.run())
        self.configure()
        for number, worker in enumerate(self.workers.values()):
            await worker.start(f"{self._network}.{100 + number}:0")
        for node in self._node_names:
            await self.start_node(node)
        for node in self._node_names:
            await self.wait_for(lambda node=node: self._is_ready(node), 20, f"{node} is ready")
        await self.wait_for(self._has_owner, 20, "the cell has an owner")
        await asyncio.sleep(3)

    async def __aexit__(self, *error: object) -> None:
        """End all processes that were started."""
        for node in list(self.processes):
            self.kill(node)
        for worker in self.workers.values():
            await worker.crash()
        self._store_run.cancel()
        shutil.rmtree(self._folder, ignore_errors=True)
        self.record("everything that was started has ended")

    def ip(self, node: str) -> str:
        """Return the loopback address of a node."""
        return f"{self._network}.{10 + self._node_names.index(node)}"

    async def start_node(self, node: str) -> None:
        """Start the program of the deploy file with the settings template rendered for a node."""
        ip = self.ip(node)
        server = await self.store.listen(f"{ip}:0", node)
        fields = {
            "node_name": node,
            "ip": ip,
            "zone": ZONES[self._node_names.index(node) % len(ZONES)],
            "region": "region-1",
            "port_range": [7000, 7015],
            "listen": {"frontend": f"{ip}:8521", "readiness": f"{ip}:8523"},
            "limits": {"cpu_share": 0.537, "cores": 2, "link_mbps": 1000.0},
            "platform": {"address": server.address},
            "bounds": BOUNDS,
        }
        path = self._folder / f"{node}.yaml"
        path.write_text(render((ROOT / "deploy/settings.yaml").read_text(), fields))
        deploy = (ROOT / "deploy/system.toml").read_text()
        command = re.search(r'^run = "(.*)"$', deploy, re.MULTILINE).group(1).split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._folder),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "MIMOSAPOINT_CONFIG": str(path),
        }
        with (self._folder / f"{node}.log").open("ab") as log:
            self.processes[node] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record(f"{node} is started: {' '.join(command)}")

    def kill(self, node: str) -> None:
        """End the process of a node by SIGKILL."""
        process = self.processes.pop(node)
        process.kill()
        process.wait()
        self.record(f"{node} was killed")

    async def restart(self, node: str) -> None:
        """Stop a node by SIGTERM, as planned, and start it again."""
        process = self.processes.pop(node)
        process.terminate()
        self.record(f"{node} gets SIGTERM")
        ends_at = time.monotonic() + BOUNDS["grace_s"]
        while process.poll() is None and time.monotonic() < ends_at:
            await asyncio.sleep(0.05)
        process.kill()
        process.wait()
        self.record(f"{node} has ended")
        await self.start_node(node)

    def log_lines(self, event: str) -> list[str]:
        """Return the lines of the nodes' logs with an event."""
        lines = []
        for path in sorted(self._folder.glob("*.log")):
            text = path.read_text(errors="replace")
            lines += [f"{path.stem}: {line}" for line in text.splitlines() if event in line]
        return lines

    def configure(self, max_attempts: int = 3) -> None:
        """Write a configuration with one queue, whose jobs are not urgent."""
        self._version += 3
        route = {
            "name": "r-1",
            "host": HOST,
            "prefix": "/q1/",
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "target_completion_ms": 1000,
            "priority": 1,
            "service": POOL,
            "max_attempts": max_attempts,
            "slack_factor": 3.0,
            "public": False,
        }
        content = {
            "version": self._version,
            "routes": [route],
            "services": [{"name": POOL}],
            "tenants": [{"name": "tenant-1", "api_keys": ["key-1"]}],
            "limits": {"max_body_bytes": 262_144, "max_header_bytes": 16_384},
        }
        self.store.put("op/config", json.dumps(content).encode())
        self.record(f"operator writes configuration {self._version}")

    async def call(self, node: str, method: str, job: str, body: Any = None) -> tuple[int, Any]:
        """Send a caller's request to a node and return status and body; 0 for no answer."""
        try:
            status, reply = await asyncio.wait_for(
                request(f"{self.ip(node)}:8521", method, f"/q1/{job}", body), 4
            )
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            status, reply = 0, None
        self.record(f"caller: {method} {job} at {node}: {status} {json.dumps(reply)}")
        return status, reply

    async def submit(self, node: str, steps: list[dict[str, Any]], **fields: Any) -> str:
        """Hand in a job, with the same id again while it is not accepted, and return the id."""
        job = f"{random.getrandbits(64):016x}"
        body = {"spec": f"spec of {job}", "steps": steps, **fields}
        for number, step in enumerate(steps):
            if step.get("gang"):
                self.gangs.sizes[f"{job}.0.{number}"] = step["count"]
        for _ in range(10):
            status, _ = await self.call(node, "POST", job, body)
            if status == 200:
                return job
            await asyncio.sleep(1)
        raise CaseError("no node accepts a job")

    async def state(self, node: str, job: str) -> str:
        """Return the state of a job, or its status code if it is not 200."""
        status, reply = await self.call(node, "GET", job)
        return reply["state"] if status == 200 else str(status)

    async def wait_state(self, node: str, job: str, states: set[str], seconds: float) -> str:
        """Wait until a job has one of the states, and return the last one seen."""
        ends_at = time.monotonic() + seconds
        state = await self.state(node, job)
        while state not in states and time.monotonic() < ends_at:
            await asyncio.sleep(0.5)
            state = await self.state(node, job)
        return state

    async def wait_for(self, condition: Callable[[], Any], seconds: float, what: str) -> None:
        """Wait until a condition holds.

        :raises CaseError: it does not hold in time.
        """
        ends_at = time.monotonic() + seconds
        while True:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return
            if time.monotonic() > ends_at:
                raise CaseError(f"not within {seconds} s: {what}")
            await asyncio.sleep(0.05)

    def on(self, task: str) -> list[Worker]:
        """Return the workers that run a task."""
        return [worker for worker in self.workers.values() if task in worker.running]

    def owner(self) -> str:
        """Return the node in the owner's entry; empty for none."""
        item = self.store.items.get("cell/owner")
        return json.loads(base64.b64decode(item["value"]))["node"] if item else ""

    def _has_owner(self) -> bool:
        return bool(self.owner())

    async def _is_ready(self, node: str) -> bool:
        try:
            status, _ = await request(f"{self.ip(node)}:8523", "GET", "/mimosapoint/readyz", None)
        except (OSError, asyncio.IncompleteReadError):
            return False
        return status == 200


class CaseError(Exception):
    """The case could not run."""


async def request(address: str, method: str, path: str, body: Any) -> tuple[int, Any]:
    """Send one request on a connection of its own."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = json.dumps(body).encode() if body is not None else b""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer key-1\r\n"
            f"Deadline-Ms: 3000\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        writer.write(head.encode() + data)
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
        headers = {name.strip().lower(): value.strip() for name, value in pairs}
        content = await reader.readexactly(int(headers.get("content-length", 0)))
        return int(lines[0].split(" ")[1]), json.loads(content) if content else None
    finally:
        writer.close()


def render(template: str, fields: dict[str, Any]) -> str:
    """Render the placeholders of a settings template."""

    def value_of(match: re.Match[str]) -> str:
        value: Any = fields
        for name in match.group(1).split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return json.dumps(value) if match.group(2) else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value_of, template)


def main(case: Callable[[Path, bool], Awaitable[bool]], script: str) -> None:
    """Run a case; exit with 0 if the rule held, 1 if it was broken, 2 if the case could not run.

    :param case: gets its folder and whether to cause the disruption; returns whether the rule held.
    :param script: path of the script, whose folder is that of the case.
    """
    # An exception, so that the processes that were started are ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    folder = Path(script).resolve().parent
    with_trouble = sys.argv[1:] != ["calm"]  # as run.sh sets it for TROUBLE=0
    try:
        held = asyncio.run(asyncio.wait_for(case(folder, with_trouble), 115))
    except (CaseError, TimeoutError, OSError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
