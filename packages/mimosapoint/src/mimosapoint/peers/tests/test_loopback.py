"""Tests of the in-memory network and of the wire format."""

from contextlib import asynccontextmanager
from datetime import timedelta

import trio

from mimosapoint.errors import CodecError, PeerUnreachable
from mimosapoint.peers import Dispatcher, LoopbackNetwork, LoopbackPeers, decode_reply, serve_bytes
from mimosapoint.peers.tests.contract import Connection, EchoReply, EchoRequest, PeersContract
from mimosapoint.testing import TrioTestCase

CALLER, CALLEE = "10.0.0.1:1", "10.0.0.2:1"
SECOND = timedelta(seconds=1)
MALFORMED_BYTES = (b"", b"\x00", b"\x00{", b"\x01[]", b"\x02{}", b'\x00{"no":1}', b"\xff" * 40)
# By name: how the fault is injected, and how often the callee serves the request meanwhile.
NETWORK_FAULTS = {
    "cut": (lambda n: n.cut(CALLER, CALLEE), 0),
    "cut to the callee": (lambda n: n.cut_one_way(CALLER, CALLEE), 0),
    "cut to the caller": (lambda n: n.cut_one_way(CALLEE, CALLER), 1),
    "lost reply": (lambda n: n.lose_replies(CALLER, CALLEE), 1),
    "frozen callee": (lambda n: n.freeze(CALLEE), 0),
    "slow": (lambda n: n.delay_link(CALLEE, CALLER, 2 * SECOND), 1),
}


class LoopbackTest(PeersContract, TrioTestCase):
    mock_clock = True

    @asynccontextmanager
    async def connect(self, dispatcher):
        self.network = LoopbackNetwork()
        self.network.join(CALLEE, dispatcher)
        yield Connection(LoopbackPeers(CALLER, self.network), CALLEE, "10.0.0.3:1")

    async def test_injected_faults(self):
        for name, (inject, effects) in NETWORK_FAULTS.items():
            with self.subTest(name):
                async with self.open_connection() as connection:
                    inject(self.network)
                    with self.assertRaises(PeerUnreachable):
                        await connection.peers.call(connection.address, EchoRequest("k"), SECOND)
                    self.assertEqual(self.effects["k"], effects)
                    self.network.heal(CALLER, CALLEE)
                    self.network.thaw(CALLEE)
                    reply = await connection.peers.call(
                        connection.address, EchoRequest("k"), SECOND
                    )
                    self.assertEqual(reply, EchoReply("k"))

    async def test_thawed_callee_serves_messages_held_back(self):
        async with self.open_connection() as connection:
            self.network.freeze(CALLEE)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    connection.peers.call, connection.address, EchoRequest("k"), 9 * SECOND
                )
                await trio.sleep(5)
                self.assertEqual(self.effects["k"], 0)
                self.network.thaw(CALLEE)
            self.assertEqual(self.effects["k"], 1)

    async def test_duplicate_is_served_twice(self):
        async with self.open_connection() as connection:
            self.network.duplicate(CALLER, CALLEE)
            await connection.peers.call(connection.address, EchoRequest("k"), SECOND)
            self.assertEqual(self.effects["k"], 2)


class WireTest(TrioTestCase):
    # The ends are the caller and the callee; "contract-ask" is the name of EchoRequest on the wire.
    async def test_malformed_bytes_raise_a_typed_error_at_both_ends(self):
        for data in MALFORMED_BYTES:
            with self.subTest(data=data):
                with self.assertRaises(CodecError):
                    decode_reply("contract-ask", data)
                reply = await serve_bytes(Dispatcher(), "contract-ask", data)
                with self.assertRaises(CodecError):
                    decode_reply("contract-ask", reply)
