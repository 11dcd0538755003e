"""Tests of invalid requests to the stand-ins and of the routes that no port uses."""

from typing import Any

import orjson
from mimosapoint.memory import MemoryStore, MemoryVmList, MemoryWorker, TrioClock
from mimosapoint.model import Resources
from mimosapoint.testing import TrioTestCase

from mimosapoint_standins import store_app, vm_list_app, workers_app
from mimosapoint_standins.router import BODY_LIMIT_BYTES, GARBAGE, Router

SERVER = ("127.0.0.1", 7000)
ADDRESS = "127.0.0.1:7000"
LEASE = b'{"holder": "n1", "zone": "z1", "epoch": 1, "ttl": 60}'
TASK = b'{"id":"t","workspace":"w","service":"s","shape":{},"index":0,"gang":1,"payload":%s}'
RESERVE = b'{"epoch": 1, "ttl": 5, "tasks": [%s]}' % TASK

BAD_STORE_CALLS = (
    ("GET", "/", "", b"", 404),
    ("GET", "/v1/keys/", "", b"", 404),
    ("POST", "/v1/keys/k", "", b"", 404),
    ("GET", "/v1/keys/%FF", "", b"", 400),
    ("GET", "/v1/entries", "prefix=%FF", b"", 400),
    ("PUT", "/v1/keys/k", "", b"v", 400),
    ("PUT", "/v1/keys/k", "expected=one", b"v", 400),
    ("PUT", "/v1/keys/k", "expected=-1", b"v", 409),
    ("PUT", "/v1/keys/k", "expected=0&lease=none", b"v", 410),
    ("PUT", "/v1/keys/k", "expected=0", b"x" * 1_000_001, 413),
    ("PUT", "/v1/keys/k", "expected=0", b"x" * (BODY_LIMIT_BYTES + 1), 413),
    ("DELETE", "/v1/keys/k", "expected=7", b"", 409),
    ("POST", "/v1/leases", "", b"", 400),
    ("POST", "/v1/leases", "", b'{"ttl": "soon"}', 400),
    ("POST", "/v1/leases", "", b'{"ttl": 1e300}', 400),
    ("POST", "/v1/leases", "", b'{"ttl": NaN}', 400),
    ("POST", "/v1/leases/none/renew", "", b"", 410),
    ("GET", "/v1/watch", "prefix=a", b"", 400),
    ("GET", "/v1/watch", "after=0&timeout=nan", b"", 400),
    ("GET", "/v1/watch", "after=0&timeout=inf", b"", 400),
    ("GET", "/v1/watch", "after=0&timeout=-1", b"", 400),
    ("PUT", "/v1/faults", "", b'{"delay": "long"}', 400),
)
BAD_VM_CALLS = (
    ("PUT", "/v1/vms/a", "", b"{}", 400),
    ("PUT", "/v1/vms/a", "", b'{"id":"a","kind":"tower","zone":"z","address":"b"}', 400),
    ("POST", "/v1/vms/a/leave", "", b"", 400),
    ("DELETE", "/v1/vms/a", "", b"", 400),
)
BAD_WORKER_CALLS = (
    ("POST", "/v1/explode", "", LEASE, 404),
    ("GET", "/v1/lease", "", LEASE, 404),
    ("POST", "/v1/lease", "", b"", 400),
    ("POST", "/v1/lease", "", b"[]", 400),
    ("POST", "/v1/lease", "", b"[" * 5000, 400),
    ("POST", "/v1/lease", "", LEASE.replace(b"60", b"1e300"), 400),
    ("POST", "/v1/lease", "", LEASE.replace(b"60", b'"x"'), 400),
    ("POST", "/v1/lease", "", LEASE.replace(b"1,", b"-1,"), 409),
    ("POST", "/v1/reserve", "", RESERVE % b"null", 422),
    ("POST", "/v1/stop", "", b'{"epoch": 0, "tasks": 7}', 400),
    ("POST", "/v1/stop", "", b'{"epoch": 0, "tasks": [], "mode": "gently"}', 400),
    ("POST", "/v1/throttle", "", b'{"epoch": 0, "tasks": [], "share": 2}', 422),
    ("POST", "/v1/collect", "", b'{"epoch": 9, "tasks": []}', 422),
)


async def call(app: Router, method: str, path: str, query: str = "", body: bytes = b""):
    """Return the status and the body of the reply to one request."""
    messages: list[dict[str, Any]] = []
    scope = {
        "type": "http",
        "method": method,
        "raw_path": path.encode(),
        "query_string": query.encode(),
        "server": SERVER,
    }

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message: dict[str, Any]) -> None:
        messages.append(message)

    await app(scope, receive, send)
    return messages[0]["status"], messages[1]["body"]


class InvalidRequestTest(TrioTestCase):
    mock_clock = True

    async def check_calls(self, app, calls):
        for method, path, query, body, expected in calls:
            with self.subTest(method=method, path=path, query=query, body=body[:60]):
                status, reply = await call(app, method, path, query, body)
                self.assertEqual(status, expected)
                self.assertTrue(orjson.loads(reply)["code"])

    async def test_store_replies_with_a_problem(self):
        await self.check_calls(store_app(MemoryStore(TrioClock())), BAD_STORE_CALLS)

    async def test_vm_list_replies_with_a_problem(self):
        await self.check_calls(vm_list_app(MemoryVmList(TrioClock())), BAD_VM_CALLS)

    async def test_workers_reply_with_a_problem(self):
        worker = MemoryWorker("w1", Resources(8, 128, 256, 8), TrioClock())
        await self.check_calls(workers_app({ADDRESS: worker}), BAD_WORKER_CALLS)

    async def test_address_without_a_worker_replies_with_a_problem(self):
        paths = (("POST", "/v1/lease"), ("GET", "/v1/faults"), ("GET", "/v1/history"))
        calls = tuple((method, path, "", LEASE, 504) for method, path in paths)
        await self.check_calls(workers_app({}), calls)


class OperatorRoutesTest(TrioTestCase):
    mock_clock = True

    async def test_history_lists_the_events_of_tasks(self):
        worker = MemoryWorker("w1", Resources(8, 128, 256, 8), TrioClock())
        app = workers_app({ADDRESS: worker})
        await call(app, "POST", "/v1/lease", body=LEASE)
        await call(app, "POST", "/v1/reserve", body=RESERVE % b'{"kind": "echo"}')
        await call(app, "POST", "/v1/start", body=b'{"epoch": 1, "tasks": ["t"]}')
        _, reply = await call(app, "GET", "/v1/history")
        events = [(e["event"], e["task"], e["epoch"]) for e in orjson.loads(reply)["events"]]
        self.assertEqual(events, [("started", "t", 1), ("succeeded", "t", 1)])

    async def test_vm_list_shows_changes(self):
        app = vm_list_app(MemoryVmList(TrioClock()))
        vm = b'{"id": "x", "kind": "endpoint", "zone": "z1", "address": "127.0.0.1:1"}'
        steps = (
            ("PUT", "/v1/vms/w1", vm, ["live"]),
            ("POST", "/v1/vms/w1/leave", b"", ["leaving"]),
            ("DELETE", "/v1/vms/w1", b"", []),
        )
        for method, path, body, expected_states in steps:
            with self.subTest(method=method):
                self.assertEqual(await call(app, method, path, body=body), (204, b""))
                _, reply = await call(app, "GET", "/v1/vms")
                vms = orjson.loads(reply)["vms"]
                self.assertEqual([vm.get("state", "live") for vm in vms], expected_states)

    async def test_faults_are_set_and_cleared(self):
        app = store_app(MemoryStore(TrioClock()))
        cases = (
            (b'{"refuse": true}', 503),
            (b'{"frozen": true}', 504),
            (b'{"lose_replies": 1}', 504),
            (b"{}", 404),
        )
        for faults, expected in cases:
            with self.subTest(faults=faults):
                await call(app, "PUT", "/v1/faults", body=faults)
                status, _ = await call(app, "GET", "/v1/keys/k")
                self.assertEqual(status, expected)
        await call(app, "PUT", "/v1/faults", body=b'{"garbage": true}')
        self.assertEqual((await call(app, "GET", "/v1/entries"))[1], GARBAGE)
        _, reply = await call(app, "GET", "/v1/counts")
        self.assertEqual(orjson.loads(reply)["calls_by_kind"], {"get": 4, "scan": 1})
