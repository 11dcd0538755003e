"""Tests of connections that go silent without a reset, while new ones work."""

import unittest
from contextlib import suppress
from datetime import timedelta
from functools import partial

import trio
from mimosapoint.errors import WorkerRefused, WorkerUnreachable

from mimosapoint_node.platform import HttpClient

CONNECTIONS = 16
TIMEOUT = timedelta(milliseconds=400)
LONG_POLL = timedelta(milliseconds=500)


class SilencingServer:
    """Server whose open connections can go silent.

    :param body: body of each reply.
    :ivar accepted: number of connections that were accepted.
    :ivar delay: time of each reply, in seconds.
    """

    def __init__(self, body=b"ok"):
        self._reply = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        self.accepted = 0
        self.delay = 0.02
        self._open = set()
        self._silent = set()

    def silence(self):
        """Send nothing more on the open connections."""
        self._silent |= self._open

    async def handle(self, stream):
        self.accepted += 1
        self._open.add(stream)
        with suppress(trio.BrokenResourceError):
            async for part in stream:
                for _ in range(part.count(b" HTTP/1.1\r\n")):
                    await trio.sleep(self.delay)
                    if stream not in self._silent:
                        await stream.send_all(self._reply)
        self._open.discard(stream)


class SilentConnectionTest(unittest.TestCase):
    def run_with_server(self, test):
        async def run():
            server = SilencingServer()
            client = HttpClient(
                WorkerRefused, WorkerUnreachable, timeout=TIMEOUT, connections=CONNECTIONS
            )
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    partial(trio.serve_tcp, server.handle, 0, host="127.0.0.1")
                )
                address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
                await self.open_connections(client, address)
                self.assertEqual(CONNECTIONS, server.accepted)
                with trio.fail_after(10):
                    await test(client, address, server)
                    await client.close()
                nursery.cancel_scope.cancel()

        trio.run(run)

    async def open_connections(self, client, address, count=CONNECTIONS):
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(client.call, "GET", address, "/")

    # Guards against calls that take one silent connection after the other, each for a timeout.
    def test_the_call_after_one_without_a_reply_opens_a_connection(self):
        async def test(client, address, server):
            server.silence()
            with self.assertRaises(WorkerUnreachable):
                await client.call("GET", address, "/")
            await client.call("GET", address, "/")
            self.assertEqual(CONNECTIONS + 1, server.accepted)
            # The new connection carries the next calls.
            await client.call("GET", address, "/")
            self.assertEqual(CONNECTIONS + 1, server.accepted)

        self.run_with_server(test)

    # Guards against the same for calls that their callers give up, such as repeated starts, and for
    # calls that overlap, such as renewals of a lease at the store.
    def test_a_call_beside_one_without_a_reply_opens_a_connection(self):
        async def test(client, address, server):
            for is_given_up in (True, False):
                server.silence()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.call_silent, client, address, is_given_up)
                    await trio.sleep(0.25)
                    with trio.fail_after(0.2):
                        await client.call("GET", address, "/")

        self.run_with_server(test)

    async def call_silent(self, client, address, is_given_up):
        with trio.move_on_after(0.2 if is_given_up else 10), suppress(WorkerUnreachable):
            await client.call("GET", address, "/")

    # Guards against a silent connection that is used again as it had carried a reply after a long
    # poll was sent, which was silent, too.
    def test_a_reply_beside_a_long_poll_does_not_prove_a_connection(self):
        async def test(client, address, server):
            for is_given_up in (True, False):
                async with trio.open_nursery() as nursery:
                    server.delay = 10
                    nursery.start_soon(self.poll_silent, client, address, is_given_up)
                    await trio.sleep(0.05)
                    server.delay = 0.02
                    for _ in range(2):
                        await self.open_connections(client, address, CONNECTIONS - 1)
                    server.silence()
                with trio.fail_after(0.2):
                    await client.call("GET", address, "/")

        self.run_with_server(test)

    async def poll_silent(self, client, address, is_given_up):
        with trio.move_on_after(LONG_POLL.total_seconds() + 0.2 if is_given_up else 10):
            with suppress(WorkerUnreachable):
                await client.call("GET", address, "/", extra_time=LONG_POLL)

    # Guards against handshakes for each call to a server that holds back replies, or that is slow
    # now and then.
    def test_connections_that_carry_replies_are_used_again(self):
        async def test(client, address, server):
            server.delay = 0.3
            for wait in (timedelta(seconds=1), timedelta(0)):
                await client.call("GET", address, "/", extra_time=wait)
            server.delay = 0.02
            await self.open_connections(client, address)
            self.assertLessEqual(server.accepted, CONNECTIONS)

        self.run_with_server(test)
