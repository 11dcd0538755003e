"""Registry of the messages between nodes, filled by a decorator."""

from collections.abc import Callable
from typing import TypeVar

import attrs

from mimosapoint.errors import UnknownMessage

__all__ = ["message_name", "message_type", "peer_message", "reply_type"]

T = TypeVar("T", bound=type)


@attrs.frozen
class _MessageEntry:
    """A message class with its wire name and reply class."""

    name: str
    message: type
    reply: type


_registrations_by_name: dict[str, _MessageEntry] = {}
_registrations_by_message: dict[type, _MessageEntry] = {}


def peer_message(name: str, reply: type) -> Callable[[T], T]:
    """Register a message class.

    :param name: stable name on the wire, in kebab case.
    :param reply: class of the reply.
    :raises ValueError: another class has that name.
    """

    def register(message: T) -> T:
        if name in _registrations_by_name:
            raise ValueError(f"the message name {name} is taken")
        registration = _MessageEntry(name, message, reply)
        _registrations_by_name[name] = registration
        _registrations_by_message[message] = registration
        return message

    return register


def message_name(message: type) -> str:
    """Return the wire name of a message class.

    :raises UnknownMessage: the class is not registered.
    """
    registration = _registrations_by_message.get(message)
    if registration is None:
        raise UnknownMessage(f"{message.__name__} is not a registered message")
    return registration.name


def message_type(name: str) -> type:
    """Return the message class of a wire name.

    :raises UnknownMessage: no class has that name.
    """
    return _by_name(name).message


def reply_type(name: str) -> type:
    """Return the reply class of a wire name.

    :raises UnknownMessage: no class has that name.
    """
    return _by_name(name).reply


def _by_name(name: str) -> _MessageEntry:
    registration = _registrations_by_name.get(name)
    if registration is None:
        raise UnknownMessage(f"no message is named {name}")
    return registration
