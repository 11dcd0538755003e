"""Typed messages between the nodes."""

from mimosapoint.peers.dispatcher import Dispatcher
from mimosapoint.peers.loopback import LoopbackNetwork, LoopbackPeers
from mimosapoint.peers.registry import message_name, message_type, peer_message, reply_type
from mimosapoint.peers.wire import (
    MESSAGE_LIMIT_BYTES,
    decode_reply,
    encode_message,
    serve_bytes,
)

__all__ = [
    "MESSAGE_LIMIT_BYTES",
    "Dispatcher",
    "LoopbackNetwork",
    "LoopbackPeers",
    "decode_reply",
    "encode_message",
    "message_name",
    "message_type",
    "peer_message",
    "reply_type",
    "serve_bytes",
]
