"""Requests that are handed over to another node."""

import unittest
from contextlib import asynccontextmanager
from random import Random

import trio
from mimosapoint.errors import (
    BadRequest,
    OutcomeUnknown,
    Overloaded,
    PeerUnreachable,
    StoreUnavailable,
)
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase

from mimosapoint_node.http import Forwarder, HttpLimits, Reply, serve
from mimosapoint_node.http._exchange import Exchange
from mimosapoint_node.http.forward import FORWARDED_HEADER, REST_SECONDS

HEADERS = {"host": "h.example", "authorization": "Bearer k", "cookie": "private"}
NOT_HERE = Overloaded("the view is old")
UNKNOWN = OutcomeUnknown("no answer")
CLOSED = "127.0.0.1:1"


class Peer:
    """Another node, which answers every request with a status."""

    def __init__(self, status=200, cut=False):
        self.status = status
        self.cut = cut
        self.requests = []

    async def app(self, scope, receive, send):
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send, HttpLimits())
        body = await exchange.body()
        self.requests.append((exchange.method, exchange.path, exchange.headers(), body))
        if self.cut:
            await trio.sleep(10)
        headers = (("retry-after", "2"),)
        await exchange.reply(Reply(self.status, b"{}", headers=headers), None)


class ForwarderTest(TrioTestCase):
    @asynccontextmanager
    async def open(self, *peers, closed=0):
        self.telemetry = MemoryTelemetry(strict=True)
        nodes = {f"closed-{number}": CLOSED for number in range(closed)}
        async with trio.open_nursery() as nursery:
            for number, peer in enumerate(peers):
                nodes[f"n{number}"] = await nursery.start(
                    serve, peer.app, "127.0.0.1:0", HttpLimits(), trio.Event(), MemoryTelemetry()
                )
            forwarder = Forwarder(lambda: nodes, self.telemetry, Random(1))
            with trio.fail_after(5):
                yield forwarder
            nursery.cancel_scope.cancel()

    async def forward(self, forwarder, error=NOT_HERE, method="POST", headers=HEADERS):
        return await forwarder.forward(error, method, "/q/1", headers, b"body")

    async def test_the_whole_request_goes_along_and_the_answer_comes_back(self):
        peer = Peer()
        async with self.open(peer) as forwarder:
            reply = await self.forward(forwarder)
        self.assertEqual((200, b"{}"), (reply.status, reply.body))
        self.assertEqual((("retry-after", "2"),), reply.headers)
        method, path, headers, body = peer.requests[0]
        self.assertEqual(("POST", "/q/1", b"body"), (method, path, body))
        self.assertEqual("h.example", headers["host"])
        self.assertEqual("Bearer k", headers["authorization"])
        self.assertIn(FORWARDED_HEADER, headers)
        self.assertNotIn("cookie", headers)

    async def test_only_what_another_node_may_serve_is_handed_over_and_only_once(self):
        peer = Peer()
        forwarded = {**HEADERS, FORWARDED_HEADER: "overloaded"}
        async with self.open(peer) as forwarder:
            self.assertIsNone(await self.forward(forwarder, BadRequest("no job")))
            self.assertIsNone(await self.forward(forwarder, headers=forwarded))
            self.assertIsNotNone(await self.forward(forwarder, StoreUnavailable("turned away")))
        self.assertEqual(1, len(peer.requests))

    async def test_without_other_nodes_the_caller_gets_the_error(self):
        async with self.open() as forwarder:
            self.assertFalse(forwarder.may_help())
            self.assertIsNone(await self.forward(forwarder))

    async def test_a_node_that_is_not_there_is_passed_over(self):
        peer = Peer()
        async with self.open(peer, closed=1) as forwarder:
            for _ in range(6):
                self.assertEqual(200, (await self.forward(forwarder)).status)

    async def test_the_refusal_of_another_node_leaves_the_error_and_rests(self):
        peer = Peer(503)
        async with self.open(peer) as forwarder:
            self.assertIsNone(await self.forward(forwarder))
            self.assertIsNone(await self.forward(forwarder))
            self.assertEqual(1, len(peer.requests))
            await trio.sleep(REST_SECONDS)
            self.assertIsNone(await self.forward(forwarder, UNKNOWN))
            self.assertEqual(2, len(peer.requests))

    async def test_a_submission_without_an_answer_may_have_run_there(self):
        for peer in (Peer(cut=True), Peer(504), Peer(500)):
            with self.subTest(status=peer.status, cut=peer.cut):
                async with self.open(peer) as forwarder:
                    with self.assertRaises(PeerUnreachable):
                        await self.forward(forwarder)

    async def test_a_question_without_an_answer_leaves_the_error(self):
        async with self.open(Peer(cut=True)) as forwarder:
            self.assertIsNone(await self.forward(forwarder, method="GET"))

    async def test_only_a_success_settles_a_doubt(self):
        # The write may be stored: a key that was revoked since does not undo it.
        for method in ("POST", "DELETE"):
            for status in (401, 404, 409, 410):
                with self.subTest(method=method, status=status):
                    async with self.open(Peer(status)) as forwarder:
                        self.assertIsNone(await self.forward(forwarder, UNKNOWN, method))
            async with self.open(Peer(200)) as forwarder:
                reply = await self.forward(forwarder, UNKNOWN, method)
                self.assertEqual(200, reply.status)

    async def test_every_answer_of_another_node_settles_a_question(self):
        for status in (200, 401, 404, 410):
            with self.subTest(status=status):
                async with self.open(Peer(status)) as forwarder:
                    reply = await self.forward(forwarder, UNKNOWN, "GET")
                    self.assertEqual(status, reply.status)

    async def test_every_answer_settles_what_had_no_effect_here(self):
        for status in (200, 401, 404, 409, 410):
            with self.subTest(status=status):
                async with self.open(Peer(status)) as forwarder:
                    reply = await self.forward(forwarder)
                    self.assertEqual(status, reply.status)


if __name__ == "__main__":
    unittest.main()
