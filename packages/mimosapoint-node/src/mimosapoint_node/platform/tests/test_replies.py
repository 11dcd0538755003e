"""Tests of malformed replies and of addresses without a listener."""

from contextlib import asynccontextmanager
from datetime import timedelta

from mimosapoint.errors import (
    StoreTimeout,
    StoreUnavailable,
    VmListUnavailable,
    WorkerUnreachable,
)
from mimosapoint.memory import MemoryStore, TrioClock
from mimosapoint.model import CollectRequest, LeaseRequest
from mimosapoint.ports import ABSENT
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase
from mimosapoint_standins import store_app

from mimosapoint_node.platform import HttpStore, HttpVmList, HttpWorkers
from mimosapoint_node.platform.tests.support import replying, serving

TIMEOUT = timedelta(seconds=2)
WAIT = timedelta(milliseconds=10)


def reply(status: str, body: bytes = b"", headers: str = "") -> bytes:
    head = f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body


UNUSABLE = {
    "closed": b"",
    "not HTTP": b"\x00garbage\r\n\r\n",
    "cut short": b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort",
    "empty": reply("200 OK"),
    "not JSON": reply("200 OK", b"<html>"),
    "another object": reply("200 OK", b'{"a": 1}'),
    "list": reply("200 OK", b"[]"),
    "wrong types": reply("200 OK", b'{"entries": 7, "vms": 7, "revision": [], "outputs": 7}'),
    "not base64": reply("200 OK", b'{"entries": [{"key": "k", "value": "?", "revision": 1}]}'),
    "bad revision": reply("200 OK", b"v", "x-revision: soon\r\n"),
    "404 of a proxy": reply("404 Not Found", b"<html>"),
    "no route": reply("404 Not Found", b'{"code": "no-route"}'),
    "another code": reply("409 Conflict", b'{"code": "job-not-found"}'),
    "no current": reply("409 Conflict", b'{"code": "compare-failed"}'),
    "no current epoch": reply("409 Conflict", b'{"code": "stale-epoch"}'),
    "crashed": reply("500 Internal Server Error", b"Traceback"),
    "redirect": reply("302 Found", headers="location: /\r\n"),
    "wrong success": reply("202 Accepted", b"{}"),
}


def store_calls(store: HttpStore):
    return (
        lambda: store.get("k"),
        lambda: store.scan(""),
        lambda: store.compare_and_swap("k", b"v", ABSENT),
        lambda: store.delete("k", 1),
        lambda: store.grant_lease(TIMEOUT),
        lambda: store.renew_lease("l"),
        lambda: store.watch("", 0, WAIT),
    )


def worker_calls(workers: HttpWorkers, address: str):
    return (
        lambda: workers.lease(address, LeaseRequest("n", "z", 1, 1.0)),
        lambda: workers.collect(address, CollectRequest(1, ("t",))),
    )


@asynccontextmanager
async def adapters(address: str):
    """Yield every call of the three adapters with its error for an unusable reply."""
    store = HttpStore(address, MemoryTelemetry(strict=True), TIMEOUT)
    workers = HttpWorkers(MemoryTelemetry(strict=True), TIMEOUT)
    vm_list = HttpVmList(address, MemoryTelemetry(strict=True), TIMEOUT)
    calls = [(call, StoreTimeout) for call in store_calls(store)]
    calls += [(call, WorkerUnreachable) for call in worker_calls(workers, address)]
    calls.append((vm_list.vms, VmListUnavailable))
    yield calls
    for adapter in (store, workers, vm_list):
        await adapter.close()


class UnusableRepliesTest(TrioTestCase):
    async def test_unusable_replies_have_an_unknown_outcome(self):
        for name, data in UNUSABLE.items():
            async with replying(data) as address, adapters(address) as calls:
                for number, (call, error) in enumerate(calls):
                    with self.subTest(reply=name, call=number), self.assertRaises(error):
                        await call()

    async def test_oversized_replies_are_errors(self):
        data = b"HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n" + b"x" * 60_000
        async with replying(data, 1000) as address:
            store = HttpStore(address, MemoryTelemetry(strict=True), TIMEOUT)
            with self.assertRaises(StoreTimeout):
                await store.scan("")
            await store.close()

    async def test_a_closed_port_means_no_effect(self):
        async with serving(store_app(MemoryStore(TrioClock()))) as address:
            store = HttpStore(address, MemoryTelemetry(strict=True), TIMEOUT)
            self.assertIsNone(await store.get("k"))
        for number, call in enumerate(store_calls(store)):
            with self.subTest(call=number), self.assertRaises(StoreUnavailable):
                await call()
        workers = HttpWorkers(MemoryTelemetry(strict=True), TIMEOUT)
        for number, call in enumerate(worker_calls(workers, address)):
            with self.subTest(command=number), self.assertRaises(WorkerUnreachable):
                await call()

    async def test_a_bad_request_has_no_effect(self):
        data = reply("400 Bad Request", b'{"code": "bad-request", "detail": "d"}')
        async with replying(data) as address:
            store = HttpStore(address, MemoryTelemetry(strict=True), TIMEOUT)
            for number, call in enumerate(store_calls(store)):
                with self.subTest(call=number), self.assertRaises(StoreUnavailable):
                    await call()
            await store.close()

    async def test_every_call_is_counted_by_kind(self):
        telemetry = MemoryTelemetry(strict=True)
        async with replying(b"") as address:
            store = HttpStore(address, telemetry, TIMEOUT)
            for call in store_calls(store):
                with self.assertRaises(StoreTimeout):
                    await call()
        kinds = "get scan compare_and_swap delete grant_lease renew_lease watch"
        expected = {("store_calls_total", (("kind", kind),)): 1 for kind in kinds.split()}
        self.assertEqual(telemetry.counts_by_labels, expected)
