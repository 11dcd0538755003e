"""Tests of the HTTP client's use of connections."""

import unittest
from contextlib import suppress
from datetime import timedelta
from functools import partial
from unittest import mock

import trio
from mimosapoint.errors import WorkerRefused, WorkerUnreachable

from mimosapoint_node.platform import HttpClient, _connection_pool

REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CLOSING = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"


class Server:
    """Server with a fixed reply that counts accepted and open connections."""

    def __init__(self, reply=REPLY):
        self.reply = reply
        self.delay = 0.0
        self.accepted = 0
        self.open = 0

    async def handle(self, stream):
        self.accepted += 1
        self.open += 1
        try:
            async for part in stream:
                # The body may arrive apart from the head; only the head has the protocol's name.
                for _ in range(part.count(b" HTTP/1.1\r\n")):
                    await trio.sleep(self.delay)
                    await stream.send_all(self.reply)
        except trio.BrokenResourceError:
            pass  # Tests close connections early.
        finally:
            self.open -= 1


class ClientTest(unittest.TestCase):
    def run_with_server(self, test, server, **options):
        async def run():
            client = HttpClient(WorkerRefused, WorkerUnreachable, **options)
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    partial(trio.serve_tcp, server.handle, 0, host="127.0.0.1")
                )
                port = listeners[0].socket.getsockname()[1]
                with trio.fail_after(5):
                    await test(client, f"127.0.0.1:{port}")
                    await client.close()
                nursery.cancel_scope.cancel()

        trio.run(run)

    def test_calls_in_a_row_use_one_connection(self):
        async def test(client, address):
            for _ in range(3):
                reply = await client.call("POST", address, "/", b"body")
                self.assertEqual(b"ok", reply.body)

        server = Server()
        self.run_with_server(test, server)
        self.assertEqual(1, server.accepted)

    def test_a_call_checks_only_one_idle_connection(self):
        checks = []

        async def test(client, address):
            await self.call_at_once(client, address, 4)
            expired = _connection_pool.httpcore.AsyncHTTPConnection.has_expired
            with mock.patch.object(
                _connection_pool.httpcore.AsyncHTTPConnection,
                "has_expired",
                lambda connection: checks.append(1) or expired(connection),
            ):
                await client.call("GET", address, "/")

        server = Server()
        server.delay = 0.01
        self.run_with_server(test, server)
        self.assertEqual((4, 1), (server.accepted, len(checks)))

    def test_the_number_of_connections_is_limited(self):
        async def test(client, address):
            await self.call_at_once(client, address, 9)

        server = Server()
        server.delay = 0.01
        self.run_with_server(test, server, connections=3)
        self.assertEqual(3, server.accepted)

    def test_a_connection_that_the_server_closes_is_not_used_again(self):
        async def test(client, address):
            for _ in range(3):
                await client.call("GET", address, "/")

        server = Server(CLOSING)
        self.run_with_server(test, server)
        self.assertEqual(3, server.accepted)

    def test_a_call_that_takes_too_long_closes_its_connection(self):
        async def test(client, address):
            with self.assertRaises(WorkerUnreachable):
                await client.call("GET", address, "/")
            await trio.sleep(0.2)
            server.delay = 0.0
            await client.call("GET", address, "/")
            self.assertEqual(1, server.open)

        server = Server()
        server.delay = 0.2
        self.run_with_server(test, server, timeout=timedelta(milliseconds=100))
        self.assertEqual(2, server.accepted)

    # Guards against the incident LOST: a transfer that is ended although it makes progress.
    def test_a_reply_may_take_longer_than_the_timeout_while_parts_of_it_arrive(self):
        async def handle(stream):
            await stream.receive_some()
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n")
            for _ in range(8):
                await trio.sleep(0.05)
                await stream.send_all(b"x")

        async def test(client, address):
            reply = await client.call("GET", address, "/")
            self.assertEqual(b"x" * 8, reply.body)

        server = Server()
        server.handle = handle
        self.run_with_server(test, server, timeout=timedelta(milliseconds=150))

    # Guards against a call that never ends, as a few bytes of its reply arrive again and again.
    def test_a_reply_that_trickles_is_ended(self):
        async def handle(stream):
            await stream.receive_some()
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n")
            with suppress(trio.BrokenResourceError):
                while True:
                    await trio.sleep(0.05)
                    await stream.send_all(b"x")

        async def test(client, address):
            limit = timedelta(milliseconds=300)
            with mock.patch.object(_connection_pool, "TRANSFER_LIMIT", limit), trio.fail_after(1):
                with self.assertRaisesRegex(WorkerUnreachable, "not complete after 0.3 s"):
                    await client.call("GET", address, "/")

        server = Server()
        server.handle = handle
        self.run_with_server(test, server, timeout=timedelta(milliseconds=150))

    # Guards against a time-out whose message hides that a part of the reply had arrived.
    def test_the_error_of_an_incomplete_reply_tells_how_much_has_arrived(self):
        async def test(client, address):
            expected = "only 2 bytes of the reply, no more within 0.1 s"
            with self.assertRaisesRegex(WorkerUnreachable, expected):
                await client.call("GET", address, "/")

        server = Server(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
        self.run_with_server(test, server, timeout=timedelta(milliseconds=100))

    def test_a_call_that_gets_no_connection_in_time_has_no_effect(self):
        async def test(client, address):
            async with trio.open_nursery() as nursery:

                async def occupy():
                    with self.assertRaises(WorkerUnreachable):
                        await client.call("GET", address, "/", extra_time=timedelta(seconds=1))

                nursery.start_soon(occupy)
                await trio.sleep(0.05)
                with self.assertRaises(WorkerRefused):
                    await client.call("GET", address, "/")

        server = Server()
        server.delay = 2.0
        self.run_with_server(test, server, timeout=timedelta(milliseconds=100), connections=1)

    def test_connections_that_are_idle_for_too_long_are_closed(self):
        async def test(client, address):
            await self.call_at_once(client, address, 3)
            await trio.sleep(0.05)
            with mock.patch.object(_connection_pool, "IDLE_TIMEOUT", timedelta(milliseconds=20)):
                await client.call("GET", address, "/")
            await trio.sleep(0.01)
            self.assertEqual(1, server.open)

        server = Server()
        server.delay = 0.01
        self.run_with_server(test, server)

    async def call_at_once(self, client, address, count):
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(client.call, "GET", address, "/")


if __name__ == "__main__":
    unittest.main()
