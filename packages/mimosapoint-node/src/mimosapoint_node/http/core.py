"""The ASGI application of a node."""

from collections.abc import Awaitable, Callable
from contextlib import nullcontext
from datetime import datetime
from typing import Any

from mimosapoint.errors import MimosapointError
from mimosapoint.ports import Clock, JobApi, OperatorApi, Span, Telemetry

from mimosapoint_node.http._concurrency import ConcurrencyLimiter
from mimosapoint_node.http._disconnect import CallerDisconnected
from mimosapoint_node.http._exchange import Exchange, Receive, Send
from mimosapoint_node.http.authentication import make_authenticator
from mimosapoint_node.http.context import Context
from mimosapoint_node.http.limits import HttpLimits
from mimosapoint_node.http.message import Reply, Request
from mimosapoint_node.http.problems import problem_reply, unexpected_error_reply
from mimosapoint_node.http.routing import Route, find_route

__all__ = ["App", "make_app"]

App = Callable[[dict[str, Any], Receive, Send], Awaitable[None]]

NO_ROUTE = "none"
"""Route label of requests that match no route."""


def make_app(
    jobs: JobApi,
    operators: OperatorApi,
    telemetry: Telemetry,
    limits: HttpLimits,
    clock: Clock,
    render_metrics: Callable[[], bytes],
    authentication: str = "none",
) -> App:
    """Return the ASGI application of a node.

    :param jobs: port for operations of callers.
    :param operators: port for operations of operators.
    :param telemetry: logs, metrics and traces.
    :param limits: limits of the HTTP interface.
    :param clock: clock that measures the duration of requests.
    :param render_metrics: returns the metrics in the text format of Prometheus.
    :param authentication: name of the registered authenticator.
    :raises BadRequest: no authenticator has that name.
    """
    _register_handlers()
    context = Context(
        jobs=jobs,
        operators=operators,
        telemetry=telemetry,
        limits=limits,
        clock=clock,
        render_metrics=render_metrics,
        authenticator=make_authenticator(authentication, operators),
        in_flight=ConcurrencyLimiter(limits.in_flight, "requests are in progress"),
        waiting=ConcurrencyLimiter(limits.max_waiting, "requests wait for answers"),
    )

    async def app(scope: dict[str, Any], receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await _serve_request(context, Exchange(scope, receive, send, limits))

    return app


def _register_handlers() -> None:
    """Import the modules that register routes and authenticators.

    Nodes of a cell start sooner without them.
    """
    from mimosapoint_node.http import configuration, health, jobs, tokens  # noqa: F401


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _serve_request(context: Context, exchange: Exchange) -> None:
    """Serve one request within its span."""
    started_at = context.clock.now()
    parent = exchange.headers().get("traceparent")
    with context.telemetry.span("http", parent=parent) as span:
        try:
            label, reply = await _respond(context, exchange, span)
        except CallerDisconnected:
            span.set("http.disconnected", True)
            context.telemetry.count("http_disconnects_total")
            return
        _record(context, span, started_at, label, reply)
        await exchange.reply(reply, span.context)


async def _respond(context: Context, exchange: Exchange, span: Span) -> tuple[str, Reply]:
    """Return the label of the route and the reply; errors become problem replies."""
    label = NO_ROUTE
    try:
        route, parameters = find_route(exchange.method, exchange.raw_path)
        label = route.pattern
        return label, await _handle(context, exchange, span, route, parameters)
    except MimosapointError as error:
        return label, problem_reply(error)
    except CallerDisconnected:
        raise
    except Exception as error:
        return label, unexpected_error_reply(error, label, context.telemetry)


async def _handle(
    context: Context, exchange: Exchange, span: Span, route: Route, parameters: dict[str, str]
) -> Reply:
    limiter = nullcontext() if route.exempt else context.in_flight.enter()
    with limiter:
        request = Request(
            method=exchange.method,
            path=exchange.path,
            query=exchange.query(),
            headers=exchange.headers(),
            body=await exchange.body(),
            parameters=parameters,
            trace=span.context,
            disconnected=exchange.disconnected,
        )
        return await route.handler(context, request)


def _record(context: Context, span: Span, started_at: datetime, label: str, reply: Reply) -> None:
    seconds = (context.clock.now() - started_at).total_seconds()
    span.set("http.route", label)
    span.set("http.status", reply.status)
    context.telemetry.count("http_requests_total", route=label, status=str(reply.status))
    context.telemetry.observe("http_seconds", seconds, route=label)
