"""Orders to simulated workers, with network faults."""

from datetime import timedelta

import attrs
import trio

from mimosapoint.errors import (
    MimosapointError,
    WorkerNotListening,
    WorkerRefused,
    WorkerUnreachable,
)
from mimosapoint.memory.run_worker import MemoryRunWorker
from mimosapoint.ports import (
    RenewLeaseOrder,
    StartOrder,
    StartRefused,
    StopOrder,
    WorkerRegistration,
    WorkerReplaced,
    WorkerRunReport,
)

__all__ = ["NetworkFaults", "MemoryRunWorkers"]

DELAY_SECONDS = 0.002
"""Latency of a call."""

TIMEOUT_SECONDS = 0.8
"""Time after which a call without a reply fails."""


@attrs.define
class NetworkFaults:
    """Network faults between the owner and one worker.

    :param partitioned: calls do not reach the worker and get no reply.
    :param refused: calls are refused by the worker.
    :param not_listening: connections are refused, as no process listens at the address.
    :param reset: connections are reset before the worker receives a call.
    :param loses_replies: calls take effect but get no reply.
    :param start_delay: starts get no reply and take effect after this time.
    :param refuse_starts: starts are refused by the worker.
    :param wrong_incarnation: another incarnation of the worker replies.
    :param reply_delay: replies take this time longer; those of renewals that take longer than the
        caller waits do not arrive.
    :param lost_starts: number of the next starts that get no reply and have no effect.
    :param lost_renewals: number of the next renewals that get no reply and have no effect.
    :param lost_renewal_replies: number of the next renewals that take effect but get no reply.
    :param lost_start_replies: number of the next starts that take effect but get no reply.
    """

    partitioned: bool = False
    refused: bool = False
    not_listening: bool = False
    reset: bool = False
    loses_replies: bool = False
    start_delay: timedelta | None = None
    refuse_starts: bool = False
    wrong_incarnation: bool = False
    reply_delay: timedelta = timedelta()
    lost_starts: int = 0
    lost_renewals: int = 0
    lost_renewal_replies: int = 0
    lost_start_replies: int = 0


class MemoryRunWorkers:
    """Simulated workers of a cell by address.

    :param workers: the workers.
    """

    def __init__(self, *workers: MemoryRunWorker):
        self.workers_by_address = {worker.registration.address: worker for worker in workers}
        self.network_faults_by_address = {
            address: NetworkFaults() for address in self.workers_by_address
        }

    def add(self, worker: MemoryRunWorker) -> None:
        """Add a worker, without faults."""
        self.workers_by_address[worker.registration.address] = worker
        self.network_faults_by_address[worker.registration.address] = NetworkFaults()

    def add_at(self, address: str, worker: MemoryRunWorker) -> None:
        """Let a worker reply at a further address."""
        self.workers_by_address[address] = worker
        self.network_faults_by_address[address] = NetworkFaults()

    def move(self, worker: MemoryRunWorker, address: str) -> NetworkFaults:
        """Let a worker reply at another address only; its registration has to be published again.

        :return: the faults at the former address, at which nothing listens unless they say
            otherwise.
        """
        former_address = worker.registration.address
        del self.workers_by_address[former_address]
        self.add_at(address, worker)
        worker.registration = attrs.evolve(worker.registration, address=address)
        return self.network_faults_by_address[former_address]

    async def renew_lease(
        self, worker: WorkerRegistration, order: RenewLeaseOrder
    ) -> WorkerRunReport:
        """Renew the lease and return the run report."""
        faults = self.network_faults_by_address[worker.address]
        if faults.lost_renewals:
            faults.lost_renewals -= 1
            await trio.sleep(order.wait.total_seconds() + TIMEOUT_SECONDS)
            raise WorkerUnreachable("no reply")
        found = await self._connect(worker)
        report = await found.renew_lease(order)
        await self._delay_reply(faults, order)
        await self._lose_reply(faults)
        if faults.lost_renewal_replies:
            faults.lost_renewal_replies -= 1
            await trio.sleep(TIMEOUT_SECONDS)
            raise WorkerUnreachable("no reply")
        await self._connect(worker)
        return report

    async def start(self, worker: WorkerRegistration, order: StartOrder) -> int:
        """Start a run and return the worker's clock in milliseconds."""
        faults = self.network_faults_by_address[worker.address]
        if faults.start_delay is not None:
            trio.lowlevel.spawn_system_task(
                self._start_after_delay, worker, order, faults.start_delay
            )
            await trio.sleep(TIMEOUT_SECONDS)
            raise WorkerUnreachable("no reply")
        if faults.lost_starts:
            faults.lost_starts -= 1
            await trio.sleep(TIMEOUT_SECONDS)
            raise WorkerUnreachable("no reply")
        found = await self._connect(worker)
        if faults.refuse_starts:
            raise StartRefused("unhealthy")
        clock_ms = found.start(order)
        await self._lose_reply(faults)
        if faults.lost_start_replies:
            faults.lost_start_replies -= 1
            await trio.sleep(TIMEOUT_SECONDS)
            raise WorkerUnreachable("no reply")
        return clock_ms

    async def stop(self, worker: WorkerRegistration, order: StopOrder) -> None:
        """Stop a run."""
        (await self._connect(worker)).stop(order)
        await self._lose_reply(self.network_faults_by_address[worker.address])

    async def _lose_reply(self, faults: NetworkFaults) -> None:
        if faults.loses_replies:
            await trio.sleep(TIMEOUT_SECONDS)
            raise WorkerUnreachable("no reply")

    async def _delay_reply(self, faults: NetworkFaults, order: RenewLeaseOrder) -> None:
        timeout = timedelta(seconds=TIMEOUT_SECONDS) + order.patience
        await trio.sleep(min(faults.reply_delay, timeout).total_seconds())
        if faults.reply_delay > timeout:
            raise WorkerUnreachable("no reply")

    async def _start_after_delay(
        self, worker: WorkerRegistration, order: StartOrder, delay: timedelta
    ) -> None:
        await trio.sleep(delay.total_seconds())
        found = self.workers_by_address.get(worker.address)
        if found is None or found.is_down:
            return
        try:
            found.start(order)
        except MimosapointError:
            return

    async def _connect(self, worker: WorkerRegistration) -> MemoryRunWorker:
        await trio.sleep(DELAY_SECONDS)
        faults = self.network_faults_by_address[worker.address]
        if faults.refused:
            raise WorkerRefused("refused")
        if faults.not_listening:
            raise WorkerNotListening("connection refused")
        if faults.reset:
            raise WorkerUnreachable("connection reset")
        if faults.partitioned:
            await trio.sleep(TIMEOUT_SECONDS)
            raise WorkerUnreachable("no reply")
        if faults.wrong_incarnation:
            raise WorkerReplaced("another incarnation replies")
        found = self.workers_by_address.get(worker.address)
        if found is None:
            raise WorkerNotListening("connection refused")
        if found.is_down:
            raise WorkerUnreachable("connection reset")
        return found
