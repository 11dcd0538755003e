"""A request on a connection, until its reply is complete."""

from typing import Any

import trio
from mimosapoint.errors import OutcomeUnknown, ShuttingDown

from mimosapoint_node.http._exchange import Exchange, Receive, Send
from mimosapoint_node.http.core import App
from mimosapoint_node.http.limits import HttpLimits
from mimosapoint_node.http.message import Reply
from mimosapoint_node.http.problems import problem_reply

__all__ = ["OpenRequest"]

READ_METHODS = ("GET", "HEAD")

UNKNOWN_OUTCOME_STATUS = 504
"""Status of a write that a planned stop ends; 503 would say that it has had no effect."""


class OpenRequest:
    """Passes the ASGI messages of a request, and can end it with a reply.

    :param scope: ASGI scope of the request.
    :param receive: ASGI receive callable.
    :param send: ASGI send callable.
    :param limits: limits of the HTTP interface.
    :ivar is_read: whether the whole body has been passed to the application.
    :ivar is_replied: whether the end of the reply was passed to the connection.
    """

    def __init__(self, scope: dict[str, Any], receive: Receive, send: Send, limits: HttpLimits):
        self.is_read = False
        self.is_replied = False
        self._scope = scope
        self._receive = receive
        self._send = send
        self._limits = limits
        self._began_at = trio.current_time()
        self._is_refused = False
        self._is_replying = False
        self._serving = trio.CancelScope()

    @property
    def method(self) -> str:
        """Method of the request; empty for a lifespan or a websocket."""
        return self._scope.get("method", "")

    def log_fields(self) -> dict[str, object]:
        """Return the method, the path and the time since the headers were read, in seconds."""
        age = round(trio.current_time() - self._began_at, 3)
        return {"method": self.method, "path": self._scope.get("path", ""), "age": age}

    async def serve(self, app: App) -> bool:
        """Pass the request to an application; return whether :meth:`end` has ended it."""
        with self._serving:
            await app(self._scope, self._receive_message, self._send_message)
        return self._serving.cancelled_caught

    async def refuse(self) -> bool:
        """Reply that the node is stopping and that the request has had no effect.

        :return: whether :meth:`end` has ended it while the rest of its body was discarded.
        """
        self._is_refused = True
        with self._serving:
            # The caller's next connection leads to another node.
            reply = problem_reply(ShuttingDown("the node is stopping"))
            await self._exchange().reply(reply, None, close=True)
        return self._serving.cancelled_caught

    def end(self) -> None:
        """End the application unless it has begun its reply."""
        if not self._is_replying:
            self._serving.cancel()

    async def reply_ended(self) -> Reply:
        """Reply at once that a planned stop has ended the request, and return the reply."""
        if self._is_refused or self.method in READ_METHODS:
            reply = problem_reply(ShuttingDown("the node is stopping"))
        else:
            error = OutcomeUnknown("the node has stopped before the request was done")
            reply = problem_reply(error, UNKNOWN_OUTCOME_STATUS)
        await self._exchange().reply_at_once(reply)
        return reply

    def _exchange(self) -> Exchange:
        return Exchange(self._scope, self._receive_message, self._send_message, self._limits)

    async def _receive_message(self) -> dict[str, Any]:
        message = await self._receive()
        if message["type"] == "http.request" and not message.get("more_body", False):
            self.is_read = True
        return message

    async def _send_message(self, message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            # A reply that has begun is completed; before that the request can be ended.
            await trio.lowlevel.checkpoint_if_cancelled()
            self._is_replying = True
        await self._send(message)
        if message["type"] == "http.response.body" and not message.get("more_body", False):
            self.is_replied = True
