"""Client of the calls between nodes, based on grpcio's thread API."""

from datetime import timedelta
from typing import Any

import grpc
import trio
from mimosapoint.errors import MimosapointError, PeerUnreachable
from mimosapoint.peers import decode_reply, encode_message, message_name
from mimosapoint.ports import Span, Telemetry

from mimosapoint_node.grpc_peers._channels import ChannelPool, DeadlineExceeded
from mimosapoint_node.grpc_peers.settings import DEFAULT_SETTINGS, GrpcPeersSettings, method_path

__all__ = ["GrpcPeers", "TRACE_KEY"]

TRACE_KEY = "traceparent"
"""Metadata key of the trace context."""


class GrpcPeers:
    """Adapter of the ``Peers`` port with one channel for each peer.

    :param source: id of this node, set as an attribute of its spans.
    :param telemetry: receives metrics and spans of the calls.
    :param settings: settings of the connections.
    """

    def __init__(
        self,
        source: str,
        telemetry: Telemetry,
        settings: GrpcPeersSettings = DEFAULT_SETTINGS,
    ) -> None:
        self._source = source
        self._telemetry = telemetry
        self._channel_pool = ChannelPool(settings)

    async def call(self, address: str, message: Any, timeout: timedelta) -> Any:
        """Send a message and return the reply; see :class:`~mimosapoint.ports.Peers`."""
        name = message_name(type(message))
        started = trio.current_time()
        outcome = "cancelled"
        try:
            with self._telemetry.span("peer-call") as span:
                span.set("message", name)
                span.set("source", self._source)
                span.set("peer", address)
                reply = await self._call(address, name, message, timeout, span)
            outcome = "ok"
            return reply
        except MimosapointError as error:
            outcome = error.code
            raise
        finally:
            self._telemetry.count("peer_calls", message=name, outcome=outcome)
            elapsed = trio.current_time() - started
            self._telemetry.observe("peer_call_seconds", elapsed, message=name)

    def close(self) -> None:
        """Close every channel."""
        self._channel_pool.close()

    async def _call(
        self, address: str, name: str, message: Any, timeout: timedelta, span: Span
    ) -> Any:
        data = encode_message(message)
        self._count_bytes(name, "sent", data)
        metadata = ((TRACE_KEY, span.context),)
        with self._channel_pool.use(address) as channel:
            method = channel.unary_unary(method_path(name))
            future = method.future(data, timeout=timeout.total_seconds(), metadata=metadata)
            await _wait_until_done(future)
            reply = _reply_or_raise(future, address, name)
        self._count_bytes(name, "received", reply)
        return decode_reply(name, reply)

    def _count_bytes(self, name: str, direction: str, data: bytes) -> None:
        self._telemetry.count("peer_bytes", len(data), message=name, direction=direction)


async def _wait_until_done(future: grpc.Future) -> None:
    """Wait until a call ends; cancelling the task cancels the call."""
    token = trio.lowlevel.current_trio_token()
    done = trio.Event()

    def set_done(_: grpc.Future) -> None:
        try:
            token.run_sync_soon(done.set)
        except trio.RunFinishedError:
            pass

    future.add_done_callback(set_done)
    try:
        await done.wait()
    except trio.Cancelled:
        future.cancel()
        raise


def _reply_or_raise(future: grpc.Future, address: str, name: str) -> bytes:
    code = future.code()
    if code is not grpc.StatusCode.OK:
        is_late = code is grpc.StatusCode.DEADLINE_EXCEEDED
        kind = DeadlineExceeded if is_late else PeerUnreachable
        raise kind(f"call {name} to {address} failed: {code.name} {future.details()}")
    return future.result()
