"""Registry of routes, filled by a decorator."""

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
    """A method and a path with placeholders.

    :param method: HTTP method.
    :param pattern: path; a segment ``{name}`` is a placeholder.
    :param handler: coroutine that answers.
    :param exempt: whether the bound on requests in flight passes it over.
    """

    method: str
    pattern: str
    handler: Handler
    exempt: bool = False

    def match(self, segments: list[str]) -> dict[str, str] | None:
        """Return the placeholders' values, or ``None`` when the path differs."""
        wanted = self.pattern.split("/")
        if len(wanted) != len(segments):
            return None
        parameters = {}
        for name, value in zip(wanted, segments):
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
    """Return the route of a request and the placeholders' values.

    :param raw_path: path in its percent-encoded form.
    :raises RouteNotFound: no route has that path.
    :raises MethodNotAllowed: the path has other methods only.
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
