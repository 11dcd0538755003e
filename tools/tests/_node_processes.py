"""Node processes on a stand-in of the store, and raw connections of callers to them."""

from __future__ import annotations

import os
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any

import httpcore
import orjson
import trio
from mimosapoint.memory import MemoryTransactionStore, TrioClock
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint_node.http import HttpLimits, serve

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform"))

from mimosapoint_platform.tests.standin import StandinFaults, store_app  # noqa: E402

from tools.soak.addresses import free_addresses  # noqa: E402
from tools.soak.configurations import (  # noqa: E402
    HOST,
    STABLE_KEY,
    STABLE_QUEUES,
    Configurations,
)

__all__ = [
    "READY_SECONDS",
    "NodeProcesses",
    "RawConnection",
    "open_node_processes",
    "request_bytes",
]

READY_PATH = "/mimosapoint/readyz"
READY_SECONDS = 30
"""Time within which a node process becomes ready."""

QUEUE = STABLE_QUEUES[0].name
JOB_BODY = orjson.dumps({"spec": "x", "steps": [{"count": 1, "cpu": 500, "mem_mb": 8}]})


class NodeProcesses:
    """Node processes and their store.

    :param folder: folder for settings and logs.
    :ivar store_delay: time in seconds before the store handles a read of a key or a transaction.
    """

    def __init__(self, folder: Path):
        self.store = MemoryTransactionStore(TrioClock())
        self.store_delay = 0.0
        self.addresses_by_node: dict[str, dict[str, str]] = {}
        self._folder = folder
        self._store_address = ""
        self._processes: list[trio.Process] = []
        self._processes_by_node: dict[str, trio.Process] = {}

    async def run_store(self, nursery: trio.Nursery) -> None:
        """Serve the store, with a configuration, until the nursery is cancelled."""
        Configurations(self.store).publish()
        stored = store_app(self.store, StandinFaults())

        async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
            if scope.get("path", "").endswith(("kv-key", "kv-txn")):
                await trio.sleep(self.store_delay)
            await stored(scope, receive, send)

        serving = partial(serve, app, "127.0.0.1:0", HttpLimits(), trio.Event(), MemoryTelemetry())
        self._store_address = await nursery.start(serving)

    def settings_path(self, node: str) -> Path:
        """Return the path of a node's settings file."""
        return self._folder / f"{node}.yaml"

    def log(self, node: str) -> str:
        """Return the log of a node."""
        return (self._folder / f"{node}.log").read_text()

    async def start(self, node: str) -> trio.Process:
        """Start the process of a node; it is not ready yet."""
        if node not in self.addresses_by_node:
            self.addresses_by_node[node] = free_addresses(len(self.addresses_by_node))
            self._write_settings(node)
        sources = [*ROOT.glob("packages/*/src"), ROOT / "platform"]
        environment = {
            **os.environ,
            "MIMOSAPOINT_CONFIG": str(self.settings_path(node)),
            "PYTHONPATH": os.pathsep.join(map(str, sources)),
        }
        command = [sys.executable, str(ROOT / "platform" / "run.py")]
        with (self._folder / f"{node}.log").open("ab") as log:
            process = await trio.lowlevel.open_process(
                command, stdout=log, stderr=log, env=environment
            )
        self._processes.append(process)
        self._processes_by_node[node] = process
        return process

    async def wait_ready(self, node: str) -> None:
        """Wait until the readiness probe of a node succeeds.

        :raises RuntimeError: its process has ended; with the log.
        """
        url = f"http://{self.addresses_by_node[node]['probe_address']}{READY_PATH}"
        with trio.fail_after(READY_SECONDS):
            while True:
                try:
                    async with httpcore.AsyncConnectionPool() as pool:
                        if (await pool.request("GET", url)).status == 200:
                            return
                except httpcore.NetworkError:
                    pass
                if self._processes_by_node[node].returncode is not None:
                    raise RuntimeError(f"{node} has ended: {self.log(node)}")
                await trio.sleep(0.02)

    async def connect(self, node: str, name: str = "callers_address") -> RawConnection:
        """Return a new connection to an address of a node."""
        host, _, port = self.addresses_by_node[node][name].rpartition(":")
        return RawConnection(await trio.open_tcp_stream(host, int(port)))

    async def stop(self) -> None:
        """Kill the processes that still run."""
        for process in self._processes:
            if process.returncode is None:
                process.kill()
                await process.wait()

    def _write_settings(self, node: str) -> None:
        addresses = self.addresses_by_node[node].items()
        self.settings_path(node).write_text(
            f"id: {node}\nzone: z\nregion: r\n"
            + "".join(f"{name}: {address}\n" for name, address in addresses)
            + f"store_address: {self._store_address}\nbounds: {{configuration_ms: 3000}}\n"
        )


class RawConnection:
    """Connection of a caller that sends bytes and reads whole replies."""

    def __init__(self, stream: trio.SocketStream):
        self.stream = stream
        self._received = b""

    async def reply(self) -> int | None:
        """Return the status of the next reply, or ``None`` if the connection ends before it."""
        while True:
            head, found, rest = self._received.partition(b"\r\n\r\n")
            fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
            length = int(fields.get(b"content-length", 0))
            if found and len(rest) >= length:
                self._received = rest[length:]
                return int(head.split()[1])
            try:
                data = await self.stream.receive_some()
            except trio.BrokenResourceError:
                return None
            if not data:
                return None
            self._received += data


@asynccontextmanager
async def open_node_processes() -> AsyncIterator[NodeProcesses]:
    """Yield processes, of which none is started yet, and kill them at the end."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            nodes = NodeProcesses(Path(folder))
            await nodes.run_store(nursery)
            try:
                yield nodes
            finally:
                with trio.CancelScope(shield=True):
                    await nodes.stop()
                nursery.cancel_scope.cancel()


def request_bytes(method: str, job: str, deadline_ms: int = 3000) -> bytes:
    """Return a request for a job, with the body of a submission if it is one."""
    body = JOB_BODY if method == "POST" else b""
    lines = (
        f"{method} /{QUEUE}/{job} HTTP/1.1",
        f"host: {HOST}",
        f"authorization: Bearer {STABLE_KEY}",
        f"deadline-ms: {deadline_ms}",
        f"content-length: {len(body)}",
    )
    return "\r\n".join((*lines, "", "")).encode() + body
