"""Port to the workers."""

from typing import Protocol

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

__all__ = ["Workers"]


class Workers(Protocol):
    """Commands to workers, each named by its ``IP:port`` address.

    Every call may raise :class:`~mimosapoint.errors.WorkerUnreachable` (it may have had its
    effect), :class:`~mimosapoint.errors.StaleEpoch` (a newer owner holds the worker) or
    :class:`~mimosapoint.errors.WorkerRefused` (no effect).
    """

    async def lease(self, address: str, request: LeaseRequest) -> WorkerReport:
        """Take or renew the lease; an epoch above the known one takes the worker over."""
        ...

    async def reserve(self, address: str, request: ReserveRequest) -> WorkerReport:
        """Reserve room for tasks, all of them or none."""
        ...

    async def start(self, address: str, request: StartRequest) -> WorkerReport:
        """Start reserved tasks."""
        ...

    async def stop(self, address: str, request: StopRequest) -> WorkerReport:
        """Stop tasks, release reservations and bar unknown tasks from starting."""
        ...

    async def throttle(self, address: str, request: ThrottleRequest) -> WorkerReport:
        """Limit the share of resources that tasks get."""
        ...

    async def collect(self, address: str, request: CollectRequest) -> tuple[TaskOutput, ...]:
        """Return the output of ended tasks; unknown ones are left out."""
        ...

    async def acknowledge(self, address: str, request: CollectRequest) -> WorkerReport:
        """Let the worker drop the output of ended tasks."""
        ...
