"""HTTP interface of a cell for callers and operators."""

import re
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from mimosapoint.cell import PROBE_JOB_ID, CellNode, CellReport, report_where
from mimosapoint.codec import to_value
from mimosapoint.errors import BadRequest, MethodNotAllowed, MimosapointError, RouteNotFound
from mimosapoint.ports import Telemetry

from mimosapoint_node.http._cell_body import read_submission
from mimosapoint_node.http._disconnect import CallerDisconnected
from mimosapoint_node.http._exchange import Exchange, Receive, Send
from mimosapoint_node.http.limits import HttpLimits
from mimosapoint_node.http.message import Reply, json_reply
from mimosapoint_node.http.problems import (
    UNKNOWN_OUTCOME_CODES,
    problem_reply,
    unexpected_error_reply,
)
from mimosapoint_node.http.tokens import bearer_token

__all__ = ["CELL_PATH", "make_cell_app"]

CELL_PATH = "/v1/cell"
"""Prefix of the paths that the application serves."""

JOB_ID = re.compile(r"[0-9a-zA-Z-]{1,64}")

UNKNOWN_OUTCOME_STATUS = 504
"""Status of errors after which the request may have had its effect, as for callers on the platform;
503 says that it had none."""

SUBMIT_TIMEOUT = timedelta(seconds=2)
"""Time for which a write without a reply is repeated, below the timeout of the command line."""

App = Callable[[dict[str, Any], Receive, Send], Awaitable[None]]


def make_cell_app(cell: CellNode, telemetry: Telemetry, limits: HttpLimits) -> App:
    """Return the application that reports on a cell and accepts jobs with several steps.

    :param cell: cell interface of the node.
    :param telemetry: receives an event for every refused request.
    :param limits: limits of the HTTP interface.
    """
    routes = _CellRoutes(cell)

    async def app(scope: dict[str, Any], receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send, limits)
        try:
            reply = await routes.respond(exchange)
        except CallerDisconnected:
            telemetry.count("http_disconnects_total")
            return
        except MimosapointError as error:
            is_unknown = error.code in UNKNOWN_OUTCOME_CODES
            reply = problem_reply(error, UNKNOWN_OUTCOME_STATUS if is_unknown else None)
            telemetry.event(
                "request-refused",
                job=exchange.path.rpartition("/")[2],
                method=exchange.method,
                status=reply.status,
                error=error.code,
                detail=error.detail,
                view_age=cell.gateway.view_age,
            )
        except Exception as error:
            reply = unexpected_error_reply(error, exchange.path, telemetry)
        await exchange.reply(reply, None)

    return app


class _CellRoutes:
    def __init__(self, cell: CellNode):
        self._cell = cell
        self._report = CellReport(cell)
        self._list_reports = {"queues": self._report.queues, "workers": self._report.workers}

    async def respond(self, exchange: Exchange) -> Reply:
        segments = exchange.path.removeprefix(CELL_PATH).strip("/").split("/")
        if segments[0] == "jobs" and len(segments) in (2, 3):
            return await self._job(exchange, *segments[1:])
        if segments in (["where"], ["where", "owner"]):
            if len(segments) > 1:
                self._report.require_owner()
            return await self._where(exchange)
        if exchange.method != "GET":
            raise MethodNotAllowed(("GET",))
        if segments == [""]:
            return json_reply(to_value(self._report.status()))
        if len(segments) == 1 and segments[0] in self._list_reports:
            return json_reply([to_value(status) for status in self._list_reports[segments[0]]()])
        raise RouteNotFound("no such resource")

    async def _job(self, exchange: Exchange, job_id: str, resource: str = "") -> Reply:
        if not JOB_ID.fullmatch(job_id):
            raise BadRequest("a job's id has 1 to 64 of 0-9, a-z, A-Z and -")
        if resource == "phase" and exchange.method == "GET":
            phase = await self._cell.gateway.phase(self._workspace(exchange), job_id)
            return json_reply({"id": job_id, "phase": phase.value})
        if resource:
            raise RouteNotFound("no such resource")
        if exchange.method == "GET":
            return json_reply(to_value(self._report.job(job_id)))
        if exchange.method == "PUT":
            return await self._submit(exchange, job_id)
        if exchange.method == "DELETE":
            await self._cell.gateway.cancel(self._workspace(exchange), job_id)
            return json_reply({"id": job_id})
        raise MethodNotAllowed(("DELETE", "GET", "PUT"))

    async def _submit(self, exchange: Exchange, job_id: str) -> Reply:
        gateway = self._cell.gateway
        queue_name, submission = read_submission(job_id, await exchange.body())
        queue = gateway.configuration().queues_by_name.get(queue_name)
        if queue is None:
            raise RouteNotFound(f"no queue {queue_name}")
        workspace = gateway.authenticate(queue, bearer_token(exchange.headers()))
        await gateway.submit(queue, workspace, submission, SUBMIT_TIMEOUT)
        return json_reply({"id": job_id, "queue": queue.name, "workspace": workspace}, 202)

    async def _where(self, exchange: Exchange) -> Reply:
        """Return what would happen to the job in the body.

        With ``/where/owner`` only the owner replies, as only it knows the order and the workers.
        """
        if exchange.method != "POST":
            raise MethodNotAllowed(("POST",))
        gateway = self._cell.gateway
        queue_name, submission = read_submission(PROBE_JOB_ID, await exchange.body())
        queue = gateway.configuration().queues_by_name.get(queue_name)
        if queue is None:
            raise RouteNotFound(f"no queue {queue_name}")
        workspace = gateway.authenticate(queue, bearer_token(exchange.headers()))
        record = gateway.record_of(queue, workspace, submission)
        return json_reply(to_value(await report_where(self._cell, record)))

    def _workspace(self, exchange: Exchange) -> str:
        """Return the workspace of the caller's key; empty without a key, as for public queues."""
        key = bearer_token(exchange.headers())
        return "" if key is None else self._cell.gateway.workspace_of(key)
