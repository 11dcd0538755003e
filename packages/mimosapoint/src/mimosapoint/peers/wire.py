"""Wire format of messages and replies, shared by all adapters of the ``Peers`` port."""

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
"""Logs an untyped error raised by the handler of a message and returns the typed error to send."""

REPLY = b"\x00"
FAILURE = b"\x01"


def encode_message(message: Any) -> bytes:
    """Encode a registered message.

    :raises UnknownMessage: the class is not registered.
    :raises MessageTooLarge: the encoded message exceeds :data:`MESSAGE_LIMIT_BYTES`.
    """
    name = message_name(type(message))
    return _check_size(name, encode(message))


def decode_reply(name: str, data: bytes) -> Any:
    """Decode the reply that :func:`serve_bytes` returned at the peer.

    :param name: wire name of the message.
    :raises MimosapointError: the peer refused the message; the class is the one that it raised.
    :raises CodecError: the bytes are not a valid reply.
    """
    tag, body = data[:1], data[1:]
    if tag == REPLY:
        return decode(body, reply_type(name))
    if tag == FAILURE:
        raise to_error(decode(body, Failure))
    raise CodecError(f"invalid reply to {name}")


async def serve_bytes(
    dispatcher: Dispatcher, name: str, data: bytes, report_error: ErrorReporter | None = None
) -> bytes:
    """Serve an encoded message and return the encoded reply or typed error.

    :param name: wire name of the message.
    :param report_error: logs an untyped error of the handler and returns a typed one; untyped
        errors are raised when it is ``None``.
    """
    try:
        message = decode(data, message_type(name))
        reply = await dispatcher.dispatch(message)
        return _check_size(name, REPLY + encode(reply, reply_type(name)))
    except MimosapointError as error:
        return _encode_failure(error)
    except Exception as error:
        if report_error is None:
            raise
        return _encode_failure(report_error(name, error))


def _encode_failure(error: MimosapointError) -> bytes:
    return FAILURE + encode(to_failure(error))


def _check_size(name: str, data: bytes) -> bytes:
    if len(data) > MESSAGE_LIMIT_BYTES:
        raise MessageTooLarge(f"{name} has {len(data)} bytes; the limit is {MESSAGE_LIMIT_BYTES}")
    return data
