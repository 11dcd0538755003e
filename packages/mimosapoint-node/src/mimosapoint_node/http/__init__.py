"""HTTP interface of a node, for callers and operators."""

from mimosapoint_node.http import (  # noqa: F401 (fill the registries)
    configuration,
    health,
    jobs,
    tokens,
)
from mimosapoint_node.http.authentication import Authenticator, Caller, authenticator
from mimosapoint_node.http.core import make_app
from mimosapoint_node.http.limits import HttpLimits
from mimosapoint_node.http.message import Reply, Request
from mimosapoint_node.http.routing import route, routes
from mimosapoint_node.http.server import serve

__all__ = [
    "Authenticator",
    "Caller",
    "HttpLimits",
    "Reply",
    "Request",
    "authenticator",
    "make_app",
    "route",
    "routes",
    "serve",
]
