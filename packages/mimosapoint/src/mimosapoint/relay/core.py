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
    HoldOrder,
    Registration,
    RunWorkers,
    StartOrder,
    StopOrder,
    Telemetry,
    WorkerLists,
)
from mimosapoint.relay import _rows as rows
from mimosapoint.relay._duplex import Duplex, Row
from mimosapoint.workload import JobRecord

__all__ = ["Relay"]

WORKERS_PER_CARRIER = 16
"""Workers for which one more node carries orders; more nodes would make the batches smaller."""

SPARE_CARRIERS = 1
"""Nodes that stand by, beyond those that are needed; each costs a heartbeat both ways."""

DIRECT_SECONDS = 5.0
"""Time for which orders go straight to a worker that its carrier did not reach."""


@attrs.define(eq=False)
class _Waiter:
    """An order without an answer."""

    answered: trio.Event = attrs.field(factory=trio.Event)
    row: Row | None = None


class _Channel:
    """A node that carries orders.

    :param stream: stream to the node.
    """

    def __init__(self, stream: trio.abc.Stream):
        self.duplex = Duplex(stream)
        self._numbers = 0
        self._waiters_by_number: dict[int, _Waiter] = {}
        self._told_jobs: OrderedDict[str, None] = OrderedDict()

    async def run(self) -> str:
        """Hand answers over until the node is gone; return why it ended."""
        try:
            return await self.duplex.run(self._take)
        finally:
            for waiter in self._waiters_by_number.values():
                waiter.answered.set()

    async def order(self, make: Callable[..., Row], worker: Registration, order: object) -> Row:
        """Send an order and return its answer.

        :raises WorkerUnreachable: the node is gone; the order may have had its effect.
        """
        self._numbers += 1
        number, waiter = self._numbers, _Waiter()
        self._waiters_by_number[number] = waiter
        try:
            self.duplex.put(make(number, worker, order))
            await waiter.answered.wait()
        finally:
            del self._waiters_by_number[number]
        if waiter.row is None:
            raise WorkerUnreachable("the node that carries the order is gone")
        if waiter.row[1] == rows.ERROR:
            raise rows.error_of(waiter.row)
        return waiter.row

    def tell_job(self, job: JobRecord) -> None:
        """Send a job unless the node remembers it."""
        if job.id in self._told_jobs:
            self._told_jobs.move_to_end(job.id)
            return
        self.duplex.put([rows.JOB, to_value(job)])
        self._told_jobs[job.id] = None
        if len(self._told_jobs) > rows.JOBS_KEPT:
            self._told_jobs.popitem(last=False)

    def _take(self, row: Row) -> None:
        waiter = self._waiters_by_number.get(row[0]) if row else None
        if waiter is not None:
            waiter.row = row
            waiter.answered.set()


class Relay:
    """Orders to workers by way of the nodes that have joined.

    An order whose carrier does not reach the worker fails as if the owner had not; the next ones
    go straight to the worker for a while.

    :param direct: how this node reaches the workers.
    :param telemetry: told of nodes that join and leave.
    """

    def __init__(self, direct: RunWorkers, telemetry: Telemetry):
        self._direct = direct
        self._telemetry = telemetry
        self._channels: list[_Channel] = []
        self._workers: set[str] = set()
        self._direct_until_by_worker: dict[str, float] = {}

    async def accept(self, stream: trio.abc.Stream) -> None:
        """Use a node that has joined until it is gone; return at once when there are enough."""
        if len(self._channels) >= self._needed() + SPARE_CARRIERS:
            return
        channel = _Channel(stream)
        self._channels.append(channel)
        self._telemetry.event("carrier-joined", carriers=len(self._channels))
        reason = "cancelled"
        try:
            reason = await channel.run()
        finally:
            self._channels.remove(channel)
            self._telemetry.event("carrier-gone", carriers=len(self._channels), reason=reason)

    async def hold(self, worker: Registration, order: HoldOrder) -> WorkerLists:
        """Renew the lease and return what runs and what ended."""
        channel = self._channel_to(worker)
        if channel is None:
            return await self._direct.hold(worker, order)
        row = await self._by_way_of(channel, rows.hold_row, worker, order)
        return self._read(rows.lists_of, row)

    async def start(self, worker: Registration, order: StartOrder) -> int:
        """Start a run and return the worker's clock in milliseconds."""
        channel = self._channel_to(worker)
        if channel is None:
            return await self._direct.start(worker, order)
        channel.tell_job(order.job)
        row = await self._by_way_of(channel, rows.start_row, worker, order)
        return self._read(lambda answer: int(answer[2]), row)

    async def stop(self, worker: Registration, order: StopOrder) -> None:
        """Stop a run."""
        channel = self._channel_to(worker)
        if channel is None:
            await self._direct.stop(worker, order)
        else:
            await self._by_way_of(channel, rows.stop_row, worker, order)

    def _channel_to(self, worker: Registration) -> _Channel | None:
        """Return the node that carries orders to the worker; ``None`` to go straight there."""
        self._workers.add(worker.id)
        if self._direct_until_by_worker.get(worker.id, 0.0) > trio.current_time():
            return None
        used = self._channels[: self._needed()]
        return used[crc32(worker.id.encode()) % len(used)] if used else None

    def _needed(self) -> int:
        """Return the number of nodes that the workers need, at least one."""
        return max(1, ceil(len(self._workers) / WORKERS_PER_CARRIER))

    async def _by_way_of(
        self,
        channel: _Channel,
        make: Callable[..., Row],
        worker: Registration,
        order: HoldOrder | StartOrder | StopOrder,
    ) -> Row:
        try:
            return await channel.order(make, worker, order)
        except (WorkerUnreachable, WorkerRefused):
            self._direct_until_by_worker[worker.id] = trio.current_time() + DIRECT_SECONDS
            raise

    def _read(self, parse: Callable[[Row], Any], row: Row) -> Any:
        """Return what an answer says.

        :raises WorkerUnreachable: it cannot be read, so the order's effect is open.
        """
        try:
            return parse(row)
        except (CodecError, IndexError, TypeError, ValueError) as error:
            raise WorkerUnreachable(f"unusable answer of a carrier: {error!r}") from error
