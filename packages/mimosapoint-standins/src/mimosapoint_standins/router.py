"""ASGI application that routes requests to handlers and reports errors as JSON problems."""

import re
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar
from urllib.parse import parse_qsl, unquote

import attrs
from mimosapoint.codec import decode, encode
from mimosapoint.errors import (
    BadRequest,
    CodecError,
    CompareFailed,
    LeaseLost,
    MimosapointError,
    StaleEpoch,
    StoreTimeout,
    StoreUnavailable,
    ValueTooLarge,
    VmListUnavailable,
    WorkerRefused,
    WorkerUnreachable,
)
from mimosapoint.platform import Problem, problem_from_error

__all__ = ["Handler", "Request", "Response", "Router", "json_response"]

BODY_LIMIT_BYTES = 4_000_000
"""Largest body of a request, in bytes."""

GARBAGE = b"{\x00garbage"
"""Body of replies under the garbage fault; it is not valid JSON."""

STATUS_BY_ERROR = {
    BadRequest: 400,
    CompareFailed: 409,
    StaleEpoch: 409,
    LeaseLost: 410,
    ValueTooLarge: 413,
    WorkerRefused: 422,
    StoreUnavailable: 503,
    VmListUnavailable: 503,
    StoreTimeout: 504,
    WorkerUnreachable: 504,
}

T = TypeVar("T")


@attrs.frozen
class Request:
    """One HTTP request.

    :param path: percent-decoded path.
    :param parameters: values of the placeholders in the route.
    :param query: parameters of the query string.
    :param body: the body.
    :param server: ``IP:port`` that the request came to.
    :param headers: values by lower-case name.
    """

    path: str
    parameters: dict[str, str]
    query: dict[str, str]
    body: bytes
    server: str
    headers: dict[str, str] = attrs.field(factory=dict)

    def json(self, kind: type[T]) -> T:
        """Return the body decoded from JSON.

        :param kind: type to decode to.
        :raises CodecError: the body is not JSON of this type.
        """
        return decode(self.body, kind)

    def text(self, name: str) -> str:
        """Return a parameter of the query string, empty when absent."""
        return self.query.get(name, "")

    def number(self, name: str, kind: type[T]) -> T:
        """Return a numeric parameter of the query string.

        :param kind: numeric type.
        :raises BadRequest: the parameter is absent or not a number.
        """
        try:
            return kind(self.query[name])
        except (KeyError, ValueError) as error:
            raise BadRequest(f"{name} is absent or no number") from error


@attrs.frozen
class Response:
    """One HTTP response."""

    status: int = 200
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()


Handler = Callable[[Request], Awaitable[Response]]


def json_response(item: Any, status: int = 200) -> Response:
    """Return a response with the item as its JSON body."""
    return Response(status, encode(item), ((b"content-type", b"application/json"),))


class Router:
    """ASGI application that dispatches requests to the handlers registered with :meth:`route`.

    :param garbage: returns whether the body of the reply to a request is replaced by garbage.
    """

    def __init__(self, garbage: Callable[[Request], bool] = lambda request: False):
        self._routes: list[tuple[str, re.Pattern[str], Handler, bool]] = []
        self._corrupts_replies = garbage

    def route(
        self, method: str, path: str, corruptible: bool = True
    ) -> Callable[[Handler], Handler]:
        """Return a decorator that registers the handler of a method and a path.

        :param path: path with placeholders, as in ``/v1/keys/{key}``.
        :param corruptible: whether the garbage fault applies.
        """
        pattern = re.compile(re.sub(r"\{(\w+)\}", r"(?P<\1>.+)", path))

        def register(handler: Handler) -> Handler:
            self._routes.append((method, pattern, handler, corruptible))
            return handler

        return register

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await _send(send, await self._answer(scope, receive))

    async def _answer(self, scope: dict[str, Any], receive: Any) -> Response:
        try:
            body = await _read_body(receive)
            return await self._dispatch(scope, body)
        except CodecError as error:
            return json_response(Problem(BadRequest.code, error.detail), 400)
        except MimosapointError as error:
            return json_response(problem_from_error(error), STATUS_BY_ERROR.get(type(error), 500))
        except (ValueError, OverflowError) as error:
            return json_response(Problem(BadRequest.code, str(error)), 400)

    async def _dispatch(self, scope: dict[str, Any], body: bytes) -> Response:
        path = unquote(scope["raw_path"].decode("latin-1").partition("?")[0], errors="strict")
        for method, pattern, handler, may_corrupt in self._routes:
            match = pattern.fullmatch(path)
            if match is None or method != scope["method"]:
                continue
            request = Request(
                path, match.groupdict(), _query(scope), body, _server(scope), _headers(scope)
            )
            response = await handler(request)
            corrupt = may_corrupt and self._corrupts_replies(request)
            return attrs.evolve(response, body=GARBAGE) if corrupt else response
        return json_response(Problem("no-route", f"{scope['method']} {path}"), 404)


def _query(scope: dict[str, Any]) -> dict[str, str]:
    text = scope["query_string"].decode("latin-1")
    return dict(parse_qsl(text, keep_blank_values=True, errors="strict"))


def _server(scope: dict[str, Any]) -> str:
    host, port = scope["server"][:2]
    return f"{host}:{port}"


async def _read_body(receive: Any) -> bytes:
    parts: list[bytes] = []
    size = 0
    more = True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise BadRequest("the client went away")
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > BODY_LIMIT_BYTES:
            raise ValueTooLarge(f"the body is over {BODY_LIMIT_BYTES} bytes")
        more = message.get("more_body", False)
    return b"".join(parts)


async def _send(send: Any, response: Response) -> None:
    length = str(len(response.body)).encode()
    headers = [*response.headers, (b"content-length", length)]
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    await send({"type": "http.response.body", "body": response.body})


async def _serve_lifespan(receive: Any, send: Any) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


def _headers(scope: dict[str, Any]) -> dict[str, str]:
    """Return the headers by lower-case name."""
    pairs = scope.get("headers", ())
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in pairs}
