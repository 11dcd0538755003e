"""Commands to workers over HTTP."""

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
"""Number of connections to each worker at most."""


class HttpWorkers:
    """Workers behind HTTP addresses.

    :param telemetry: counts every command by kind as ``worker_calls_total``.
    :param timeout: time that a command may take.
    :param connect_timeout: time that a new connection may take.
    :param connections: number of connections to each worker at most.
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
        """Take or renew the lease."""
        wait = timedelta(seconds=request.wait)
        return await self._command(address, "lease", request, wait)

    async def reserve(self, address: str, request: ReserveRequest) -> WorkerReport:
        """Reserve room for tasks, all of them or none; a hop of the request's trace."""
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
        """Stop tasks, release reservations and bar unknown tasks from starting."""
        return await self._command(address, "stop", request)

    async def throttle(self, address: str, request: ThrottleRequest) -> WorkerReport:
        """Limit the share of resources that tasks get."""
        return await self._command(address, "throttle", request)

    async def collect(self, address: str, request: CollectRequest) -> tuple[TaskOutput, ...]:
        """Return the output of ended tasks."""
        reply = await self._send(address, "collect", request)
        return self._client.decode_body(reply, Outputs).outputs

    async def acknowledge(self, address: str, request: CollectRequest) -> WorkerReport:
        """Let the worker drop the output of ended tasks."""
        return await self._command(address, "acknowledge", request)

    async def close(self) -> None:
        """Close the connections."""
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
