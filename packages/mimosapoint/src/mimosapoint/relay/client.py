"""The owner's side: orders go by way of the nodes that have joined, or straight to the workers."""

from collections import OrderedDict
from collections.abc import Callable
from math import ceil
from typing import Any
from zlib import crc32

import attrs
import trio

from mimosapoint.codec import to_value
from mimosapoint.errors import CodecError, WorkerRefused, WorkerUnreachable
from mimosapoint.ports import (
    RenewLeaseOrder,
    RunWorkers,
    StartOrder,
    StopOrder,
    Telemetry,
    WorkerRegistration,
    WorkerRunReport,
)
from mimosapoint.relay import _messages as rows
from mimosapoint.relay._framed_stream import FramedStream, Message
from mimosapoint.workload import AcceptedJob

__all__ = ["RelayedWorkers"]

WORKERS_PER_RELAY = 16
"""Workers for which one more node carries orders; more nodes would make the batches smaller."""

SPARE_RELAYS = 1
"""Nodes that stand by, beyond those that are needed; each costs a heartbeat both ways."""

DIRECT_FALLBACK_SECONDS = 5.0
"""Time for which orders go straight to a worker that its carrier did not reach."""


@attrs.define(eq=False)
class _PendingOrder:
    """An order without an answer."""

    answered: trio.Event = attrs.field(factory=trio.Event)
    row: Message | None = None


class _RelayConnection:
    """A node that carries orders.

    :param stream: stream to the node.
    """

    def __init__(self, stream: trio.abc.Stream):
        self.duplex = FramedStream(stream)
        self._numbers = 0
        self._waiters_by_number: dict[int, _PendingOrder] = {}
        self._sent_jobs: OrderedDict[str, None] = OrderedDict()

    async def run(self) -> str:
        """Hand answers over until the node is gone; return why it ended."""
        try:
            return await self.duplex.run(self._handle_answer)
        finally:
            for waiter in self._waiters_by_number.values():
                waiter.answered.set()

    async def send_order(
        self, encode: Callable[..., Message], worker: WorkerRegistration, order: object
    ) -> Message:
        """Send an order and return its answer.

        :raises WorkerUnreachable: the node is gone; the order may have had its effect.
        """
        self._numbers += 1
        number, waiter = self._numbers, _PendingOrder()
        self._waiters_by_number[number] = waiter
        try:
            self.duplex.send(encode(number, worker, order))
            await waiter.answered.wait()
        finally:
            del self._waiters_by_number[number]
        if waiter.row is None:
            raise WorkerUnreachable("the node that carries the order is gone")
        if waiter.row[1] == rows.ERROR:
            raise rows.decode_error(waiter.row)
        return waiter.row

    def send_job(self, job: AcceptedJob) -> None:
        """Send a job unless the node remembers it."""
        if job.id in self._sent_jobs:
            self._sent_jobs.move_to_end(job.id)
            return
        self.duplex.send([rows.JOB, to_value(job)])
        self._sent_jobs[job.id] = None
        if len(self._sent_jobs) > rows.JOB_CACHE_SIZE:
            self._sent_jobs.popitem(last=False)

    def _handle_answer(self, row: Message) -> None:
        waiter = self._waiters_by_number.get(row[0]) if row else None
        if waiter is not None:
            waiter.row = row
            waiter.answered.set()


class RelayedWorkers:
    """Orders to workers by way of the nodes that have joined.

    An order whose carrier does not reach the worker fails as if the owner had not; the next ones
    go straight to the worker for a while.

    :param direct: how this node reaches the workers.
    :param telemetry: told of nodes that join and leave.
    """

    def __init__(self, direct: RunWorkers, telemetry: Telemetry):
        self._direct = direct
        self._telemetry = telemetry
        self._channels: list[_RelayConnection] = []
        self._workers: set[str] = set()
        self._direct_until_by_worker: dict[str, float] = {}

    async def accept(self, stream: trio.abc.Stream) -> None:
        """Use a node that has joined until it is gone; return at once when there are enough."""
        if len(self._channels) >= self._needed_relays() + SPARE_RELAYS:
            return
        channel = _RelayConnection(stream)
        self._channels.append(channel)
        self._telemetry.event("carrier-joined", carriers=len(self._channels))
        reason = "cancelled"
        try:
            reason = await channel.run()
        finally:
            self._channels.remove(channel)
            self._telemetry.event("carrier-gone", carriers=len(self._channels), reason=reason)

    async def renew_lease(
        self, worker: WorkerRegistration, order: RenewLeaseOrder
    ) -> WorkerRunReport:
        """Renew the lease and return what runs and what ended."""
        channel = self._connection_for(worker)
        if channel is None:
            return await self._direct.renew_lease(worker, order)
        row = await self._send_via(channel, rows.encode_renewal, worker, order)
        return self._parse_answer(rows.decode_run_report, row)

    async def start(self, worker: WorkerRegistration, order: StartOrder) -> int:
        """Start a run and return the worker's clock in milliseconds."""
        channel = self._connection_for(worker)
        if channel is None:
            return await self._direct.start(worker, order)
        channel.send_job(order.job)
        row = await self._send_via(channel, rows.encode_start, worker, order)
        return self._parse_answer(lambda answer: int(answer[2]), row)

    async def stop(self, worker: WorkerRegistration, order: StopOrder) -> None:
        """Stop a run."""
        channel = self._connection_for(worker)
        if channel is None:
            await self._direct.stop(worker, order)
        else:
            await self._send_via(channel, rows.encode_stop, worker, order)

    def _connection_for(self, worker: WorkerRegistration) -> _RelayConnection | None:
        """Return the node that carries orders to the worker; ``None`` to go straight there."""
        self._workers.add(worker.id)
        if self._direct_until_by_worker.get(worker.id, 0.0) > trio.current_time():
            return None
        used = self._channels[: self._needed_relays()]
        return used[crc32(worker.id.encode()) % len(used)] if used else None

    def _needed_relays(self) -> int:
        """Return the number of nodes that the workers need, at least one."""
        return max(1, ceil(len(self._workers) / WORKERS_PER_RELAY))

    async def _send_via(
        self,
        channel: _RelayConnection,
        make: Callable[..., Message],
        worker: WorkerRegistration,
        order: RenewLeaseOrder | StartOrder | StopOrder,
    ) -> Message:
        try:
            return await channel.send_order(make, worker, order)
        except (WorkerUnreachable, WorkerRefused):
            self._direct_until_by_worker[worker.id] = trio.current_time() + DIRECT_FALLBACK_SECONDS
            raise

    def _parse_answer(self, parse: Callable[[Message], Any], row: Message) -> Any:
        """Return what an answer says.

        :raises WorkerUnreachable: it cannot be read, so the order's effect is open.
        """
        try:
            return parse(row)
        except (CodecError, IndexError, TypeError, ValueError) as error:
            raise WorkerUnreachable(f"unusable answer of a carrier: {error!r}") from error
