"""Commands to simulated workers in the same process."""

from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any

import trio

from mimosapoint.errors import WorkerRefused, WorkerUnreachable
from mimosapoint.memory.faults import FaultInjector
from mimosapoint.memory.worker import MemoryWorker
from mimosapoint.model import (
    CollectRequest,
    LeaseRequest,
    ReserveRequest,
    StartRequest,
    StopRequest,
    TaskOutput,
    ThrottleRequest,
    WorkerReport,
)

__all__ = ["MemoryWorkers"]

CALL_TIMEOUT = timedelta(seconds=2)
"""Time after which a command that waits on a fault fails."""


class MemoryWorkers:
    """Simulated workers by address, called directly.

    :param workers_by_address: the workers; the mapping may change while in use.
    :param timeout: time after which a command that waits on a fault fails.
    """

    def __init__(
        self, workers_by_address: Mapping[str, MemoryWorker], timeout: timedelta = CALL_TIMEOUT
    ):
        self.workers_by_address = workers_by_address
        self._timeout = timeout

    async def lease(self, address: str, request: LeaseRequest) -> WorkerReport:
        """Acquire or renew the lease, and wait for a change if the request asks to."""
        report = await self._call(address, MemoryWorker.lease, request)
        if request.wait > 0 and report.revision == request.seen:
            return await self._wait_changed(self.workers_by_address[address], request)
        return report

    async def reserve(self, address: str, request: ReserveRequest) -> WorkerReport:
        """Reserve capacity for all of the tasks or for none."""
        return await self._call(address, MemoryWorker.reserve, request)

    async def start(self, address: str, request: StartRequest) -> WorkerReport:
        """Start reserved tasks."""
        return await self._call(address, MemoryWorker.start, request)

    async def stop(self, address: str, request: StopRequest) -> WorkerReport:
        """Stop tasks, release reservations and prevent unknown tasks from starting."""
        return await self._call(address, MemoryWorker.stop, request)

    async def throttle(self, address: str, request: ThrottleRequest) -> WorkerReport:
        """Limit the share of resources that tasks get."""
        return await self._call(address, MemoryWorker.throttle, request)

    async def collect(self, address: str, request: CollectRequest) -> tuple[TaskOutput, ...]:
        """Return the output of ended tasks, without unknown tasks."""
        return await self._call(address, MemoryWorker.collect, request)

    async def acknowledge(self, address: str, request: CollectRequest) -> WorkerReport:
        """Acknowledge the output of ended tasks; the worker then drops them."""
        return await self._call(address, MemoryWorker.acknowledge, request)

    async def _wait_changed(self, worker: MemoryWorker, request: LeaseRequest) -> WorkerReport:
        until = worker.clock.now() + timedelta(seconds=request.wait)
        report = await worker.wait_changed(request.epoch, request.seen, until)
        fault_injector = self._fault_injector(worker)
        await fault_injector.before_effect()
        fault_injector.after_effect()
        return report

    async def _call(self, address: str, command: Callable[..., Any], request: Any) -> Any:
        await trio.lowlevel.checkpoint()
        worker = self.workers_by_address.get(address)
        if worker is None:
            raise WorkerUnreachable(f"no worker at {address}")
        fault_injector = self._fault_injector(worker)
        await fault_injector.before_effect()
        reply = command(worker, request)
        fault_injector.after_effect()
        return reply

    def _fault_injector(self, worker: MemoryWorker) -> FaultInjector:
        return FaultInjector(
            worker.faults, worker.clock, self._timeout, WorkerRefused, WorkerUnreachable
        )
