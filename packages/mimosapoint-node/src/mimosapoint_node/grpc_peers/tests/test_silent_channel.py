"""Tests of the connection of a channel that goes silent, while new ones work."""

from contextlib import asynccontextmanager, suppress
from functools import partial

import trio
from mimosapoint.errors import PeerUnreachable
from mimosapoint.peers import Dispatcher
from mimosapoint.peers.tests.contract import EchoReply, EchoRequest
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase

from mimosapoint_node.grpc_peers import GrpcPeers, serve_peers
from mimosapoint_node.grpc_peers.tests.test_grpc_peers import ANY_PORT, SECOND, SETTINGS, SHORT

SLOW_KEY = "slow"


class SilencingProxy:
    """Forwards connections to a port of this host; open ones can go silent."""

    def __init__(self, target):
        self._target = target
        self._scopes = set()

    def silence(self):
        """Forward nothing more on the open connections, which stay open."""
        for scope in self._scopes:
            scope.cancel()

    async def handle(self, client):
        server = await trio.open_tcp_stream("127.0.0.1", self._target)
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, client, server)
                nursery.start_soon(self._copy, server, client)
        await trio.sleep_forever()

    async def _copy(self, source, sink):
        # An end may close its connection while data for it is on its way.
        with suppress(trio.BrokenResourceError):
            async for data in source:
                await sink.send_all(data)


class SilentChannelTest(TrioTestCase):
    # Guards against a node that does not reach another one for 13 s, the time of the keepalive.
    async def test_the_call_after_one_without_a_reply_uses_another_channel(self):
        async with self.open_peer() as (call, proxy):
            for _ in range(3):
                await call("k", SECOND)
                proxy.silence()
                with self.assertRaises(PeerUnreachable):
                    await call("k", SHORT)
                await call("k", SECOND)

    # Guards against a silent channel that is used again, as it had carried a reply beside a call
    # that waited for longer.
    async def test_a_reply_beside_a_slow_call_does_not_prove_a_channel(self):
        async with self.open_peer() as (call, proxy):
            for _ in range(3):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.call_slow, call)
                    await trio.sleep(SECOND.total_seconds() / 4)
                    await call("k", SECOND)
                    proxy.silence()
                await call("k", SECOND)

    async def call_slow(self, call):
        with self.assertRaises(PeerUnreachable):
            await call(SLOW_KEY, SECOND)

    @asynccontextmanager
    async def open_peer(self):
        async def echo(message):
            if message.key == SLOW_KEY:
                await trio.sleep_forever()
            return EchoReply(message.key)

        dispatcher, telemetry = Dispatcher(), MemoryTelemetry()
        dispatcher.handle(EchoRequest, echo)
        peers = GrpcPeers("node-1", telemetry, SETTINGS)
        async with trio.open_nursery() as nursery:
            address = await nursery.start(serve_peers, ANY_PORT, dispatcher, telemetry, SETTINGS)
            proxy = SilencingProxy(int(address.rpartition(":")[2]))
            listeners = await nursery.start(
                partial(trio.serve_tcp, proxy.handle, 0, host="127.0.0.1")
            )
            port = listeners[0].socket.getsockname()[1]

            async def call(key, timeout):
                return await peers.call(f"127.0.0.1:{port}", EchoRequest(key), timeout)

            yield call, proxy
            nursery.cancel_scope.cancel()
        peers.close()
