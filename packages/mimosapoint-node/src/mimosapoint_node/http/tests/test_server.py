"""Tests of limits, disconnects and graceful shutdown."""

import os
import time
from datetime import timedelta

import httpcore
import orjson
import trio
from mimosapoint.model import Succeeded
from mimosapoint.testing import TrioTestCase

from mimosapoint_node.http import HttpLimits, serve
from mimosapoint_node.http.tests.fakes import AppFixture, job_body, key

SHORT_TIMEOUT = timedelta(seconds=0.05)
JOBS = ("POST", "/v1/jobs")
WEBSOCKET = (
    b"GET /v1/jobs HTTP/1.1\r\nhost: x\r\nupgrade: websocket\r\nconnection: upgrade\r\n"
    b"sec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
)


async def wait_until(condition):
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.005)


class LimitsTest(TrioTestCase):
    async def test_requests_over_the_limit_are_refused_immediately(self):
        async with AppFixture(HttpLimits(in_flight=1)).served() as node:
            node.jobs.submit_allowed = trio.Event()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.call, *JOBS, job_body(), key())
                await node.jobs.call_started.wait()
                status, headers, _ = await node.call("GET", "/v1/jobs?workspace=w")
                self.assertEqual((429, "1"), (status, headers["retry-after"]))
                for target in ("/healthz", "/readyz", "/metrics"):
                    self.assertEqual(200, (await node.call("GET", target))[0])
                node.jobs.submit_allowed.set()
            self.assertEqual(200, (await node.call("GET", "/v1/jobs?workspace=w"))[0])

    async def test_waits_over_the_limit_are_refused_before_the_job_is_accepted(self):
        async with AppFixture(HttpLimits(max_waiting=1)).served() as node:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.call, "POST", "/v1/jobs?wait=60", job_body(), key())
                await node.jobs.call_started.wait()
                reply = await node.call("POST", "/v1/jobs?wait=60", job_body(), key("k2"))
                self.assertEqual((429, 1), (reply[0], len(node.jobs.requests)))
                self.assertEqual(202, (await node.call(*JOBS, job_body(), key("k3")))[0])
                node.jobs.ended.set()

    async def test_connections_over_the_limit_are_closed(self):
        async with AppFixture(HttpLimits(connections=1)).served() as node:
            host, port = node.address.split(":")
            first = await trio.open_tcp_stream(host, int(port))
            second = await trio.open_tcp_stream(host, int(port))
            with trio.fail_after(5):
                self.assertEqual(b"", await second.receive_some())
            await first.aclose()
            await second.aclose()
            await wait_until(
                lambda: ("http_connections_refused_total", {}) in node.telemetry.counts
            )

    # Guards against connections that count until the idle timeout after their callers have left;
    # at the limit, those of further callers are closed without a reply.
    async def test_a_connection_ends_when_its_caller_closes_it(self):
        async with AppFixture(HttpLimits(connections=1)).served() as node:
            for number in range(3):
                for http2 in (False, True):
                    with self.subTest(number=number, http2=http2):
                        reply = await node.call("GET", "/healthz", http2=http2)
                        self.assertEqual(200, reply[0])
                        await trio.sleep(0.1)

    # Guards against connections of callers that went silent without closing them, which are kept
    # while those of others are refused.
    async def test_connections_of_silent_callers_end_at_their_timeouts(self):
        stages = (
            b"",
            b"GET /half",
            b"POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n{",
            b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n",
            b"GET /v1/jobs?workspace=w HTTP/1.1\r\nhost: x\r\n\r\n",
            b"POST /v1/jobs?wait=0.5 HTTP/1.1\r\nhost: x\r\nidempotency-key: a\r\n"
            b"content-length: %d\r\n\r\n%b" % (len(job_body()), job_body()),
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0\0\0\4\0\0\0\0\0",
        )
        half = timedelta(seconds=0.5)
        limits = HttpLimits(
            connections=len(stages),
            max_wait=half,
            body_timeout=half,
            idle_timeout=half,
            send_timeout=half,
        )
        async with AppFixture(limits).served() as node:
            await node.call(*JOBS, job_body(), key())
            node.jobs.end("mvd-centro~1-a", Succeeded(("x" * 20_000_000,)))
            node.jobs.ended, node.jobs.call_started = trio.Event(), trio.Event()
            host, port = node.address.split(":")
            silent = [await trio.open_tcp_stream(host, int(port)) for _ in stages]
            for stream, sent in zip(silent, stages):
                await stream.send_all(sent)
            await node.jobs.call_started.wait()
            with self.assertRaises((httpcore.NetworkError, httpcore.RemoteProtocolError)):
                await node.call("GET", "/healthz")
            await trio.sleep(2)
            connected = [await trio.open_tcp_stream(host, int(port)) for _ in stages]
            for stream in connected:
                await stream.send_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")
                with trio.fail_after(5):
                    self.assertEqual(b"HTTP/1.1 200", (await stream.receive_some())[:12])
            for stream in silent + connected:
                await stream.aclose()

    async def test_malformed_and_slow_requests_are_ended(self):
        limits = HttpLimits(
            header_bytes=2000,
            body_timeout=SHORT_TIMEOUT,
            idle_timeout=SHORT_TIMEOUT,
            max_wait=timedelta(seconds=0.1),
        )
        start = b"POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n"
        cases = (
            (b"GET / HTTP/1.1\r\nhost: x\r\nbig: " + b"x" * 4000, b"HTTP/1.1 431"),
            (b"not http\r\n\r\n", b"HTTP/1.1 400"),
            (b"GET / HTTP/1.1\r\n\r\n", b"HTTP/1.1 400"),
            (WEBSOCKET, b"HTTP/1.1 "),
            (start + b"{", b"HTTP/1.1 408"),
            (b"GET /half", b""),
            (b"", b""),
            (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0" * 9 + b"garbage", b"\0"),
        )
        async with AppFixture(limits).served() as node:
            for sent, expected in cases:
                with self.subTest(sent=sent[:30]):
                    got = await self.send_raw(node, sent)
                    self.assertEqual(expected, got[: len(expected)])
                    self.assertEqual(bool(expected), bool(got))
            self.assertEqual(200, (await node.call("GET", "/healthz"))[0])

    async def send_raw(self, node, sent):
        host, port = node.address.split(":")
        stream = await trio.open_tcp_stream(host, int(port))
        got = b""
        with trio.fail_after(5):
            await stream.send_all(sent)
            async for part in stream:
                got += part
        await stream.aclose()
        return got

    async def test_a_body_over_the_discard_limit_closes_only_its_connection(self):
        async with AppFixture(HttpLimits(body_bytes=1000)).served() as node:
            for http2 in (False, True):
                try:
                    reply = await node.call(*JOBS, b" " * 5_000_000, key(), http2)
                    self.assertEqual(413, reply[0])
                except (httpcore.NetworkError, httpcore.RemoteProtocolError):
                    pass
                self.assertEqual(200, (await node.call("GET", "/healthz", http2=http2))[0])


class DisconnectTest(TrioTestCase):
    async def test_a_caller_that_leaves_cancels_the_wait_and_not_the_job(self):
        for http2 in (False, True):
            with self.subTest(http2=http2):
                async with AppFixture().served() as node:
                    async with trio.open_nursery() as nursery:
                        target = "/v1/jobs?wait=60"
                        nursery.start_soon(node.call, "POST", target, job_body(), key(), http2)
                        await node.jobs.call_started.wait()
                        await wait_until(lambda: node.jobs.views_by_id)
                        await trio.sleep(0.02)
                        nursery.cancel_scope.cancel()
                    await wait_until(lambda: node.jobs.waits_cancelled == 1)
                    reply = await node.call("GET", "/v1/jobs?workspace=w")
                    self.assertEqual("queued", orjson.loads(reply[2])["jobs"][0]["state"])


class ShutdownTest(TrioTestCase):
    async def test_requests_in_progress_are_finished(self):
        for http2 in (False, True):
            with self.subTest(http2=http2):
                with trio.fail_after(5):
                    await self.check_shutdown(http2)

    async def check_shutdown(self, http2):
        replies = []
        async with AppFixture().served() as node:

            async def wait_for_answer():
                replies.append(
                    await node.call("POST", "/v1/jobs?wait=60", job_body(), key(), http2)
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait_for_answer)
                await wait_until(lambda: node.jobs.views_by_id)
                node.shutdown.set()
                await trio.sleep(0.05)
                with self.assertRaises(httpcore.ConnectError):
                    await node.call("GET", "/healthz")
                self.assertEqual([], replies)
                node.jobs.end("mvd-centro~1-a", Succeeded(("x" * 100_000,)))
        self.assertEqual(200, replies[0][0])
        self.assertEqual("x" * 100_000, orjson.loads(replies[0][2])["outcome"]["parts"][0])

    # Guards against requests without a reply at the end of a planned stop.
    async def test_requests_that_outlast_the_grace_get_a_reply(self):
        expected = {"POST": (504, "outcome-unknown"), "GET": (503, "shutting-down")}
        targets = {"POST": "/v1/jobs?wait=60", "GET": "/v1/jobs/a/answer?wait=60&workspace=w"}
        for http2 in (False, True):
            for method, (status, code) in expected.items():
                with self.subTest(http2=http2, method=method), trio.fail_after(5):
                    limits = HttpLimits(shutdown_timeout=timedelta(seconds=0.5))
                    async with AppFixture(limits).served() as node:
                        node.jobs.submit_allowed = trio.Event()
                        node.jobs.wait_for_outcome = lambda *_: node.jobs.submit(None)
                        async with trio.open_nursery() as nursery:
                            replies = []
                            body = job_body() if method == "POST" else b""
                            call = (method, targets[method], body, key(), http2)
                            nursery.start_soon(self.append_reply, node, call, replies)
                            await node.jobs.call_started.wait()
                            node.shutdown.set()
                    self.assertEqual(status, replies[0][0])
                    self.assertEqual(code, orjson.loads(replies[0][2])["code"])
                    self.assertEqual(
                        ["http-request-ended-by-stop"], [name for name, _ in node.telemetry.events]
                    )

    # Guards against requests without a reply whose body does not arrive before the end of the stop.
    async def test_slow_requests_get_a_reply_at_the_end_of_the_stop(self):
        start = b"POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n{"
        limits = HttpLimits(shutdown_timeout=timedelta(seconds=0.5))
        with trio.fail_after(5):
            async with AppFixture(limits).served() as node:
                host, port = node.address.split(":")
                streams = [await trio.open_tcp_stream(host, int(port)) for _ in range(2)]
                for stream in streams:
                    await stream.send_all(start)
                    await trio.sleep(0.02)
                    node.shutdown.set()
                for stream, status in zip(streams, (b"504", b"503"), strict=True):
                    self.assertEqual(status, (await stream.receive_some()).split()[1])
                    await stream.aclose()

    async def append_reply(self, node, call, replies):
        replies.append(await node.call(*call))

    async def test_a_request_that_is_cut_off_is_logged(self):
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                node = AppFixture()
                node.address = await nursery.start(
                    serve, node.app, "127.0.0.1:0", node.limits, node.shutdown, node.telemetry
                )
                host, port = node.address.split(":")
                stream = await trio.open_tcp_stream(host, int(port))
                lines = (b"POST /v1/jobs?wait=60 HTTP/1.1", b"host: x", b"idempotency-key: a")
                length = b"content-length: %d" % len(job_body())
                await stream.send_all(b"\r\n".join((*lines, length, b"", job_body())))
                await node.jobs.call_started.wait()
                nursery.cancel_scope.cancel()
            await stream.aclose()
        (fields,) = [fields for name, fields in node.telemetry.events if name == "http-request-cut"]
        self.assertEqual(
            ("POST", "/v1/jobs", "cancelled", True),
            tuple(fields[name] for name in ("method", "path", "end", "read")),
        )
        self.assertIn(("http_requests_cut_total", {}), node.telemetry.counts)

    async def test_a_caller_that_leaves_is_not_logged_as_cut_off(self):
        with trio.fail_after(5):
            async with AppFixture().served() as node:
                async with trio.open_nursery() as nursery:
                    target = "/v1/jobs?wait=60"
                    nursery.start_soon(node.call, "POST", target, job_body(), key())
                    await node.jobs.call_started.wait()
                    nursery.cancel_scope.cancel()
                await wait_until(lambda: node.jobs.waits_cancelled == 1)
        self.assertEqual([], [name for name, _ in node.telemetry.events])

    async def test_requests_after_the_shutdown_are_refused(self):
        for http2 in (False, True):
            with self.subTest(http2=http2), trio.fail_after(5):
                await self.check_late_request(http2)

    async def check_late_request(self, http2):
        async with AppFixture().served() as node:
            async with httpcore.AsyncConnectionPool(http1=not http2, http2=http2) as pool:
                url = f"http://{node.address}"
                await pool.request("GET", f"{url}/healthz")
                node.shutdown.set()
                body = job_body()
                late = await pool.request("POST", f"{url}/v1/jobs", content=body, headers=key())
                self.assertEqual(503, late.status)
                self.assertEqual("shutting-down", orjson.loads(late.content)["code"])
                if not http2:
                    self.assertIn((b"connection", b"close"), late.headers)
                self.assertEqual([], node.jobs.requests)

    # Guards against a request without a reply, as the node closes the connection as idle although
    # the request has arrived.
    async def test_a_request_that_arrives_before_the_connection_is_closed_gets_a_reply(self):
        for is_stop in (False, True):
            with self.subTest(is_stop=is_stop), trio.fail_after(10):
                idle_timeout = timedelta(seconds=30 if is_stop else 1)
                async with AppFixture(HttpLimits(idle_timeout=idle_timeout)).served() as node:
                    await self.check_requests_at_close(node, is_stop)
                self.assertEqual([], node.telemetry.events)

    async def check_requests_at_close(self, node, is_stop):
        host, port = node.address.split(":")
        request = b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n"
        streams = [await trio.open_tcp_stream(host, int(port)) for _ in range(40)]
        for stream in streams:
            await stream.send_all(request)
            await self.read_reply(stream)
        if is_stop:
            node.shutdown.set()
            await trio.sleep(0.01)
        # A busy node looks at its timers and connections only after both have become due.
        for stream in streams:
            os.write(stream.socket.fileno(), request)
        time.sleep(0.2 if is_stop else 1)
        expected = b"HTTP/1.1 503" if is_stop else b"HTTP/1.1 200"
        for stream in streams:
            self.assertEqual(expected, (await self.read_reply(stream))[: len(expected)])
            await stream.aclose()

    async def read_reply(self, stream):
        """Return a reply, whose body is a JSON object without others."""
        reply = b""
        while not reply.endswith(b"}"):
            part = await stream.receive_some()
            self.assertTrue(part, "closed without a reply")
            reply += part
        return reply

    async def test_a_caller_that_does_not_read_does_not_block_the_shutdown(self):
        start = b"GET /v1/jobs?workspace=w HTTP/1.1\r\nhost: x\r\n\r\n"
        with trio.fail_after(5):
            async with AppFixture(HttpLimits(send_timeout=SHORT_TIMEOUT)).served() as node:
                await node.call(*JOBS, job_body(), key())
                node.jobs.end("mvd-centro~1-a", Succeeded(("x" * 20_000_000,)))
                host, port = node.address.split(":")
                stream = await trio.open_tcp_stream(host, int(port))
                await stream.send_all(start)
                route = {"route": "/v1/jobs", "status": "200"}
                await wait_until(lambda: ("http_requests_total", route) in node.telemetry.counts)
                node.shutdown.set()
        await stream.aclose()
