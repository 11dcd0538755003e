"""Registry of the message classes, filled by the :func:`peer_message` decorator."""

from collections.abc import Callable
from typing import TypeVar

import attrs

from mimosapoint.errors import UnknownMessage

__all__ = ["message_name", "message_type", "peer_message", "reply_type"]

T = TypeVar("T", bound=type)


@attrs.frozen
class _MessageEntry:
    """Message class with its wire name and reply class."""

    name: str
    message: type
    reply: type


_entries_by_name: dict[str, _MessageEntry] = {}
_entries_by_message: dict[type, _MessageEntry] = {}


def peer_message(name: str, reply: type) -> Callable[[T], T]:
    """Return a decorator that registers a message class.

    :param name: stable name on the wire, in kebab case.
    :param reply: class of the reply.
    :raises ValueError: the name is already registered.
    """

    def register(message: T) -> T:
        if name in _entries_by_name:
            raise ValueError(f"message name {name} is already registered")
        entry = _MessageEntry(name, message, reply)
        _entries_by_name[name] = entry
        _entries_by_message[message] = entry
        return message

    return register


def message_name(message: type) -> str:
    """Return the wire name of a message class.

    :raises UnknownMessage: the class is not registered.
    """
    entry = _entries_by_message.get(message)
    if entry is None:
        raise UnknownMessage(f"{message.__name__} is not a registered message")
    return entry.name


def message_type(name: str) -> type:
    """Return the message class of a wire name.

    :raises UnknownMessage: no class has that name.
    """
    return _entry_of_name(name).message


def reply_type(name: str) -> type:
    """Return the reply class of a wire name.

    :raises UnknownMessage: no class has that name.
    """
    return _entry_of_name(name).reply


def _entry_of_name(name: str) -> _MessageEntry:
    entry = _entries_by_name.get(name)
    if entry is None:
        raise UnknownMessage(f"no message is registered as {name}")
    return entry
