"""Tests of requests that are forwarded to another node."""

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
from mimosapoint_node.http.forward import BACKOFF_SECONDS, FORWARDED_HEADER

HEADERS = {"host": "h.example", "authorization": "Bearer k", "cookie": "private"}
OVERLOADED = Overloaded("the view is old")
OUTCOME_UNKNOWN = OutcomeUnknown("no answer")
CLOSED_ADDRESS = "127.0.0.1:1"


class FakeNode:
    """Another node that replies to every request with a status, or not at all when silent."""

    def __init__(self, status=200, is_silent=False):
        self.status = status
        self.is_silent = is_silent
        self.requests = []

    async def app(self, scope, receive, send):
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send, HttpLimits())
        body = await exchange.body()
        self.requests.append((exchange.method, exchange.path, exchange.headers(), body))
        if self.is_silent:
            await trio.sleep(10)
        headers = (("retry-after", "2"),)
        await exchange.reply(Reply(self.status, b"{}", headers=headers), None)


class ForwarderTest(TrioTestCase):
    @asynccontextmanager
    async def open(self, *served_nodes, closed=0):
        self.telemetry = MemoryTelemetry(strict=True)
        nodes = {f"closed-{number}": CLOSED_ADDRESS for number in range(closed)}
        async with trio.open_nursery() as nursery:
            for number, node in enumerate(served_nodes):
                nodes[f"n{number}"] = await nursery.start(
                    serve, node.app, "127.0.0.1:0", HttpLimits(), trio.Event(), MemoryTelemetry()
                )
            forwarder = Forwarder(lambda: nodes, self.telemetry, Random(1))
            with trio.fail_after(5):
                yield forwarder
            nursery.cancel_scope.cancel()

    async def forward(self, forwarder, error=OVERLOADED, method="POST", headers=HEADERS):
        return await forwarder.forward(error, method, "/q/1", headers, b"body")

    async def test_request_and_reply_are_forwarded(self):
        node = FakeNode()
        async with self.open(node) as forwarder:
            reply = await self.forward(forwarder)
        self.assertEqual((200, b"{}"), (reply.status, reply.body))
        self.assertEqual((("retry-after", "2"),), reply.headers)
        method, path, headers, body = node.requests[0]
        self.assertEqual(("POST", "/q/1", b"body"), (method, path, body))
        self.assertEqual("h.example", headers["host"])
        self.assertEqual("Bearer k", headers["authorization"])
        self.assertIn(FORWARDED_HEADER, headers)
        self.assertNotIn("cookie", headers)

    async def test_only_eligible_requests_are_forwarded_and_only_once(self):
        node = FakeNode()
        forwarded = {**HEADERS, FORWARDED_HEADER: "overloaded"}
        async with self.open(node) as forwarder:
            self.assertIsNone(await self.forward(forwarder, BadRequest("no job")))
            self.assertIsNone(await self.forward(forwarder, headers=forwarded))
            self.assertIsNotNone(await self.forward(forwarder, StoreUnavailable("refused")))
        self.assertEqual(1, len(node.requests))

    async def test_without_other_nodes_the_caller_gets_the_error(self):
        async with self.open() as forwarder:
            self.assertFalse(forwarder.can_forward())
            self.assertIsNone(await self.forward(forwarder))

    async def test_unreachable_nodes_are_skipped(self):
        node = FakeNode()
        async with self.open(node, closed=1) as forwarder:
            for _ in range(6):
                self.assertEqual(200, (await self.forward(forwarder)).status)

    async def test_refusal_of_another_node_keeps_the_error_and_starts_the_backoff(self):
        node = FakeNode(503)
        async with self.open(node) as forwarder:
            self.assertIsNone(await self.forward(forwarder))
            self.assertIsNone(await self.forward(forwarder))
            self.assertEqual(1, len(node.requests))
            await trio.sleep(BACKOFF_SECONDS)
            self.assertIsNone(await self.forward(forwarder, OUTCOME_UNKNOWN))
            self.assertEqual(2, len(node.requests))

    async def test_submission_without_a_reply_has_an_unknown_outcome(self):
        for node in (FakeNode(is_silent=True), FakeNode(504), FakeNode(500)):
            with self.subTest(status=node.status, is_silent=node.is_silent):
                async with self.open(node) as forwarder:
                    with self.assertRaises(PeerUnreachable):
                        await self.forward(forwarder)

    async def test_read_without_a_reply_keeps_the_error(self):
        async with self.open(FakeNode(is_silent=True)) as forwarder:
            self.assertIsNone(await self.forward(forwarder, method="GET"))

    async def test_only_a_success_resolves_an_unknown_outcome(self):
        # The write may be stored, and a key that was revoked since does not undo it.
        for method in ("POST", "DELETE"):
            for status in (401, 404, 409, 410):
                with self.subTest(method=method, status=status):
                    async with self.open(FakeNode(status)) as forwarder:
                        self.assertIsNone(await self.forward(forwarder, OUTCOME_UNKNOWN, method))
            async with self.open(FakeNode(200)) as forwarder:
                reply = await self.forward(forwarder, OUTCOME_UNKNOWN, method)
                self.assertEqual(200, reply.status)

    async def test_every_reply_resolves_a_read(self):
        for status in (200, 401, 404, 410):
            with self.subTest(status=status):
                async with self.open(FakeNode(status)) as forwarder:
                    reply = await self.forward(forwarder, OUTCOME_UNKNOWN, "GET")
                    self.assertEqual(status, reply.status)

    async def test_every_reply_is_returned_after_an_error_without_effect(self):
        for status in (200, 401, 404, 409, 410):
            with self.subTest(status=status):
                async with self.open(FakeNode(status)) as forwarder:
                    reply = await self.forward(forwarder)
                    self.assertEqual(status, reply.status)


if __name__ == "__main__":
    unittest.main()
