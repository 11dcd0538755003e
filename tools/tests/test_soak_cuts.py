"""Tests of the cuts of connections of the soak test."""

import sys
from functools import partial
from pathlib import Path

import trio
from mimosapoint.testing import TrioTestCase

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform"))

from tools.soak.proxy import CUT_MODES, Proxy  # noqa: E402 (needs the path)


class CutTest(TrioTestCase):
    async def open_proxy(self, nursery):
        """Return a proxy to a server that sends back what it receives, and what it received."""
        received = []

        async def echo(stream):
            try:
                async for data in stream:
                    received.append(bytes(data))
                    await stream.send_all(data)
            except trio.BrokenResourceError:
                received.append("reset")

        (listener,) = await nursery.start(partial(trio.serve_tcp, host="127.0.0.1"), echo, 0)
        proxy = Proxy(listener.socket.getsockname()[1])
        await nursery.start(proxy.run)
        return proxy, received

    async def outcome_of(self, stream):
        """Return what an exchange on a connection shows to the client."""
        with trio.move_on_after(0.2):
            try:
                await stream.send_all(b"x")
                return "reply" if await stream.receive_some() else "end"
            except trio.BrokenResourceError:
                return "reset"
        return "silent"

    async def connect(self, proxy):
        host, _, port = proxy.address.rpartition(":")
        # A connection attempt to one address, whose error is not wrapped.
        socket = trio.socket.socket()
        await socket.connect((host, int(port)))
        return trio.SocketStream(socket)

    async def new_outcome(self, proxy):
        try:
            return await self.outcome_of(await self.connect(proxy))
        except ConnectionRefusedError:
            return "refused"

    # Guards against a soak that misses a fault, as a cut shows its clients something else.
    async def test_a_cut_shows_on_open_and_on_new_connections(self):
        cases = {
            "refuse": ("reset", "refused", ["reset"]),
            "reset": ("reset", "reset", ["reset"]),
            "up": ("silent", "silent", []),
            "down": ("silent", "silent", [b"x", b"x"]),
        }
        self.assertEqual(set(CUT_MODES), set(cases))
        for mode, (on_open, on_new, seen) in cases.items():
            with self.subTest(mode=mode):
                async with trio.open_nursery() as nursery:
                    proxy, received = await self.open_proxy(nursery)
                    stream = await self.connect(proxy)
                    self.assertEqual("reply", await self.outcome_of(stream))
                    received.clear()
                    async with proxy.cut_by(mode):
                        self.assertEqual(on_open, await self.outcome_of(stream))
                        self.assertEqual(on_new, await self.new_outcome(proxy))
                        self.assertEqual(seen, received)
                    self.assertEqual("reply", await self.new_outcome(proxy))
                    nursery.cancel_scope.cancel()

    # Guards against a cut that ends with another one that it overlaps.
    async def test_overlapping_cuts_last_until_the_last_one_ends(self):
        for mode, expected in (("refuse", "refused"), ("reset", "reset"), ("down", "silent")):
            with self.subTest(mode=mode):
                async with trio.open_nursery() as nursery:
                    proxy, _ = await self.open_proxy(nursery)
                    async with proxy.cut_by(mode):
                        async with proxy.cut_by(mode):
                            self.assertEqual(expected, await self.new_outcome(proxy))
                        proxy.clear_faults()
                        self.assertEqual(expected, await self.new_outcome(proxy))
                    self.assertEqual("reply", await self.new_outcome(proxy))
                    nursery.cancel_scope.cancel()
