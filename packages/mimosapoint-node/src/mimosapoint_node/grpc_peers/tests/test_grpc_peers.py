"""Tests of the gRPC adapter over the loopback interface."""

import socket
from contextlib import asynccontextmanager, contextmanager
from datetime import timedelta

import grpc
import trio
from mimosapoint.errors import CodecError, MimosapointError, PeerUnreachable
from mimosapoint.peers import Dispatcher, decode_reply
from mimosapoint.peers.tests.contract import Connection, EchoReply, EchoRequest, PeersContract
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase

from mimosapoint_node.grpc_peers import GrpcPeers, GrpcPeersSettings, serve_peers
from mimosapoint_node.grpc_peers._channels import ChannelPool

ANY_PORT = "127.0.0.1:0"
SECOND = timedelta(seconds=1)
SHORT = timedelta(seconds=0.2)
SETTINGS = GrpcPeersSettings(
    threads=4, shutdown_grace=timedelta(seconds=0.5), reconnect_delay_max=timedelta(seconds=0.4)
)
MALFORMED_MESSAGES = (b"", b"{", b"\xff\xfe", b"[1]")


@contextmanager
def silent_address():
    """Yield the address of a socket that accepts connections and never replies."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        yield f"127.0.0.1:{listener.getsockname()[1]}"


class GrpcPeersTest(PeersContract, TrioTestCase):
    @asynccontextmanager
    async def connect(self, dispatcher):
        self.telemetry = MemoryTelemetry(strict=True)
        peers = GrpcPeers("node-1", self.telemetry, SETTINGS)
        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                serve_peers, ANY_PORT, dispatcher, self.telemetry, SETTINGS
            )
            yield Connection(peers, address, "127.0.0.1:1")
            nursery.cancel_scope.cancel()
        peers.close()

    async def test_one_trace_spans_both_ends(self):
        async with self.open_connection() as connection:
            with self.telemetry.span("request") as request:
                await connection.peers.call(connection.address, EchoRequest("k"), SECOND)
        names = [span.name for span in self.telemetry.spans]
        self.assertEqual(names, ["request", "peer-call", "peer-serve"])
        self.assertEqual({span.trace_id for span in self.telemetry.spans}, {request.trace_id})
        parents = [span.parent for span in self.telemetry.spans[1:]]
        self.assertEqual(parents, [span.context for span in self.telemetry.spans[:2]])
        self.assertTrue(all(span.ended for span in self.telemetry.spans))

    async def test_calls_and_bytes_are_counted(self):
        async with self.open_connection() as connection:
            await connection.peers.call(connection.address, EchoRequest("k"), SECOND)
            with self.assertRaises(MimosapointError):
                await connection.peers.call(connection.address, EchoRequest("refuse-0"), SECOND)
        counts = self.telemetry.counts_by_labels
        calls = {
            dict(labels)["outcome"]: number
            for (name, labels), number in counts.items()
            if name == "peer_calls"
        }
        self.assertEqual(calls, {"ok": 1, "bad-request": 1})
        self.assertEqual(self.telemetry.counts_by_name["peer_serves"], 2)
        self.assertGreater(self.telemetry.counts_by_name["peer_bytes"], 20)

    async def test_untyped_error_is_logged_and_returned_to_the_caller(self):
        async def fail(_):
            raise ZeroDivisionError

        async with self.open_connection():
            dispatcher = Dispatcher()
            dispatcher.handle(EchoRequest, fail)
            async with self.connect(dispatcher) as connection:
                with self.assertRaises(MimosapointError) as caught:
                    await connection.peers.call(connection.address, EchoRequest("k"), SECOND)
        self.assertEqual(caught.exception.code, "internal")
        self.assertIn("peer-handler-failed", self.telemetry.event_names())

    async def test_silent_socket_is_unreachable_after_the_timeout(self):
        async with self.open_connection() as connection:
            with silent_address() as silent:
                with self.assertRaises(PeerUnreachable):
                    await connection.peers.call(silent, EchoRequest("k"), SHORT)
            await connection.peers.call(connection.address, EchoRequest("k"), SECOND)

    async def test_malformed_bytes_get_a_typed_error(self):
        async with self.open_connection() as connection:
            with grpc.insecure_channel(connection.address) as channel:
                method = channel.unary_unary("/mimosapoint.Peers/contract-ask")
                for data in MALFORMED_MESSAGES:
                    with self.subTest(data=data), self.assertRaises(CodecError):
                        reply = await trio.to_thread.run_sync(method, data, 1.0)
                        decode_reply("contract-ask", reply)

    async def test_timed_out_calls_free_their_threads(self):
        async with self.open_connection() as connection:
            async with trio.open_nursery() as nursery:
                for _ in range(3 * SETTINGS.threads):
                    nursery.start_soon(self.call_silent_handler, connection)
            reply = await connection.peers.call(
                connection.address, EchoRequest("after"), 5 * SECOND
            )
        self.assertEqual(reply, EchoReply("after"))

    async def test_cancelled_calls_free_their_threads(self):
        async with self.open_connection() as connection:
            with trio.move_on_after(0.2):
                async with trio.open_nursery() as nursery:
                    for _ in range(SETTINGS.threads):
                        request = EchoRequest("silent")
                        nursery.start_soon(
                            connection.peers.call, connection.address, request, 60 * SECOND
                        )
            self.assertEqual(self.effects["silent"], SETTINGS.threads)
            reply = await connection.peers.call(
                connection.address, EchoRequest("after"), 5 * SECOND
            )
        self.assertEqual(reply, EchoReply("after"))

    async def call_silent_handler(self, connection):
        with self.assertRaises(PeerUnreachable):
            await connection.peers.call(connection.address, EchoRequest("silent"), SHORT)


class ChannelPoolTest(TrioTestCase):
    mock_clock = True

    async def test_only_unused_channels_are_closed(self):
        pool = ChannelPool(GrpcPeersSettings(channel_idle_timeout=timedelta(seconds=60)))
        with pool.use("127.0.0.1:1") as channel:
            with pool.use("127.0.0.1:2"):
                pass
            await trio.sleep(61)
            with pool.use("127.0.0.1:3"):
                self.assertEqual(len(pool), 2)
            with pool.use("127.0.0.1:1") as reused:
                self.assertIs(channel, reused)
        pool.close()
        self.assertEqual(len(pool), 0)


class ServePeersTest(TrioTestCase):
    async def test_taken_address_is_an_error(self):
        telemetry = MemoryTelemetry()
        async with trio.open_nursery() as nursery:
            address = await nursery.start(serve_peers, ANY_PORT, Dispatcher(), telemetry, SETTINGS)
            with trio.fail_after(5), self.assertRaises(OSError):
                await serve_peers(address, Dispatcher(), telemetry, SETTINGS)
            nursery.cancel_scope.cancel()

    async def test_stop_lets_calls_in_progress_end(self):
        async def reply_to(request):
            nursery.cancel_scope.cancel()
            await trio.sleep(0.1)
            return EchoReply(request.key)

        async def call():
            replies.append(await peers.call(address, EchoRequest("k"), SECOND))

        replies = []
        peers = GrpcPeers("node-1", MemoryTelemetry(), SETTINGS)
        dispatcher = Dispatcher()
        dispatcher.handle(EchoRequest, reply_to)
        async with trio.open_nursery() as callers:
            async with trio.open_nursery() as nursery:
                address = await nursery.start(
                    serve_peers, ANY_PORT, dispatcher, MemoryTelemetry(), SETTINGS
                )
                callers.start_soon(call)
        peers.close()
        self.assertEqual(replies, [EchoReply("k")])

    async def test_restarted_peer_is_reached_again(self):
        async def reply_to(request):
            return EchoReply(request.key)

        telemetry = MemoryTelemetry()
        peers = GrpcPeers("node-1", telemetry, SETTINGS)
        dispatcher = Dispatcher()
        dispatcher.handle(EchoRequest, reply_to)
        address = ANY_PORT
        for _ in range(2):
            async with trio.open_nursery() as nursery:
                address = await nursery.start(serve_peers, address, dispatcher, telemetry, SETTINGS)
                await self.call_until_reached(peers, address)
                nursery.cancel_scope.cancel()
            with self.assertRaises(PeerUnreachable):
                await peers.call(address, EchoRequest("k"), SECOND)
        peers.close()

    async def call_until_reached(self, peers, address):
        with trio.fail_after(10):
            while True:
                try:
                    return await peers.call(address, EchoRequest("k"), SECOND)
                except PeerUnreachable:
                    await trio.sleep(0.05)
