"""Contract tests of the transport between nodes, in memory and over TCP."""

import socket

import trio
from mimosapoint.memory import MemoryNetwork
from mimosapoint.testing import TrioTestCase

from mimosapoint_node.tcp_transport import TcpTransport


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class TransportContract:
    """Tests that both adapters must pass."""

    def make_transports(self):
        """Return the transports of two nodes and an address without a listener."""
        raise NotImplementedError

    async def test_a_stream_carries_data_in_both_directions(self):
        client, server, _ = self.make_transports()

        async def echo(stream):
            async with stream:
                await stream.send_all(await stream.receive_some(100))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, echo)
            await trio.sleep(0.05)
            with trio.fail_after(3):
                async with await client.connect(server.address) as stream:
                    await stream.send_all(b"hello")
                    self.assertEqual(b"hello", await stream.receive_some(100))
                    self.assertEqual(b"", await stream.receive_some(100))
            nursery.cancel_scope.cancel()

    async def test_each_stream_has_its_own_handler(self):
        client, server, _ = self.make_transports()
        received = []

        async def record_stream(stream):
            received.append(bytes(await stream.receive_some(1)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, record_stream)
            await trio.sleep(0.05)
            with trio.fail_after(3):
                first, second = [await client.connect(server.address) for _ in range(2)]
                await second.send_all(b"2")
                await first.send_all(b"1")
                while len(received) < 2:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        self.assertEqual({b"1", b"2"}, set(received))

    async def test_an_address_without_a_listener_is_an_error(self):
        client, _, unused_address = self.make_transports()
        with trio.fail_after(3), self.assertRaises(OSError):
            await client.connect(unused_address)


class MemoryTransportTest(TransportContract, TrioTestCase):
    def make_transports(self):
        network = MemoryNetwork()
        return network.add("near"), network.add("far"), "nobody"


class TcpTransportTest(TransportContract, TrioTestCase):
    def make_transports(self):
        return TcpTransport(free_address()), TcpTransport(free_address()), free_address()
