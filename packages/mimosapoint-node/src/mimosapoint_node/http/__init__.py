"""HTTP interface of a node, for callers and operators."""

from mimosapoint_node.http._disconnect import CallerDisconnected
from mimosapoint_node.http._exchange import Exchange, Receive, Send
from mimosapoint_node.http.authentication import Authenticator, Caller, authenticator
from mimosapoint_node.http.cell import CELL_PATH, make_cell_app
from mimosapoint_node.http.core import make_app
from mimosapoint_node.http.forward import FORWARDED_HEADER, Forwarder
from mimosapoint_node.http.limits import HttpLimits
from mimosapoint_node.http.message import Reply, Request, json_reply
from mimosapoint_node.http.problems import problem_reply, unexpected_error_reply
from mimosapoint_node.http.routing import route, routes
from mimosapoint_node.http.server import serve
from mimosapoint_node.http.tokens import bearer_token

__all__ = [
    "CELL_PATH",
    "Authenticator",
    "Caller",
    "CallerDisconnected",
    "Exchange",
    "FORWARDED_HEADER",
    "Forwarder",
    "HttpLimits",
    "Receive",
    "Reply",
    "Request",
    "Send",
    "authenticator",
    "bearer_token",
    "json_reply",
    "make_app",
    "make_cell_app",
    "problem_reply",
    "route",
    "routes",
    "serve",
    "unexpected_error_reply",
]
