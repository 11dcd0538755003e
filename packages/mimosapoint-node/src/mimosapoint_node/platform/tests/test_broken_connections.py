"""Tests of connections that break: only what was certainly not sent counts as without effect."""

import socket
import struct
from functools import partial

import trio
from mimosapoint.errors import WorkerNotListening, WorkerRefused, WorkerUnreachable
from mimosapoint.testing import TrioTestCase

from mimosapoint_node.platform import HttpClient

REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
PART_OF_REPLY = REPLY[:20]
NO_LINGER = struct.pack("ii", 1, 0)
"""Value of the socket option with which a connection ends by a reset."""


class BreakingServer:
    """Server that carries out each request and then breaks the connections on which it is told to.

    :param last_reply: what it sends before it breaks the connection.
    :param resets: whether it breaks it by a reset.
    :ivar carried_out: number of requests that arrived.
    """

    def __init__(self, last_reply, resets):
        self.carried_out = 0
        self.breaks = False
        self._last_reply = last_reply
        self._resets = resets

    async def handle(self, stream):
        async for part in stream:
            self.carried_out += part.count(b" HTTP/1.1\r\n")
            await stream.send_all(self._last_reply if self.breaks else REPLY)
            if self.breaks:
                break
        if self._resets:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


class BrokenConnectionTest(TrioTestCase):
    # Guards against a start that is sent to another worker, as it counts as never sent although the
    # first one has begun it: the connection broke, and the next one is refused.
    async def test_a_request_that_was_carried_out_never_counts_as_not_sent(self):
        for earlier_calls in (0, 1):
            for last_reply in (b"", PART_OF_REPLY):
                for resets in (False, True):
                    with self.subTest(calls=earlier_calls, last_reply=last_reply, resets=resets):
                        await self.break_connection(
                            earlier_calls, BreakingServer(last_reply, resets)
                        )

    async def break_connection(self, earlier_calls, server):
        client = HttpClient(
            WorkerRefused, WorkerUnreachable, not_listening_error=WorkerNotListening
        )
        async with trio.open_nursery() as nursery, trio.open_nursery() as listening:
            serve = partial(trio.serve_tcp, handler_nursery=nursery)
            (listener,) = await listening.start(partial(serve, server.handle, 0, host="127.0.0.1"))
            address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
            for _ in range(earlier_calls):
                await client.call("POST", address, "/")
            server.breaks = True
            with self.assertRaises(WorkerUnreachable):
                await client.call("POST", address, "/")
            self.assertEqual(earlier_calls + 1, server.carried_out)
            listening.cancel_scope.cancel()
            await listener.aclose()
            with self.assertRaises(WorkerNotListening):
                await client.call("POST", address, "/")
            self.assertEqual(earlier_calls + 1, server.carried_out)
            await client.close()
            nursery.cancel_scope.cancel()
