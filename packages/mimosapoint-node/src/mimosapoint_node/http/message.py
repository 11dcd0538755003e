"""Requests and replies of the HTTP interface."""

from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from mimosapoint.codec import to_json
from mimosapoint.errors import BadRequest

__all__ = ["Reply", "Request", "json_reply"]

JSON_TYPE = "application/json"


async def _not_available() -> None:
    raise NotImplementedError


@attrs.frozen
class Request:
    """HTTP request with its whole body.

    :param method: HTTP method.
    :param path: path without the query.
    :param query: query parameters by name.
    :param headers: header values by lower-case name.
    :param body: whole body.
    :param parameters: values of the route's placeholders by name.
    :param trace: trace context of the request's span.
    :param disconnected: waits until the caller disconnects.
    """

    method: str
    path: str
    query: dict[str, str] = attrs.field(factory=dict)
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    parameters: dict[str, str] = attrs.field(factory=dict)
    trace: str | None = None
    disconnected: Callable[[], Awaitable[None]] = _not_available

    def allow_query(self, *names: str) -> None:
        """Reject query parameters other than those named.

        :raises BadRequest: a parameter has another name.
        """
        unknown = sorted(set(self.query) - set(names))
        if unknown:
            raise BadRequest(reasons=tuple(f"?{name}: unknown parameter" for name in unknown))


@attrs.frozen
class Reply:
    """HTTP reply with its whole body.

    :param status: HTTP status.
    :param body: whole body.
    :param content_type: media type of the body.
    :param headers: additional headers.
    """

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


def json_reply(value: Any, status: int = 200) -> Reply:
    """Return a reply with a JSON body."""
    return Reply(status, to_json(value))
