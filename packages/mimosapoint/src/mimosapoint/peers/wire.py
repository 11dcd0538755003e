"""Bytes of messages and replies, the same for every adapter."""

from collections.abc import Callable
from typing import Any

from mimosapoint.codec import decode, encode
from mimosapoint.errors import CodecError, MessageTooLarge, MimosapointError
from mimosapoint.peers._failure import Failure, to_error, to_failure
from mimosapoint.peers.dispatcher import Dispatcher
from mimosapoint.peers.registry import message_name, message_type, reply_type

__all__ = ["MESSAGE_LIMIT_BYTES", "decode_reply", "encode_message", "serve_bytes"]

MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024
"""Largest message or reply between nodes, in bytes."""

ErrorReporter = Callable[[str, Exception], MimosapointError]
"""Logs an untyped error of the handler of a message and returns the typed one to send."""

REPLY = b"\x00"
FAILURE = b"\x01"


def encode_message(message: Any) -> bytes:
    """Encode a registered message.

    :raises UnknownMessage: its class is not registered.
    :raises MessageTooLarge: the bytes are over :data:`MESSAGE_LIMIT_BYTES`.
    """
    name = message_name(type(message))
    return _checked(name, encode(message))


def decode_reply(name: str, data: bytes) -> Any:
    """Decode what :func:`serve_bytes` returned at the peer.

    :param name: wire name of the message.
    :raises MimosapointError: the peer's own refusal, as the class that it raised.
    :raises CodecError: the bytes are not a reply.
    """
    mark, body = data[:1], data[1:]
    if mark == REPLY:
        return decode(body, reply_type(name))
    if mark == FAILURE:
        raise to_error(decode(body, Failure))
    raise CodecError(f"not a reply to {name}")


async def serve_bytes(
    dispatcher: Dispatcher, name: str, data: bytes, report: ErrorReporter | None = None
) -> bytes:
    """Serve an encoded message; typed errors become part of the reply.

    :param name: wire name of the message.
    :param report: told of an untyped error of the handler, which it turns into a typed one; such
        errors are raised when it is absent.
    """
    try:
        message = decode(data, message_type(name))
        reply = await dispatcher.dispatch(message)
        return _checked(name, REPLY + encode(reply, reply_type(name)))
    except MimosapointError as error:
        return _failed(error)
    except Exception as error:
        if report is None:
            raise
        return _failed(report(name, error))


def _failed(error: MimosapointError) -> bytes:
    return FAILURE + encode(to_failure(error))


def _checked(name: str, data: bytes) -> bytes:
    if len(data) > MESSAGE_LIMIT_BYTES:
        raise MessageTooLarge(f"{name} has {len(data)} bytes, {MESSAGE_LIMIT_BYTES} are allowed")
    return data
