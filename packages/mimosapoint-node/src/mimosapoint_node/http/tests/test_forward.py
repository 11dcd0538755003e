"""Tests of requests that are forwarded to another node."""

import unittest
from contextlib import asynccontextmanager
from random import Random
from unittest import mock

import trio
from mimosapoint.errors import (
    BadRequest,
    OutcomeUnknown,
    Overloaded,
    PeerRefused,
    PeerUnreachable,
    StoreUnavailable,
)
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase

from mimosapoint_node.http import Forwarder, HttpLimits, Reply, serve
from mimosapoint_node.http._exchange import Exchange
from mimosapoint_node.http.forward import BACKOFF_SECONDS, FORWARDED_HEADER
from mimosapoint_node.platform import HttpClient
from mimosapoint_node.platform import Reply as ClientReply

HEADERS = {"host": "h.example", "authorization": "Bearer k", "cookie": "private"}
OVERLOADED = Overloaded("the view is old")
OUTCOME_UNKNOWN = OutcomeUnknown("no answer")
CLOSED_ADDRESS = "127.0.0.1:1"
NOT_CONNECTED = PeerRefused("not connected")
NO_REPLY = PeerUnreachable("no reply")
CALLER_TIME_SECONDS = 2.1
"""Part of the 3 s for which callers wait that is left after a write got no answer on this node and
time is kept for the reply, in seconds."""


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

    async def test_a_write_without_a_reply_has_an_unknown_outcome(self):
        for node in (FakeNode(is_silent=True), FakeNode(504), FakeNode(500)):
            with self.subTest(status=node.status, is_silent=node.is_silent):
                async with self.open(node) as forwarder:
                    for method in ("POST", "DELETE"):
                        await trio.sleep(BACKOFF_SECONDS)
                        with self.assertRaises(PeerUnreachable):
                            await self.forward(forwarder, method=method)

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


class FakeNodes:
    """Other nodes behind a fake client, on a mock clock; each is at an address equal to its id.

    :param result_by_node: status of the replies of each node, or the error of calls to it.
    :param seconds: duration of every call.
    """

    def __init__(self, result_by_node, seconds=0.001):
        self.result_by_node = result_by_node
        self.seconds = seconds
        self.called_nodes = []

    def addresses(self):
        return {node: node for node in self.result_by_node}

    async def call(self, method, address, *args, **kwargs):
        self.called_nodes.append(address)
        await trio.sleep(self.seconds)
        result = self.result_by_node[address]
        if isinstance(result, Exception):
            raise result
        return ClientReply(result, {}, b"{}")


class NodeChoiceTest(TrioTestCase):
    mock_clock = True

    def open(self, result_by_node, seconds=0.001, seed=1, owner=""):
        self.nodes = FakeNodes(result_by_node, seconds)
        patch = mock.patch.object(HttpClient, "call", self.nodes.call)
        patch.start()
        self.addCleanup(patch.stop)
        telemetry = MemoryTelemetry(strict=True)
        self.forwarder = Forwarder(self.nodes.addresses, telemetry, Random(seed), lambda: owner)

    async def forward(self, error=OVERLOADED, method="POST", **times):
        reply = await self.forwarder.forward(error, method, "/q/1", HEADERS, b"", **times)
        return None if reply is None else reply.status

    # Guards against callers that get 503 for long while a minority of the nodes can serve.
    async def test_nodes_that_serve_are_found_among_many_that_refuse(self):
        results = {f"old-{number}": 503 for number in range(30)}
        self.open(results | {f"new-{number}": 200 for number in range(7)})
        for _ in range(10):
            await self.forward()
        self.assertEqual([200] * 100, [await self.forward() for _ in range(100)])

    # Guards against an error that stands after one refusal although another node would serve.
    async def test_another_node_is_tried_after_a_refusal(self):
        for refusal in (429, 503, NOT_CONNECTED):
            for error in (OVERLOADED, OUTCOME_UNKNOWN):
                for method in ("POST", "GET", "DELETE"):
                    for seed in range(4):
                        with self.subTest(refusal=refusal, error=error, method=method, seed=seed):
                            self.open({"a": refusal, "b": refusal, "c": 200}, seed=seed)
                            self.assertEqual(200, await self.forward(error, method))

    # Guards against attempts, and time, spent again and again on nodes that just failed.
    async def test_a_node_that_failed_is_tried_after_the_others(self):
        for failure in (429, 503, 504, 500, NOT_CONNECTED, NO_REPLY):
            with self.subTest(failure=failure):
                self.open({"bad": failure, "good": 200})
                for _ in range(50):
                    await self.forward(method="GET")
                self.assertLessEqual(self.nodes.called_nodes.count("bad"), 1)

    # Guards against attempts at unknown nodes while one is known to serve.
    async def test_a_node_that_served_is_tried_before_unknown_ones(self):
        self.open({"known": 200})
        await self.forward()
        self.nodes.result_by_node.update({f"unknown-{number}": 503 for number in range(20)})
        for _ in range(20):
            self.assertEqual(200, await self.forward())
        self.assertEqual({"known"}, set(self.nodes.called_nodes))

    # Guards against all load on one node while several are known to serve.
    async def test_load_is_spread_over_the_nodes_that_serve(self):
        self.open({node: 200 for node in "abcd"})
        async with trio.open_nursery() as nursery:
            for _ in range(40):
                nursery.start_soon(self.forward)
        self.nodes.called_nodes.clear()
        for _ in range(200):
            await self.forward()
        for node in "abcd":
            self.assertGreater(self.nodes.called_nodes.count(node), 25)

    # Guards against a back-off while a node that was not tried may serve.
    async def test_backoff_begins_when_every_node_has_refused(self):
        self.open({f"n{number}": 503 for number in range(6)})
        for _ in range(2):
            self.assertTrue(self.forwarder.can_forward())
            self.assertIsNone(await self.forward())
        self.assertEqual(self.nodes.addresses().keys(), set(self.nodes.called_nodes))
        self.assertEqual(6, len(self.nodes.called_nodes))

    # Guards against reads that are refused in an outage of the store although the owner knows.
    async def test_a_read_asks_the_owner_even_while_no_node_can_serve(self):
        self.open({f"n{number}": 503 for number in range(6)}, owner="n4")
        for _ in range(2):
            await self.forward()
        self.assertFalse(self.forwarder.can_forward())
        self.nodes.result_by_node["n4"] = 200
        self.assertIsNone(await self.forward())
        self.nodes.called_nodes.clear()
        self.assertEqual(200, await self.forward(method="GET"))
        self.assertEqual(["n4"], self.nodes.called_nodes)

    # Guards against many attempts and waits while no node can serve.
    async def test_requests_are_refused_at_once_while_no_node_can_serve(self):
        self.open({f"n{number}": 503 for number in range(38)})
        start = trio.current_time()
        while trio.current_time() < start + 20:
            await self.forward()
            await trio.sleep(0.01)
        self.assertLess(len(self.nodes.called_nodes), 38 + 20 / BACKOFF_SECONDS * 3 + 3)
        for _ in range(38):
            await self.forward()
        self.assertFalse(self.forwarder.can_forward())
        now = trio.current_time()
        self.assertIsNone(await self.forward())
        self.assertEqual(now, trio.current_time())

    # Guards against a back-off that withholds a node which has just joined or come back.
    async def test_a_node_that_joins_ends_the_backoff(self):
        self.open({"a": 503})
        await self.forward()
        self.assertFalse(self.forwarder.can_forward())
        self.nodes.result_by_node["b"] = 200
        self.assertTrue(self.forwarder.can_forward())
        self.assertEqual(200, await self.forward())

    # Guards against nodes that stay unused after they can serve again.
    async def test_nodes_that_recover_are_used_again(self):
        self.open({"a": 503, "b": 503})
        await self.forward()
        self.nodes.result_by_node.update({"a": 200, "b": 200})
        await trio.sleep(BACKOFF_SECONDS)
        self.assertEqual(200, await self.forward())

    # Guards against a job that runs twice or is reported as refused after an unknown outcome.
    async def test_no_node_is_tried_after_an_unknown_outcome(self):
        for failure in (500, 504, NO_REPLY):
            for method in ("POST", "GET", "DELETE"):
                with self.subTest(failure=failure, method=method):
                    self.open({"refuses": 503})
                    await self.forward()
                    self.nodes.result_by_node["fails"] = failure
                    self.nodes.result_by_node["refuses"] = 200
                    if method != "GET":
                        with self.assertRaises(PeerUnreachable):
                            await self.forward(method=method)
                    else:
                        self.assertIsNone(await self.forward(method=method))
                    self.assertEqual(["refuses", "fails"], self.nodes.called_nodes)

    # Guards against an unknown outcome that an earlier refusal of another node hides.
    async def test_an_unknown_outcome_after_a_refusal_is_unknown(self):
        for failure in (500, 504, NO_REPLY):
            for seed in range(4):
                with self.subTest(failure=failure, seed=seed):
                    self.open({"a": 503, "b": 429, "c": failure}, seed=seed)
                    with self.assertRaises(PeerUnreachable):
                        await self.forward()

    # Guards against attempts whose sum exceeds the time for which callers wait.
    async def test_attempts_end_within_the_time_of_the_caller(self):
        for seconds in (0.3, 0.7, 1.1, 5):
            for method in ("GET", "POST"):
                with self.subTest(seconds=seconds, method=method):
                    self.open({node: 503 for node in "abcdefgh"}, seconds)
                    start = trio.current_time()
                    if seconds == 5 and method == "POST":
                        with self.assertRaises(PeerUnreachable):
                            await self.forward(method=method)
                    else:
                        self.assertIsNone(await self.forward(method=method))
                    self.assertLess(trio.current_time() - start, CALLER_TIME_SECONDS)

    # Guards against attempts that end after a caller with little time has gone.
    async def test_attempts_end_before_the_reply_is_due(self):
        for patience in (0, 0.2, 0.7, 1.4):
            with self.subTest(patience=patience):
                self.open({node: 503 for node in "abcdefgh"}, 0.4)
                reply_by = trio.current_time() + patience
                self.assertIsNone(await self.forward(reply_by=reply_by))
                self.assertLessEqual(trio.current_time(), reply_by)


if __name__ == "__main__":
    unittest.main()
