"""Stand-ins of the platform for the scripts of the second review: store, workers and callers.

Only the standard library is used, so that there is nothing to build. The stand-ins follow the pages
of the platform: the store is linearizable and loses nothing, a worker has one clock for each of
its incarnations, guards no capacity and refuses a fencing token below the highest it has seen.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
PREFIX = "/mimosapoint/"

VALUE_BYTES = 1_048_576
"""Largest value of the store, as in the settings of a small deployment."""

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
HOLD_MAX_MS = 10_000
STOP_TIMEOUT_MS = 200
CHECKPOINT_MS = 2_000
ENDS_PER_REPLY = 500


def free_ports(count: int) -> list[int]:
    """Return ports that are free at present."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((HOST, 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


class Record:
    """Writes what was sent, answered and run, with the seconds since the start of the script.

    :param folder: folder of the case.
    """

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._began_at

    def write(self, what: str, **fields: object) -> None:
        """Write one line."""
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {what} {values}\n".rstrip(" \n") + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class JsonServer:
    """HTTP/1.1 server that answers each request by a coroutine of a subclass."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def respond(
        self, method: str, path: str, query: dict[str, str], headers: dict[str, str], body: dict
    ) -> tuple[int, dict] | None:
        """Return status and body; ``None`` to close the connection without an answer."""
        raise NotImplementedError

    async def listen(self, port: int) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve, HOST, port, backlog=1024)

    async def shut(self) -> None:
        """Stop listening and reset all connections, as a process that has crashed."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        request, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = request.split(" ", 2)
        headers = {}
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        content = await reader.readexactly(int(headers.get("content-length", 0)))
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = json.loads(content) if content else {}
        answer = await self.respond(method, url.path.removeprefix(PREFIX), query, headers, body)
        if answer is None:
            return False
        status, reply = answer
        data = json.dumps(reply).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
        await writer.drain()
        return True


class Store(JsonServer):
    """The platform's store."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.items_by_key: dict[str, dict] = {}
        self.too_large_calls = 0
        self._history: list[dict] = []
        self._lease_ends: dict[int, tuple[float, int]] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()

    def put(self, key: str, value: dict) -> None:
        """Write an entry on behalf of the operator or of a worker."""
        self.revision += 1
        self._write(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
        self._notify()

    def delete(self, key: str) -> None:
        """Remove an entry on behalf of the operator or of a worker."""
        self.revision += 1
        self._remove(key)
        self._notify()

    def read(self, key: str) -> dict | None:
        """Return the decoded value of an entry."""
        item = self.items_by_key.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    async def expire_leases(self) -> None:
        """Remove the keys of leases that have ended, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [each for each, (end, _) in self._lease_ends.items() if end <= now]:
                self._end_lease(lease)

    async def respond(self, method, path, query, headers, body):
        """Answer one call."""
        if path == "kv-key":
            item = self.items_by_key.get(query["key"])
            revision = {"at_rev": self.revision}
            return (200, item | revision) if item else (404, revision)
        if path == "kv-range":
            return 200, self._range(query["prefix"], query.get("after", ""))
        if path == "kv-watch":
            return await self._watch(query["prefix"], int(query["after"]), int(query["wait_ms"]))
        if path == "kv-txn":
            return self._transact(body)
        if path == "kv-lease":
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            ttl = max(1000, int(body["ttl_ms"]))
            self._lease_ends[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttl_ms": ttl}
        lease = int(path.rpartition("/")[2])
        if lease not in self._lease_ends:
            return 404, {}
        if path.startswith("kv-keep/"):
            ttl = self._lease_ends[lease][1]
            self._lease_ends[lease] = (time.monotonic() + ttl / 1000, ttl)
        else:
            self._end_lease(lease)
        return 200, {}

    def _range(self, prefix: str, after: str) -> dict:
        keys = sorted(key for key in self.items_by_key if key.startswith(prefix) and key > after)
        page, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            item = self.items_by_key[key]
            size += len(item["value"])
            if page and size > PAGE_BYTES:
                break
            page.append(item)
        return {"items": page, "has_more": len(page) < len(keys), "at_rev": self.revision}

    async def _watch(self, prefix: str, after: int, wait_ms: int) -> tuple[int, dict]:
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = []
            for event in reversed(self._history):
                if event["revision"] <= after:
                    break
                if event["key"].startswith(prefix):
                    events.append(event)
            remaining = until - time.monotonic()
            if events or remaining <= 0:
                return 200, {"events": events[::-1], "at_rev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                pass

    def _transact(self, body: dict) -> tuple[int, dict]:
        conditions, writes = body.get("expected_rev", []), body.get("set_keys", [])
        removals = body.get("remove", [])
        if len(conditions) + len(writes) + len(removals) > 32:
            return 400, {}
        if any(len(row["value"]) * 3 // 4 > VALUE_BYTES + 2 for row in writes):
            self.too_large_calls += 1
            return 400, {}
        found = {row["key"]: self.items_by_key.get(row["key"]) for row in conditions}
        if any(
            (found[row["key"]]["revision"] if found[row["key"]] else 0) != row["revision"]
            for row in conditions
        ):
            return 412, {"items": [item or {"key": key} for key, item in found.items()]}
        if any(row.get("lease") and row["lease"] not in self._lease_ends for row in writes):
            return 404, {}
        self.revision += 1
        for row in writes:
            self._write(row["key"], row["value"], row.get("lease") or 0)
        for key in removals:
            self._remove(key)
        self._notify()
        return 200, {"revision": self.revision}

    def _write(self, key: str, value: str, lease: int) -> None:
        old = self.items_by_key.get(key)
        created = old["created_rev"] if old else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "lease": lease}
        self.items_by_key[key] = item | {"created_rev": created}
        self._history.append(self.items_by_key[key])

    def _remove(self, key: str) -> None:
        if self.items_by_key.pop(key, None) is not None:
            self._history.append({"key": key, "revision": self.revision, "compacted": True})

    def _end_lease(self, lease: int) -> None:
        del self._lease_ends[lease]
        self.revision += 1
        for key in [key for key, item in self.items_by_key.items() if item["lease"] == lease]:
            self._remove(key)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class Worker(JsonServer):
    """A worker that runs tasks under a lease.

    :param name: id of the worker.
    :param site: the site.
    :param kind: kind of the worker, its first label.
    :param rack: rack of the worker, its second label.
    """

    def __init__(self, name: str, site: "Site", kind: str, rack: str):
        super().__init__()
        self.name, self.site, self.kind, self.rack = name, site, kind, rack
        self.port = site.take_port()
        self.capacity = {"cpu": 128_000, "mem_mb": 262_144, "gpu": 8}
        self.state = "ready"
        self.remaining_ms = 0
        self.is_up = False
        self.born = 0
        self._began_at = 0.0
        self._sequence = 0
        self._token = 0
        self._lease_until_ms = 0
        self._runs: dict[tuple[str, int], float] = {}
        self._ends: list[list] = []
        self._end_count = 0
        self._rejected_by_task: dict[str, int] = {}
        self._ended = asyncio.Event()

    def clock_ms(self) -> int:
        """Return the worker's steady clock, which begins anew with each incarnation."""
        return int((time.monotonic() - self._began_at) * 1000)

    async def start(self) -> None:
        """Begin an incarnation that runs nothing and knows nothing."""
        self.born = int(time.time() * 1000)
        self._began_at = time.monotonic()
        self._sequence = self._token = self._lease_until_ms = self._end_count = 0
        self._runs, self._ends, self._rejected_by_task = {}, [], {}
        await self.listen(self.port)
        self.is_up = True
        self.site.record.write("worker-up", worker=self.name, kind=self.kind, born=self.born)

    async def crash(self) -> None:
        """End the incarnation; everything that ran on it is lost."""
        self.is_up = False
        for task, run in list(self._runs):
            self.site.on_end(self, task, run, "lost")
        self._runs = {}
        self.site.record.write("worker-crashed", worker=self.name)
        await self.shut()

    def report(self) -> None:
        """Write the worker's entry to the store."""
        self._sequence += 1
        entry = {
            "service": self.site.service,
            "address": f"{HOST}:{self.port}",
            "zone": f"z{self.rack}",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self._sequence,
            "born": self.born,
            "clock_ms": self.clock_ms(),
            "capacity": self.capacity,
            "labels": [self.kind, self.rack],
        }
        if self.state == "draining":
            entry["remaining_ms"] = self.remaining_ms
        self.site.store.put(f"servers/{self.name}", entry)

    async def run_lease(self) -> None:
        """End all runs whenever the lease has expired, until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            if self.is_up and self.clock_ms() > self._lease_until_ms:
                for task, run in list(self._runs):
                    self._end(task, run, "lapsed")

    async def respond(self, method, path, query, headers, body):
        """Answer one call."""
        born = self.born
        if headers.get("expect-instance") != self.name:
            return 421, {"clock_ms": self.clock_ms(), "born": self.born}
        if body.get("fencing_token", 0) < self._token:
            return 409, {"clock_ms": self.clock_ms(), "born": self.born, "reason": "fence"}
        self._token = body.get("fencing_token", 0)
        if path == "hold":
            answer = await self._hold(body)
            return answer if born == self.born and self.is_up else None
        if path == "run-stop":
            self._stop(body["task"], body["run"])
            return 200, {"clock_ms": self.clock_ms(), "born": self.born}
        return self._start(body)

    async def _hold(self, body: dict) -> tuple[int, dict]:
        self._extend(body.get("deadline_ms", 0))
        self._ends = [end for end in self._ends if end[0] > body.get("last_seen", 0)]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self._ends and (remaining := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self._ended.wait(), remaining)
            except TimeoutError:
                pass
        now = time.monotonic()
        running = []
        for (task, run), began in self._runs.items():
            work, _ = self.site.plan_run(task)
            percent = min(100, int(100 * (now - began) / work)) if work else 100
            running.append([task, run, "", percent])
        ends = self._ends[:ENDS_PER_REPLY]
        reply = {"clock_ms": self.clock_ms(), "born": self.born}
        return 200, reply | {"running": running, "finished": ends}

    def _start(self, body: dict) -> tuple[int, dict]:
        task, run = body["task"], body["run"]
        reply = {"clock_ms": self.clock_ms(), "born": self.born}
        if (task, run) in self._runs:
            return 200, reply
        if run <= self._rejected_by_task.get(task, 0):
            self._extend(body["deadline_ms"])
            return 409, reply | {"reason": "old"}
        if body["deadline_ms"] < self.clock_ms():
            return 409, reply | {"reason": "late"}
        self._extend(body["deadline_ms"])
        self._runs[task, run] = time.monotonic()
        self.site.on_start(self, task, run, body["spec"])
        asyncio.get_running_loop().create_task(self._run(task, run, self.born))
        return 200, reply

    async def _run(self, task: str, run: int, born: int) -> None:
        seconds, end = self.site.plan_run(task)
        if seconds is None:
            return
        await asyncio.sleep(seconds)
        if born != self.born or (task, run) not in self._runs:
            return
        if end == "crash":
            self.site.spawn(self.site.crash_and_return(self))
        else:
            self._end(task, run, end)

    def _stop(self, task: str, run: int) -> None:
        self._rejected_by_task[task] = max(self._rejected_by_task.get(task, 0), run)

        def end() -> None:
            if (task, run) in self._runs:
                self._end(task, run, "stopped")

        asyncio.get_running_loop().call_later(STOP_TIMEOUT_MS / 2000, end)

    def _end(self, task: str, run: int, how: str) -> None:
        del self._runs[task, run]
        self._rejected_by_task[task] = max(self._rejected_by_task.get(task, 0), run)
        self._end_count += 1
        self._ends.append([self._end_count, task, run, how, ""])
        self.site.on_end(self, task, run, how)
        self._ended.set()
        self._ended = asyncio.Event()

    def _extend(self, deadline_ms: int) -> None:
        deadline_ms = min(deadline_ms, self.clock_ms() + HOLD_MAX_MS)
        self._lease_until_ms = max(self._lease_until_ms, deadline_ms)


class Site:
    """A small deployment: the store, workers, and nodes as separate processes.

    :param folder: folder of the case.
    :param nodes: number of nodes.
    """

    host = "jobs.example"
    prefix = "/queue/"
    service = "compositor"
    key = "key-1"
    down_seconds = 2.0
    heartbeat_seconds = 1.5

    def __init__(self, folder: Path, nodes: int = 3):
        self.record = Record(folder)
        self.store = Store()
        self.workers_by_name: dict[str, Worker] = {}
        self.starts: list[tuple[float, str, int, str, str]] = []
        self.ends: list[tuple[float, str, int, str, str]] = []
        self.processes: list[subprocess.Popen | None] = [None] * nodes
        self.callers_ports: list[int] = []
        self._ports = iter(free_ports(60 + 8 * nodes))
        self._store_port = next(self._ports)
        self._run_folder = tempfile.TemporaryDirectory()
        self._tasks: set[asyncio.Task] = set()

    def take_port(self) -> int:
        """Return a free port."""
        return next(self._ports)

    def spawn(self, coroutine) -> asyncio.Task:
        """Start a task that ends with the site."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        return task

    def plan_run(self, task: str) -> tuple[float | None, str]:
        """Return after how many seconds a run ends, and how; a case replaces this."""
        return 1.0, "done"

    def on_start(self, worker: Worker, task: str, run: int, spec: str) -> None:
        """Record the start of a run."""
        self.starts.append((self.record.now(), task, run, worker.name, worker.kind))
        self.record.write("run-start", task=task, run=run, worker=worker.name, kind=worker.kind)

    def on_end(self, worker: Worker, task: str, run: int, how: str) -> None:
        """Record the end of a run."""
        self.ends.append((self.record.now(), task, run, worker.name, how))
        self.record.write("run-end", task=task, run=run, worker=worker.name, how=how)

    async def start(self, workers: list[tuple[str, str]]) -> None:
        """Start the store, the workers and the nodes, and wait until all of them serve.

        :param workers: kind and rack of each worker.
        """
        await self.store.listen(self._store_port)
        self.spawn(self.store.expire_leases())
        self.publish()
        for number, (kind, rack) in enumerate(workers):
            await self.add_worker(f"w{number}", kind, rack)
        self.spawn(self._heartbeats())
        for number in range(len(self.processes)):
            self.start_node(number)
        until = time.monotonic() + 30
        for port in self.callers_ports:
            while (await self.call("GET", self.prefix, port=port))[0] != 200:
                if time.monotonic() > until:
                    raise RuntimeError("the nodes do not serve")
                await asyncio.sleep(0.1)
        while self.store.read("cell/owner") is None:
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)
        self.record.write("site-ready", owner=self.store.read("cell/owner")["node"])

    def publish(self) -> None:
        """Write the operator's configuration."""
        route = {"name": "queue", "host": self.host, "prefix": self.prefix, "priority": 1}
        route |= {"service": self.service, "max_attempts": 3, "slack_factor": 2}
        route |= {"target_completion_ms": 2000, "timeout_ms": 3000}
        tenant = {"name": "tenant-1", "api_keys": [self.key], "guaranteed": {"gpu": 8}}
        services = [{"name": self.service, "admission_check": False}]
        document = {"version": 1, "routes": [route], "services": services, "tenants": [tenant]}
        self.store.put("op/config", document | {"limits": {}})

    async def add_worker(self, name: str, kind: str, rack: str) -> Worker:
        """Start a worker that registers itself."""
        worker = self.workers_by_name[name] = Worker(name, self, kind, rack)
        await worker.start()
        worker.report()
        self.spawn(worker.run_lease())
        return worker

    async def crash_and_return(self, worker: Worker) -> None:
        """Let a worker crash and be back after some seconds, under its id."""
        await worker.crash()
        await asyncio.sleep(self.down_seconds)
        await worker.start()
        worker.report()

    def start_node(self, number: int) -> None:
        """Start the process of a node with the command of the deploy file."""
        folder = Path(self._run_folder.name)
        settings = folder / f"node-{number}.yaml"
        if not settings.exists():
            names = ("callers", "probe", "metrics", "nodes", "peers")
            ports = {name: self.take_port() for name in names}
            self.callers_ports.append(ports["callers"])
            settings.write_text(
                f"id: edge-z{number}-1\nzone: z{number}\nregion: r\n"
                + "".join(f"{name}_address: {HOST}:{port}\n" for name, port in ports.items())
                + f"store_address: {HOST}:{self._store_port}\n"
                "processor_share: 0.537\nprocessor_speed: 2\nlink_mbps: 1000.0\n"
                "decisions: {durations: learned, placement: steady, max_reserved_gangs: 16}\n"
                "crashes: {max_worker_crashes: 3}\n"
                "bounds: {configuration_ms: 2000, worker_lease_ms: 10000, shutdown_s: 6,\n"
                "  outage_ms: 5000, run_stop_ms: 200, gang_formation_ms: 3000, reclaim_ms: 2700,\n"
                "  retention_s: 120, checkpoint_interval_s: 2, restore_ms: 100}\n"
            )
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {"MIMOSAPOINT_CONFIG": str(settings)}
        environment |= {"PYTHONPATH": str(ROOT / "target/deps")}
        with (folder / f"node-{number}.log").open("ab") as log:
            self.processes[number] = subprocess.Popen(
                [sys.executable, "target/program/run.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.write("node-started", node=number)

    def signal_node(self, number: int, name: str) -> None:
        """Send a signal to the process of a node."""
        self.record.write("node-signal", node=number, signal=name)
        self.processes[number].send_signal(getattr(signal, name))

    def logs(self) -> str:
        """Return the logs of all nodes."""
        paths = sorted(Path(self._run_folder.name).glob("node-*.log"))
        return "".join(path.read_text(errors="replace") for path in paths)

    async def submit(self, job: str, steps: list[dict], **fields: object) -> int:
        """Submit a job, again after an answer that leaves it open, and return the last status."""
        body = {"spec": f"spec of {job}", "steps": steps} | fields
        for attempt in range(5):
            status, _ = await self.call("POST", self.prefix + job, body, attempt)
            if status not in (0, 502, 503, 504):
                break
            await asyncio.sleep(0.5)
        return status

    async def state(self, job: str, attempt: int = 0) -> str:
        """Return the state of a job that a node shows; empty if it shows none."""
        status, reply = await self.call("GET", self.prefix + job, None, attempt)
        return reply.get("state", "") if status == 200 else ""

    async def call(
        self, method: str, path: str, body: dict | None = None, attempt: int = 0, port: int = 0
    ) -> tuple[int, dict]:
        """Send a request to a node, and return status and reply; status 0 without an answer."""
        port = port or self.callers_ports[attempt % len(self.callers_ports)]
        content = json.dumps(body).encode() if body is not None else b""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\nAuthorization: Bearer {self.key}\r\n"
            f"Deadline-Ms: 3000\r\nContent-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        )
        status, reply = 0, {}
        try:
            async with asyncio.timeout(3.0):
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(head.encode() + content)
                data = await reader.read()
                writer.close()
            top, _, text = data.partition(b"\r\n\r\n")
            status = int(top.split(b" ")[1])
            reply = json.loads(text)
        except (OSError, TimeoutError, IndexError, ValueError):
            pass
        if method != "GET" or path != self.prefix:
            self.record.write("call", method=method, path=path, status=status, reply=reply)
        return status, reply

    async def _heartbeats(self) -> None:
        while True:
            await asyncio.sleep(self.heartbeat_seconds)
            for worker in self.workers_by_name.values():
                if worker.is_up:
                    worker.report()

    async def stop(self) -> None:
        """End every process that the site has started."""
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        for task in self._tasks:
            task.cancel()
        for worker in self.workers_by_name.values():
            await worker.shut()
        await self.store.shut()
        if keep := os.environ.get("KEEP_LOGS"):
            Path(keep).write_text(self.logs())
        self._run_folder.cleanup()
        self.record.close()


def play(scenario, site_type: type[Site], folder: str, nodes: int = 3) -> None:
    """Play a scenario and exit: 0 if the rule held, 1 if it was broken, 2 if it could not run.

    :param scenario: coroutine function of the site and of whether the disruption takes place; it
        returns why the rule is broken, or an empty text.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        site = site_type(Path(folder), nodes)
        try:
            async with asyncio.timeout(115):
                broken = await scenario(site, has_trouble)
        except Exception as error:
            site.record.write("could-not-run", error=repr(error))
            return 2
        finally:
            await site.stop()
        print(broken or "held")
        return 1 if broken else 0

    sys.exit(asyncio.run(run()))
