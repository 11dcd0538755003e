"""Serves the messages of peers with the handlers of this node."""

from typing import Any

from mimosapoint.errors import UnknownMessage
from mimosapoint.peers.registry import message_name
from mimosapoint.ports import PeerHandler

__all__ = ["Dispatcher"]


class Dispatcher:
    """Finds the handler of each message by its class."""

    def __init__(self) -> None:
        self._handlers_by_name: dict[str, PeerHandler] = {}

    def handle(self, message: type, handler: PeerHandler) -> None:
        """Serve a message class; a later handler replaces an earlier one.

        :param message: class registered by :func:`~mimosapoint.peers.peer_message`.
        """
        self._handlers_by_name[message_name(message)] = handler

    async def dispatch(self, message: Any) -> Any:
        """Return the reply to a message.

        :raises UnknownMessage: no handler serves this class.
        :raises MimosapointError: the handler's own refusal.
        """
        name = message_name(type(message))
        handler = self._handlers_by_name.get(name)
        if handler is None:
            raise UnknownMessage(f"this node does not serve {name}")
        return await handler(message)
