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
    """Commands to workers, each identified by its ``IP:port`` address.

    Every call may raise :class:`~mimosapoint.errors.WorkerUnreachable` (unknown outcome:
    the command may have had its effect), :class:`~mimosapoint.errors.StaleEpoch` (an owner with a
    newer epoch holds the worker) or :class:`~mimosapoint.errors.WorkerRefused` (no effect).
    """

    async def lease(self, address: str, request: LeaseRequest) -> WorkerReport:
        """Acquire or renew the lease.

        An epoch above the worker's takes the lease from the previous holder.
        """
        ...

    async def reserve(self, address: str, request: ReserveRequest) -> WorkerReport:
        """Reserve capacity for all of the tasks or for none."""
        ...

    async def start(self, address: str, request: StartRequest) -> WorkerReport:
        """Start reserved tasks."""
        ...

    async def stop(self, address: str, request: StopRequest) -> WorkerReport:
        """Stop tasks, release reservations and prevent unknown tasks from starting."""
        ...

    async def throttle(self, address: str, request: ThrottleRequest) -> WorkerReport:
        """Limit the share of resources that tasks get."""
        ...

    async def collect(self, address: str, request: CollectRequest) -> tuple[TaskOutput, ...]:
        """Return the output of ended tasks, without unknown tasks."""
        ...

    async def acknowledge(self, address: str, request: CollectRequest) -> WorkerReport:
        """Acknowledge the output of ended tasks; the worker then drops them."""
        ...
