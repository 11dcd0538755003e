"""Client of workers over HTTP."""

from datetime import timedelta
from typing import Any

import attrs
from mimosapoint.codec import encode
from mimosapoint.errors import StaleEpoch, WorkerRefused, WorkerUnreachable
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
from mimosapoint.platform import Outputs
from mimosapoint.ports import Telemetry

from mimosapoint_node.platform._client import (
    CALL_TIMEOUT,
    CONNECT_TIMEOUT,
    HttpClient,
    Reply,
    make_path,
)

__all__ = ["HttpWorkers"]

KNOWN_ERRORS = frozenset({StaleEpoch, WorkerRefused})

CONNECTIONS = 4
"""Largest number of connections to each worker."""


class HttpWorkers:
    """Workers at HTTP addresses.

    :param telemetry: counts every command by kind as ``worker_calls_total``.
    :param timeout: timeout of a command, in addition to the wait of a lease request.
    :param connect_timeout: timeout for opening a connection.
    :param connections: largest number of connections to each worker.
    """

    def __init__(
        self,
        telemetry: Telemetry,
        timeout: timedelta = CALL_TIMEOUT,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
        connections: int = CONNECTIONS,
    ):
        self._telemetry = telemetry
        self._client = HttpClient(
            WorkerUnreachable,
            WorkerUnreachable,
            KNOWN_ERRORS,
            timeout,
            connect_timeout,
            connections,
        )

    async def lease(self, address: str, request: LeaseRequest) -> WorkerReport:
        """Acquire or renew the lease of a worker."""
        wait = timedelta(seconds=request.wait)
        return await self._command(address, "lease", request, wait)

    async def reserve(self, address: str, request: ReserveRequest) -> WorkerReport:
        """Reserve capacity for all tasks or none, within a span if a task has a trace."""
        trace = next((spec.trace for spec in request.tasks if spec.trace), None)
        if trace is None:
            return await self._command(address, "reserve", request)
        with self._telemetry.span("worker-reserve", trace) as span:
            span.set("worker", address)
            specs = tuple(attrs.evolve(spec, trace=span.context) for spec in request.tasks)
            return await self._command(address, "reserve", attrs.evolve(request, tasks=specs))

    async def start(self, address: str, request: StartRequest) -> WorkerReport:
        """Start reserved tasks."""
        return await self._command(address, "start", request)

    async def stop(self, address: str, request: StopRequest) -> WorkerReport:
        """Stop tasks, release task reservations and prevent later starts of unknown tasks."""
        return await self._command(address, "stop", request)

    async def throttle(self, address: str, request: ThrottleRequest) -> WorkerReport:
        """Limit the share of their resources that tasks may use."""
        return await self._command(address, "throttle", request)

    async def collect(self, address: str, request: CollectRequest) -> tuple[TaskOutput, ...]:
        """Return the output of ended tasks."""
        reply = await self._send(address, "collect", request)
        return self._client.decode_body(reply, Outputs).outputs

    async def acknowledge(self, address: str, request: CollectRequest) -> WorkerReport:
        """Acknowledge the output of ended tasks, which the worker may then drop."""
        return await self._command(address, "acknowledge", request)

    async def close(self) -> None:
        """Close all idle connections."""
        await self._client.close()

    async def _command(
        self, address: str, name: str, request: Any, wait: timedelta = timedelta()
    ) -> WorkerReport:
        reply = await self._send(address, name, request, wait)
        return self._client.decode_body(reply, WorkerReport)

    async def _send(
        self, address: str, name: str, request: Any, wait: timedelta = timedelta()
    ) -> Reply:
        self._telemetry.count("worker_calls_total", kind=name)
        data = encode(request)
        return await self._client.call("POST", address, make_path(name), data, extra_time=wait)
