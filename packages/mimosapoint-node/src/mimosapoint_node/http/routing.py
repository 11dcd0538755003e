"""Registry of routes and the decorator that registers them."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING
from urllib.parse import unquote

import attrs
from mimosapoint.errors import MethodNotAllowed, RouteNotFound

from mimosapoint_node.http.message import Reply, Request

if TYPE_CHECKING:
    from mimosapoint_node.http.context import Context

__all__ = ["Handler", "Route", "find_route", "route", "routes"]

Handler = Callable[["Context", Request], Awaitable[Reply]]


@attrs.frozen
class Route:
    """Handler of a method and a path pattern.

    :param method: HTTP method.
    :param pattern: path in which a segment ``{name}`` is a placeholder.
    :param handler: coroutine function that returns the reply.
    :param exempt: whether the route is exempt from the limit on concurrent requests.
    """

    method: str
    pattern: str
    handler: Handler
    exempt: bool = False

    def match(self, segments: list[str]) -> dict[str, str] | None:
        """Return the values of the placeholders, or ``None`` when the path does not match."""
        pattern_segments = self.pattern.split("/")
        if len(pattern_segments) != len(segments):
            return None
        parameters = {}
        for name, value in zip(pattern_segments, segments):
            if name.startswith("{") and value:
                parameters[name[1:-1]] = value
            elif name != value:
                return None
        return parameters


_routes: list[Route] = []


def route(method: str, pattern: str, *, exempt: bool = False) -> Callable[[Handler], Handler]:
    """Register a handler for a method and a path."""

    def register(handler: Handler) -> Handler:
        _routes.append(Route(method, pattern, handler, exempt))
        return handler

    return register


def routes() -> tuple[Route, ...]:
    """Return every registered route."""
    return tuple(_routes)


def find_route(method: str, raw_path: str) -> tuple[Route, dict[str, str]]:
    """Return the route of a request and the values of its placeholders.

    :param raw_path: percent-encoded path.
    :raises RouteNotFound: no route matches the path.
    :raises MethodNotAllowed: the path only has routes for other methods.
    """
    segments = [unquote(part, errors="replace") for part in raw_path.split("/")]
    allowed = set()
    for candidate in _routes:
        parameters = candidate.match(segments)
        if parameters is None:
            continue
        if candidate.method == method:
            return candidate, parameters
        allowed.add(candidate.method)
    if allowed:
        raise MethodNotAllowed(tuple(sorted(allowed)))
    raise RouteNotFound("no such path")
