"""Tests of the in-memory peers."""

from contextlib import asynccontextmanager
from datetime import timedelta

import trio

from mimosapoint.errors import CodecError, PeerUnreachable
from mimosapoint.peers import Dispatcher, LoopbackNetwork, LoopbackPeers, decode_reply, serve_bytes
from mimosapoint.peers.tests.contract import Answer, Ask, Link, PeersContract
from mimosapoint.testing import TrioTestCase

CALLER, CALLEE = "10.0.0.1:1", "10.0.0.2:1"
SECOND = timedelta(seconds=1)
GARBAGE = (b"", b"\x00", b"\x00{", b"\x01[]", b"\x02{}", b'\x00{"no":1}', b"\xff" * 40)
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
    async def link(self, dispatcher):
        self.network = LoopbackNetwork()
        self.network.join(CALLEE, dispatcher)
        yield Link(LoopbackPeers(CALLER, self.network), CALLEE, "10.0.0.3:1")

    async def test_faults_to_order(self):
        for name, (order, effects) in NETWORK_FAULTS.items():
            with self.subTest(name):
                async with self.open() as link:
                    order(self.network)
                    with self.assertRaises(PeerUnreachable):
                        await link.peers.call(link.address, Ask("k"), SECOND)
                    self.assertEqual(self.effects["k"], effects)
                    self.network.heal(CALLER, CALLEE)
                    self.network.thaw(CALLEE)
                    reply = await link.peers.call(link.address, Ask("k"), SECOND)
                    self.assertEqual(reply, Answer("k"))

    async def test_thawed_callee_serves_what_was_held(self):
        async with self.open() as link:
            self.network.freeze(CALLEE)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.peers.call, link.address, Ask("k"), 9 * SECOND)
                await trio.sleep(5)
                self.assertEqual(self.effects["k"], 0)
                self.network.thaw(CALLEE)
            self.assertEqual(self.effects["k"], 1)

    async def test_duplicate_is_served_twice(self):
        async with self.open() as link:
            self.network.duplicate(CALLER, CALLEE)
            await link.peers.call(link.address, Ask("k"), SECOND)
            self.assertEqual(self.effects["k"], 2)


class WireTest(TrioTestCase):
    async def test_garbage_gets_a_typed_error_at_both_ends(self):
        for data in GARBAGE:
            with self.subTest(data=data):
                with self.assertRaises(CodecError):
                    decode_reply("contract-ask", data)
                reply = await serve_bytes(Dispatcher(), "contract-ask", data)
                with self.assertRaises(CodecError):
                    decode_reply("contract-ask", reply)
