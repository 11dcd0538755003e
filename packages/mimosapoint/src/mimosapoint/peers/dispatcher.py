"""Dispatch of messages from peers to the handlers of this node."""

from typing import Any

from mimosapoint.errors import UnknownMessage
from mimosapoint.peers.registry import message_name
from mimosapoint.ports import PeerHandler

__all__ = ["Dispatcher"]


class Dispatcher:
    """Dispatch each message to the handler registered for its class."""

    def __init__(self) -> None:
        self._handlers_by_name: dict[str, PeerHandler] = {}

    def handle(self, message: type, handler: PeerHandler) -> None:
        """Register the handler of a message class, replacing an earlier one.

        :param message: class registered by :func:`~mimosapoint.peers.peer_message`.
        """
        self._handlers_by_name[message_name(message)] = handler

    async def dispatch(self, message: Any) -> Any:
        """Pass a message to its handler and return the reply.

        :raises UnknownMessage: no handler is registered for the class.
        :raises MimosapointError: the handler refused the message.
        """
        name = message_name(type(message))
        handler = self._handlers_by_name.get(name)
        if handler is None:
            raise UnknownMessage(f"this node has no handler for {name}")
        return await handler(message)
