"""Routes for load balancers and monitoring, exempt from the limit on concurrent requests."""

from mimosapoint_node.http.context import Context
from mimosapoint_node.http.message import Reply, Request, json_reply
from mimosapoint_node.http.routing import route

__all__ = ["healthz", "metrics", "readyz"]

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@route("GET", "/healthz", exempt=True)
async def healthz(context: Context, request: Request) -> Reply:
    """Report that the process is running."""
    return json_reply({"healthy": True})


@route("GET", "/readyz", exempt=True)
async def readyz(context: Context, request: Request) -> Reply:
    """Report whether the node is ready to serve callers."""
    ready = context.operators.ready()
    return json_reply({"ready": ready}, 200 if ready else 503)


@route("GET", "/metrics", exempt=True)
async def metrics(context: Context, request: Request) -> Reply:
    """Return the metrics in the text format of Prometheus."""
    return Reply(200, context.render_metrics(), METRICS_TYPE)
