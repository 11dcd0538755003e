"""Tests of the links by gRPC over the loopback interface."""

import socket
from contextlib import asynccontextmanager, contextmanager
from datetime import timedelta

import grpc
import trio
from mimosapoint.errors import CodecError, MimosapointError, PeerUnreachable
from mimosapoint.peers import Dispatcher, decode_reply
from mimosapoint.peers.tests.contract import Answer, Ask, Link, PeersContract
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase

from mimosapoint_node.grpc_peers import GrpcPeers, GrpcPeersSettings, serve_peers
from mimosapoint_node.grpc_peers._channels import Channels

ANY_PORT = "127.0.0.1:0"
SECOND = timedelta(seconds=1)
SHORT = timedelta(seconds=0.2)
SETTINGS = GrpcPeersSettings(
    threads=4, stop_grace=timedelta(seconds=0.5), most_reconnect=timedelta(seconds=0.4)
)
GARBAGE = (b"", b"{", b"\xff\xfe", b"[1]")


@contextmanager
def free_address():
    """Hold a port that accepts connections and never answers."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        yield f"127.0.0.1:{listener.getsockname()[1]}"


class GrpcPeersTest(PeersContract, TrioTestCase):
    @asynccontextmanager
    async def link(self, dispatcher):
        self.telemetry = MemoryTelemetry(strict=True)
        peers = GrpcPeers("node-1", self.telemetry, SETTINGS)
        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                serve_peers, ANY_PORT, dispatcher, self.telemetry, SETTINGS
            )
            yield Link(peers, address, "127.0.0.1:1")
            nursery.cancel_scope.cancel()
        peers.close()

    async def test_one_trace_spans_both_ends(self):
        async with self.open() as link:
            with self.telemetry.span("request") as request:
                await link.peers.call(link.address, Ask("k"), SECOND)
        names = [span.name for span in self.telemetry.spans]
        self.assertEqual(names, ["request", "peer-call", "peer-serve"])
        self.assertEqual({span.trace_id for span in self.telemetry.spans}, {request.trace_id})
        parents = [span.parent for span in self.telemetry.spans[1:]]
        self.assertEqual(parents, [span.context for span in self.telemetry.spans[:2]])
        self.assertTrue(all(span.ended for span in self.telemetry.spans))

    async def test_calls_and_bytes_are_counted(self):
        async with self.open() as link:
            await link.peers.call(link.address, Ask("k"), SECOND)
            with self.assertRaises(MimosapointError):
                await link.peers.call(link.address, Ask("refuse-0"), SECOND)
        counts = self.telemetry.counts_by_labels
        calls = {
            dict(labels)["outcome"]: number
            for (name, labels), number in counts.items()
            if name == "peer_calls"
        }
        self.assertEqual(calls, {"ok": 1, "bad-request": 1})
        self.assertEqual(self.telemetry.counts_by_name["peer_serves"], 2)
        self.assertGreater(self.telemetry.counts_by_name["peer_bytes"], 20)

    async def test_untyped_error_is_logged_and_answered(self):
        async def fail(_):
            raise ZeroDivisionError

        async with self.open():
            dispatcher = Dispatcher()
            dispatcher.handle(Ask, fail)
            async with self.link(dispatcher) as link:
                with self.assertRaises(MimosapointError) as caught:
                    await link.peers.call(link.address, Ask("k"), SECOND)
        self.assertEqual(caught.exception.code, "internal")
        self.assertIn("peer-handler-failed", self.telemetry.event_names())

    async def test_silent_socket_is_unreachable_after_the_timeout(self):
        async with self.open() as link:
            with free_address() as silent:
                with self.assertRaises(PeerUnreachable):
                    await link.peers.call(silent, Ask("k"), SHORT)
            await link.peers.call(link.address, Ask("k"), SECOND)

    async def test_garbage_bytes_get_a_typed_error(self):
        async with self.open() as link:
            with grpc.insecure_channel(link.address) as channel:
                method = channel.unary_unary("/mimosapoint.Peers/contract-ask")
                for data in GARBAGE:
                    with self.subTest(data=data), self.assertRaises(CodecError):
                        reply = await trio.to_thread.run_sync(method, data, 1.0)
                        decode_reply("contract-ask", reply)

    async def test_silent_handlers_do_not_hold_their_threads(self):
        async with self.open() as link:
            async with trio.open_nursery() as nursery:
                for _ in range(3 * SETTINGS.threads):
                    nursery.start_soon(self.unreachable, link)
            reply = await link.peers.call(link.address, Ask("after"), 5 * SECOND)
        self.assertEqual(reply, Answer("after"))

    async def test_cancelled_callers_free_their_threads(self):
        async with self.open() as link:
            with trio.move_on_after(0.2):
                async with trio.open_nursery() as nursery:
                    for _ in range(SETTINGS.threads):
                        ask = Ask("silent")
                        nursery.start_soon(link.peers.call, link.address, ask, 60 * SECOND)
            self.assertEqual(self.effects["silent"], SETTINGS.threads)
            reply = await link.peers.call(link.address, Ask("after"), 5 * SECOND)
        self.assertEqual(reply, Answer("after"))

    async def unreachable(self, link):
        with self.assertRaises(PeerUnreachable):
            await link.peers.call(link.address, Ask("silent"), SHORT)


class ChannelsTest(TrioTestCase):
    mock_clock = True

    async def test_only_unused_channels_are_closed(self):
        channels = Channels(GrpcPeersSettings(unused_after=timedelta(seconds=60)))
        with channels.use("127.0.0.1:1") as held:
            with channels.use("127.0.0.1:2"):
                pass
            await trio.sleep(61)
            with channels.use("127.0.0.1:3"):
                self.assertEqual(len(channels), 2)
            with channels.use("127.0.0.1:1") as again:
                self.assertIs(held, again)
        channels.close()
        self.assertEqual(len(channels), 0)


class ServePeersTest(TrioTestCase):
    async def test_taken_address_is_an_error(self):
        telemetry = MemoryTelemetry()
        async with trio.open_nursery() as nursery:
            address = await nursery.start(serve_peers, ANY_PORT, Dispatcher(), telemetry, SETTINGS)
            with trio.fail_after(5), self.assertRaises(OSError):
                await serve_peers(address, Dispatcher(), telemetry, SETTINGS)
            nursery.cancel_scope.cancel()

    async def test_stop_lets_calls_in_progress_end(self):
        async def answer(ask):
            nursery.cancel_scope.cancel()
            await trio.sleep(0.1)
            return Answer(ask.key)

        async def call():
            replies.append(await peers.call(address, Ask("k"), SECOND))

        replies = []
        peers = GrpcPeers("node-1", MemoryTelemetry(), SETTINGS)
        dispatcher = Dispatcher()
        dispatcher.handle(Ask, answer)
        async with trio.open_nursery() as callers:
            async with trio.open_nursery() as nursery:
                address = await nursery.start(
                    serve_peers, ANY_PORT, dispatcher, MemoryTelemetry(), SETTINGS
                )
                callers.start_soon(call)
        peers.close()
        self.assertEqual(replies, [Answer("k")])

    async def test_restarted_peer_is_reached_again(self):
        async def answer(ask):
            return Answer(ask.key)

        telemetry = MemoryTelemetry()
        peers = GrpcPeers("node-1", telemetry, SETTINGS)
        dispatcher = Dispatcher()
        dispatcher.handle(Ask, answer)
        address = ANY_PORT
        for _ in range(2):
            async with trio.open_nursery() as nursery:
                address = await nursery.start(serve_peers, address, dispatcher, telemetry, SETTINGS)
                await self.eventually(peers, address)
                nursery.cancel_scope.cancel()
            with self.assertRaises(PeerUnreachable):
                await peers.call(address, Ask("k"), SECOND)
        peers.close()

    async def eventually(self, peers, address):
        with trio.fail_after(10):
            while True:
                try:
                    return await peers.call(address, Ask("k"), SECOND)
                except PeerUnreachable:
                    await trio.sleep(0.05)
