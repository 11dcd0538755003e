"""Owner side of the relay: sends orders through relay nodes, or directly to the workers."""

from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta
from math import ceil
from typing import Any
from zlib import crc32

import attrs
import trio

from mimosapoint.codec import to_value
from mimosapoint.errors import CodecError, MimosapointError, WorkerRefused, WorkerUnreachable
from mimosapoint.ports import (
    RenewLeaseOrder,
    RunWorkers,
    StartOrder,
    StopOrder,
    Telemetry,
    WorkerRegistration,
    WorkerRunReport,
)
from mimosapoint.relay import _messages as messages
from mimosapoint.relay._framed_stream import FramedStream, Message
from mimosapoint.workload import AcceptedJob

__all__ = ["RelayedWorkers"]

WORKERS_PER_RELAY = 16
"""Workers for each relay node in use; more relay nodes would make the batches smaller."""

MAX_RELAYS = 48
"""Most relay nodes in use, for the same reason."""

SPARE_RELAYS = 1
"""Connected relay nodes beyond those in use; each costs heartbeats in both directions."""

IDLE_WORKER_SECONDS = 60.0
"""Time without orders after which a worker is forgotten; present workers get one every 2 s."""

REPLY_TIMEOUT_SECONDS = 2.0
"""Time for the reply of a relay node, in addition to that for which the worker may wait: two and a
half times that of a call to a worker. The session of a worker waits for each of its renewals."""

DIRECT_FALLBACK_SECONDS = 5.0
"""Time for which orders go directly to a worker after one failed through its relay node."""


@attrs.define(eq=False)
class _PendingOrder:
    """An order that has no reply yet; completed without one when the connection ends."""

    completed: trio.Event = attrs.field(factory=trio.Event)
    reply: Message | None = None


class _RelayConnection:
    """Connection to a relay node.

    :param stream: stream to the relay node.
    """

    def __init__(self, stream: trio.abc.Stream):
        self.framed_stream = FramedStream(stream)
        self._last_number = 0
        self._pending_by_number: dict[int, _PendingOrder] = {}
        self._sent_jobs: OrderedDict[str, None] = OrderedDict()

    async def run(self) -> str:
        """Receive replies until the connection ends; return the reason."""
        try:
            return await self.framed_stream.run(self._handle_reply)
        finally:
            for pending in self._pending_by_number.values():
                pending.completed.set()

    async def send_order(
        self, encode: Callable[..., Message], worker: WorkerRegistration, order: object
    ) -> Message:
        """Send an order and return its reply.

        :raises WorkerUnreachable: the connection ended; the order may have had its effect.
        """
        self._last_number += 1
        number, pending = self._last_number, _PendingOrder()
        self._pending_by_number[number] = pending
        try:
            self.framed_stream.send(encode(number, worker, order))
            await pending.completed.wait()
        finally:
            del self._pending_by_number[number]
        if pending.reply is None:
            raise WorkerUnreachable("the connection to the relay node ended")
        return pending.reply

    def send_job(self, job: AcceptedJob) -> None:
        """Send a job unless the relay node has it in its cache."""
        if job.id in self._sent_jobs:
            self._sent_jobs.move_to_end(job.id)
            return
        self.framed_stream.send([messages.JOB, to_value(job)])
        self._sent_jobs[job.id] = None
        if len(self._sent_jobs) > messages.JOB_CACHE_SIZE:
            self._sent_jobs.popitem(last=False)

    def _handle_reply(self, reply: Message) -> None:
        number = reply[0] if reply else None
        pending = self._pending_by_number.get(number) if isinstance(number, int) else None
        if pending is not None:
            pending.reply = reply
            pending.completed.set()


class RelayedWorkers:
    """Sends orders to workers through the relay nodes that have joined.

    An order whose relay node does not reach the worker fails as a direct order would. After that,
    orders go directly to this worker for :data:`DIRECT_FALLBACK_SECONDS`.

    :param direct: connection of this node to the workers.
    :param telemetry: receives an event when a relay node joins or leaves.
    :param direct_workers: number of workers up to which no relay node is used.
    """

    def __init__(self, direct: RunWorkers, telemetry: Telemetry, direct_workers: int = 0):
        self._direct = direct
        self._telemetry = telemetry
        self._direct_workers = direct_workers
        self._connections: list[_RelayConnection] = []
        self._last_order_by_worker: OrderedDict[str, float] = OrderedDict()
        self._direct_until_by_worker: dict[str, float] = {}

    async def accept(self, stream: trio.abc.Stream) -> None:
        """Use a joining relay node until it disconnects; return immediately if there are enough."""
        if len(self._connections) >= self.needed_relays() + SPARE_RELAYS:
            return
        connection = _RelayConnection(stream)
        self._connections.append(connection)
        self._telemetry.event("carrier-joined", carriers=len(self._connections))
        reason = "cancelled"
        try:
            reason = await connection.run()
        finally:
            self._connections.remove(connection)
            self._telemetry.event("carrier-gone", carriers=len(self._connections), reason=reason)

    async def renew_lease(
        self, worker: WorkerRegistration, order: RenewLeaseOrder
    ) -> WorkerRunReport:
        """Renew the lease and return what runs and what ended."""
        connection = self._connection_for(worker)
        if connection is None:
            return await self._direct.renew_lease(worker, order)
        reply = await self._send_via(connection, messages.encode_renewal, worker, order)
        return self._parse_reply(messages.decode_run_report, reply)

    async def start(self, worker: WorkerRegistration, order: StartOrder) -> int:
        """Start a run and return the worker's clock in milliseconds."""
        connection = self._connection_for(worker)
        if connection is None:
            return await self._direct.start(worker, order)
        connection.send_job(order.job)
        reply = await self._send_via(connection, messages.encode_start, worker, order)
        return self._parse_reply(messages.decode_clock, reply)

    async def stop(self, worker: WorkerRegistration, order: StopOrder) -> None:
        """Stop a run."""
        connection = self._connection_for(worker)
        if connection is None:
            await self._direct.stop(worker, order)
        else:
            await self._send_via(connection, messages.encode_stop, worker, order)

    def _connection_for(self, worker: WorkerRegistration) -> _RelayConnection | None:
        """Return the connection for orders to the worker; ``None`` to send them directly."""
        now = trio.current_time()
        self._record_order(worker.id, now)
        if self._direct_until_by_worker.get(worker.id, 0.0) > now:
            return None
        self._direct_until_by_worker.pop(worker.id, None)
        in_use = self._connections[: self.needed_relays()]
        return in_use[crc32(worker.id.encode()) % len(in_use)] if in_use else None

    def _record_order(self, worker: str, now: float) -> None:
        """Record an order, and forget workers that got none for :data:`IDLE_WORKER_SECONDS`."""
        self._last_order_by_worker[worker] = now
        self._last_order_by_worker.move_to_end(worker)
        oldest, last_order = next(iter(self._last_order_by_worker.items()))
        if now - last_order > IDLE_WORKER_SECONDS:
            del self._last_order_by_worker[oldest]
            self._direct_until_by_worker.pop(oldest, None)

    def needed_relays(self) -> int:
        """Return the number of relay nodes to use for the present workers."""
        workers = len(self._last_order_by_worker)
        if 0 < workers <= self._direct_workers:
            return 0
        return min(MAX_RELAYS, max(1, ceil(workers / WORKERS_PER_RELAY)))

    async def _send_via(
        self,
        connection: _RelayConnection,
        encode: Callable[..., Message],
        worker: WorkerRegistration,
        order: RenewLeaseOrder | StartOrder | StopOrder,
    ) -> Message:
        wait = order.wait + order.patience if isinstance(order, RenewLeaseOrder) else timedelta(0)
        reply = None
        try:
            with trio.move_on_after(REPLY_TIMEOUT_SECONDS + wait.total_seconds()):
                reply = await connection.send_order(encode, worker, order)
            if reply is None:
                raise WorkerUnreachable("no reply of the relay node")
            error = self._parse_reply(_error_in, reply)
            if error is not None:
                raise error
            return reply
        except (WorkerUnreachable, WorkerRefused):
            self._direct_until_by_worker[worker.id] = trio.current_time() + DIRECT_FALLBACK_SECONDS
            raise

    def _parse_reply(self, parse: Callable[[Message], Any], reply: Message) -> Any:
        """Return the parsed reply.

        :raises WorkerUnreachable: the reply is invalid, so the order's outcome is unknown.
        """
        try:
            return parse(reply)
        except (CodecError, *messages.DECODING_ERRORS) as error:
            raise WorkerUnreachable(f"unusable reply of a relay node: {error!r}") from error


def _error_in(reply: Message) -> MimosapointError | None:
    """Return the error in a reply, if it is one."""
    return messages.decode_error(reply) if reply[1] == messages.ERROR else None
