"""Streams between nodes: one contract for memory and TCP."""

import socket

import trio
from mimosapoint.memory import MemoryNetwork
from mimosapoint.testing import TrioTestCase

from mimosapoint_node.tcp_transport import TcpTransport


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class NodeLinksContract:
    """What both adapters do."""

    def make(self):
        """Return the links of two nodes and an address where nobody is."""
        raise NotImplementedError

    async def test_both_ends_read_what_the_other_sends(self):
        near, far, _ = self.make()

        async def echo(stream):
            async with stream:
                await stream.send_all(await stream.receive_some(100))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(far.serve, echo)
            await trio.sleep(0.05)
            with trio.fail_after(3):
                async with await near.connect(far.address) as stream:
                    await stream.send_all(b"hello")
                    self.assertEqual(b"hello", await stream.receive_some(100))
                    self.assertEqual(b"", await stream.receive_some(100))
            nursery.cancel_scope.cancel()

    async def test_each_stream_has_its_own_handler(self):
        near, far, _ = self.make()
        served = []

        async def note(stream):
            served.append(bytes(await stream.receive_some(1)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(far.serve, note)
            await trio.sleep(0.05)
            with trio.fail_after(3):
                first, second = [await near.connect(far.address) for _ in range(2)]
                await second.send_all(b"2")
                await first.send_all(b"1")
                while len(served) < 2:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        self.assertEqual({b"1", b"2"}, set(served))

    async def test_a_node_that_is_not_there_is_an_error(self):
        near, _, nobody = self.make()
        with trio.fail_after(3), self.assertRaises(OSError):
            await near.connect(nobody)


class MemoryLinksTest(NodeLinksContract, TrioTestCase):
    def make(self):
        network = MemoryNetwork()
        return network.add("near"), network.add("far"), "nobody"


class TcpLinksTest(NodeLinksContract, TrioTestCase):
    def make(self):
        return TcpTransport(free_address()), TcpTransport(free_address()), free_address()
