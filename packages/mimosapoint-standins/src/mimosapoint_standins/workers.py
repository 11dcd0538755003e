"""HTTP interface of workers, backed by in-memory workers."""

from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any

import attrs
from mimosapoint.errors import WorkerUnreachable
from mimosapoint.memory import Faults, MemoryWorker, MemoryWorkers, TaskEvent
from mimosapoint.model import (
    CollectRequest,
    LeaseRequest,
    ReserveRequest,
    StartRequest,
    StopRequest,
    ThrottleRequest,
)
from mimosapoint.platform import Outputs

from mimosapoint_standins.faults import add_fault_routes
from mimosapoint_standins.router import Request, Response, Router, json_response

__all__ = ["TaskHistory", "workers_app"]

CALL_TIMEOUT = timedelta(minutes=10)
"""Longest time that a fault delays a call; callers have their own timeouts."""

REQUESTS_BY_COMMAND = {
    "lease": LeaseRequest,
    "reserve": ReserveRequest,
    "start": StartRequest,
    "stop": StopRequest,
    "throttle": ThrottleRequest,
    "acknowledge": CollectRequest,
}


@attrs.frozen
class TaskHistory:
    """Events of the tasks of a worker, oldest first."""

    events: tuple[TaskEvent, ...]


def workers_app(workers_by_address: Mapping[str, MemoryWorker]) -> Router:
    """Return the ASGI application of many workers; the server address selects the worker."""
    workers = MemoryWorkers(workers_by_address, CALL_TIMEOUT)

    def worker_of(request: Request) -> MemoryWorker:
        worker = workers.workers_by_address.get(request.server)
        if worker is None:
            raise WorkerUnreachable(f"no worker at {request.server}")
        return worker

    def faults_of(request: Request) -> Faults:
        return worker_of(request).faults

    router = Router(lambda request: faults_of(request).garbage)
    add_fault_routes(router, faults_of)
    for command, kind in REQUESTS_BY_COMMAND.items():
        _add_command(router, command, getattr(workers, command), kind)

    @router.route("POST", "/v1/collect")
    async def collect(request: Request) -> Response:
        collect_request = request.json(CollectRequest)
        return json_response(Outputs(await workers.collect(request.server, collect_request)))

    @router.route("GET", "/v1/history", corruptible=False)
    async def history(request: Request) -> Response:
        return json_response(TaskHistory(tuple(worker_of(request).history)))

    return router


def _add_command(router: Router, name: str, command: Callable[..., Any], kind: type) -> None:
    @router.route("POST", f"/v1/{name}")
    async def run(request: Request) -> Response:
        return json_response(await command(request.server, request.json(kind)))
