"""A request on a connection, until its reply is complete."""

from typing import Any

import trio

from mimosapoint_node.http._exchange import Receive, Send

__all__ = ["OpenRequest"]


class OpenRequest:
    """Follows the ASGI messages of a request.

    :param scope: ASGI scope of the request.
    :param receive: ASGI receive callable.
    :param send: ASGI send callable.
    :ivar is_read: whether the whole body has been passed to the application.
    :ivar is_replied: whether the end of the reply was passed to the connection.
    """

    def __init__(self, scope: dict[str, Any], receive: Receive, send: Send):
        self.scope = scope
        self.is_read = False
        self.is_replied = False
        self._receive = receive
        self._send = send
        self._began_at = trio.current_time()

    @property
    def age(self) -> float:
        """Time since the request line and headers were read, in seconds."""
        return trio.current_time() - self._began_at

    async def receive(self) -> dict[str, Any]:
        """Return the next message to the application."""
        message = await self._receive()
        if message["type"] == "http.request" and not message.get("more_body", False):
            self.is_read = True
        return message

    async def send(self, message: dict[str, Any]) -> None:
        """Pass a message of the application to the connection."""
        await self._send(message)
        if message["type"] == "http.response.body" and not message.get("more_body", False):
            self.is_replied = True
