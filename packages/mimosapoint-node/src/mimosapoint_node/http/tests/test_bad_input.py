"""Tests that each route refuses invalid input."""

import httpcore
import orjson
from mimosapoint.testing import TrioTestCase

from mimosapoint_node.http import HttpLimits
from mimosapoint_node.http.tests.fakes import AppFixture, job_body, key

PATCH = {"id": "p1", "base": 3, "operations": [{"op": "remove", "path": "/zones/z"}]}
JOBS = ("POST", "/v1/jobs")
PATCHES = ("POST", "/v1/configuration/patches")
WORKSPACE_HEADERS = [("Mimosapoint-Workspace", "w")]

BAD_JOBS = (
    ({"gang": 0}, "/gang"),
    ({"gang": "4"}, "/gang"),
    ({"gang": True}, "/gang"),
    ({"gang": 2**40}, "/gang"),
    ({"class": "soon"}, "/class"),
    ({"class": ["urgent"]}, "/class"),
    ({"shape": 3}, "/shape"),
    ({"shape": {"slots": 0}}, "/shape/slots"),
    ({"shape": {"cores": -1}}, "/shape/cores"),
    ({"shape": {"memory_gib": 1.5}}, "/shape/memory_gib"),
    ({"shape": {"accelerators": None}}, "/shape/accelerators"),
    ({"shape": {"gpu/s": 1}}, "/shape/gpu~1s"),
    ({"adjacency": "room"}, "/adjacency"),
    ({"zones": "mvd-centro"}, "/zones"),
    ({"zones": ["a", "a"]}, "/zones"),
    ({"zones": [1]}, "/zones"),
    ({"run_time": 0}, "/run_time"),
    ({"run_time": True}, "/run_time"),
    ({"run_time": 1e300}, "/run_time"),
    ({"repeatable": "no"}, "/repeatable"),
    ({"interruptible": 0}, "/interruptible"),
    ({"start_by": "tomorrow"}, "/start_by"),
    ({"start_by": "2026-01-01T00:00:00"}, "/start_by"),
    ({"start_by": "2026-01-01"}, "/start_by"),
    ({"start_by": "0001-01-01T00:00:00+23:59"}, "/start_by"),
    ({"finish_by": 5}, "/finish_by"),
    ({"workspace": ""}, "/workspace"),
    ({"workspace": "a b"}, "/workspace"),
    ({"workspace": None}, "/workspace"),
    ({"service": "x" * 201}, "/service"),
    ({"owner": "me"}, "/owner"),
)

BAD_PATCHES = (
    ({"id": 5}, "/id"),
    ({"base": -1}, "/base"),
    ({"base": "3"}, "/base"),
    ({"operations": []}, "/operations"),
    ({"operations": {}}, "/operations"),
    ({"operations": [1]}, "/operations/0"),
    ({"operations": [{"op": "drop", "path": ""}]}, "/operations/0/op"),
    ({"operations": [{"op": ["add"], "path": ""}]}, "/operations/0/op"),
    ({"operations": [{"op": "add", "path": "x", "value": 1}]}, "/operations/0/path"),
    ({"operations": [{"op": "add", "path": "/x"}]}, "/operations/0/value"),
    ({"operations": [{"op": "move", "path": "/x"}]}, "/operations/0/from"),
    ({"force": True}, "/force"),
)

BAD_BODIES = (
    (b"", "not JSON"),
    (b"{", "not JSON"),
    (b"[]", "not a JSON object"),
    (b"null", "not a JSON object"),
    (b'{"workspace": "\xff"}', "not JSON in UTF-8"),
    (b'{"workspace": "\\ud800"}', "not JSON"),
    (b'{"gang": NaN}', "not JSON"),
    (b'{"gang": 1, "gang": 2}', "'gang' is repeated"),
    (b'{"shape": {"cores": 1, "cores": 2}}', "'cores' is repeated"),
    (b'{"payload": ' + b"[" * 900 + b"]" * 900 + b"}", ""),
    (b'{"payload": ' + b"[" * 5000 + b"]" * 5000 + b"}", "not JSON"),
    (b"{} {}", "not JSON"),
)

BAD_CALLS = (
    ("GET", "/", 404, "route-not-found"),
    ("GET", "/v1/jobs/", 404, "route-not-found"),
    ("GET", "/v2/jobs", 404, "route-not-found"),
    ("GET", "/v1/jobs/a/b/c", 404, "route-not-found"),
    ("GET", "/v1/jobs/a%2Fb", 404, "job-not-found"),
    ("GET", "/v1/jobs/%ff%00", 404, "job-not-found"),
    ("PUT", "/v1/jobs", 405, "method-not-allowed"),
    ("POST", "/v1/jobs/a", 405, "method-not-allowed"),
    ("DELETE", "/v1/jobs/a/answer", 405, "method-not-allowed"),
    ("POST", "/v1/configuration", 405, "method-not-allowed"),
    ("PUT", "/v1/configuration/patches", 405, "method-not-allowed"),
    ("DELETE", "/v1/configuration/patches/p", 405, "method-not-allowed"),
    ("POST", "/v1/status", 405, "method-not-allowed"),
    ("POST", "/healthz", 405, "method-not-allowed"),
    ("POST", "/readyz", 405, "method-not-allowed"),
    ("POST", "/metrics", 405, "method-not-allowed"),
    ("GET", "/v1/jobs/a/answer?wait=soon", 400, "bad-request"),
    ("GET", "/v1/jobs/a/answer?wait=-1", 400, "bad-request"),
    ("GET", "/v1/jobs/a/answer?wait=nan", 400, "bad-request"),
    ("GET", "/v1/jobs/a/answer?wait=1e9", 400, "bad-request"),
    ("GET", "/v1/jobs/a/answer?wait=.", 400, "bad-request"),
    ("GET", "/v1/jobs/a/answer?wait=61", 400, "bad-request"),
    ("GET", "/v1/jobs/a/answer?wait=%C2%B2", 400, "bad-request"),
    ("GET", "/v1/jobs/a/answer?wait=1&wait=2", 400, "bad-request"),
    ("POST", "/v1/jobs?wait=x", 400, "bad-request"),
    ("GET", "/v1/jobs?limit=5", 400, "bad-request"),
    ("GET", "/v1/jobs?workspace=other", 400, "bad-request"),
    ("GET", "/v1/jobs/a?verbose=1", 400, "bad-request"),
    ("DELETE", "/v1/jobs/a?force=1", 400, "bad-request"),
    ("GET", "/v1/configuration?version=-1", 400, "bad-request"),
    ("GET", "/v1/configuration?version=x", 400, "bad-request"),
    ("GET", "/v1/configuration?version=" + "9" * 5000, 400, "bad-request"),
    ("GET", "/v1/configuration?version=%ff", 400, "bad-request"),
    ("GET", "/v1/configuration?version=7", 404, "patch-not-found"),
    ("GET", "/v1/configuration/patches?limit=1", 400, "bad-request"),
    ("GET", "/v1/configuration/patches/none", 404, "patch-not-found"),
    ("GET", "/v1/configuration/patches/none?x=1", 400, "bad-request"),
    ("GET", "/v1/status?all", 400, "bad-request"),
    ("GET", "/v1/status?" + "&".join(f"a{n}=1" for n in range(50)), 400, "bad-request"),
)


class BadInputTest(TrioTestCase):
    async def test_bad_fields_are_refused_with_their_paths(self):
        async with AppFixture().served() as node:
            for fields, path in BAD_JOBS:
                await self.check_refused(node, *JOBS, job_body(**fields), path)
            for fields, path in BAD_PATCHES:
                await self.check_refused(node, *PATCHES, orjson.dumps(PATCH | fields), path)
            for missing in ("workspace", "service"):
                body = {"workspace": "w", "service": "s"}
                del body[missing]
                await self.check_refused(node, *JOBS, orjson.dumps(body), f"/{missing}")
            for missing in PATCH:
                body = {name: PATCH[name] for name in PATCH if name != missing}
                await self.check_refused(node, *PATCHES, orjson.dumps(body), f"/{missing}")
            self.assertEqual(([], []), (node.jobs.requests, node.operators.patches))

    async def check_refused(self, node, method, target, body, path):
        with self.subTest(body=body):
            status, _, content = await node.call(method, target, body, key())
            problem = orjson.loads(content)
            self.assertEqual((400, "bad-request"), (status, problem["code"]))
            self.assertEqual([path], [error.split(": ")[0] for error in problem["reasons"]])

    async def test_every_fault_is_listed_at_once(self):
        async with AppFixture().served() as node:
            body = b'{"gang": 0, "shape": {"slots": "x", "y": 1}, "z": 1}'
            reply = await node.call(*JOBS, body)
            paths = {error.split(": ")[0] for error in orjson.loads(reply[2])["reasons"]}
            expected = "/gang /shape/slots /shape/y /z /workspace /service Idempotency-Key"
            self.assertEqual(set(expected.split()), paths)

    async def test_idempotency_keys(self):
        valid = [("k", 202), ("k" * 200, 202), ("a b", 202)]
        cases = valid + [("", 400), ("k" * 201, 400), (None, 400)]
        async with AppFixture().served() as node:
            for value, expected in cases:
                with self.subTest(key=value):
                    headers = [] if value is None else key(value)
                    reply = await node.call(*JOBS, job_body(), headers)
                    self.assertEqual(expected, reply[0])

    async def test_bad_bodies_are_refused(self):
        async with AppFixture().served() as node:
            for method, target in (JOBS, PATCHES):
                for body, error in BAD_BODIES:
                    with self.subTest(target=target, body=body[:40]):
                        status, headers, content = await node.call(method, target, body, key())
                        problem = orjson.loads(content)
                        self.assertEqual((400, "bad-request"), (status, problem["code"]))
                        self.assertIn(error, problem["detail"])
                        self.assertEqual("application/problem+json", headers["content-type"])
            self.assertEqual([], node.telemetry.events)

    async def test_bad_calls_are_refused_over_both_protocols(self):
        for http2 in (False, True):
            async with AppFixture().served() as node:
                pool = httpcore.AsyncConnectionPool(http1=not http2, http2=http2)
                async with pool:
                    for method, target, status, code in BAD_CALLS:
                        with self.subTest(http2=http2, method=method, target=target[:60]):
                            url = f"http://{node.address}{target}"
                            reply = await pool.request(method, url, headers=WORKSPACE_HEADERS)
                            problem = orjson.loads(reply.content)
                            self.assertEqual((status, code), (reply.status, problem["code"]))
                            names = {name.lower() for name, _ in reply.headers}
                            self.assertEqual(status == 405, b"allow" in names)
                self.assertEqual([], node.telemetry.events)

    async def test_missing_or_conflicting_workspaces_are_refused(self):
        async with AppFixture().served() as node:
            for target in ("/v1/jobs", "/v1/jobs/a", "/v1/jobs/a/answer"):
                self.assertEqual(400, (await node.call("GET", target))[0])
            reply = await node.call(*JOBS, job_body(), key() + [("Mimosapoint-Workspace", "x")])
            self.assertEqual(403, reply[0])

    async def test_large_bodies_are_refused(self):
        limits = HttpLimits(body_bytes=1000)

        async def chunks(size):
            for _ in range(size // 500):
                yield b" " * 500

        async with AppFixture(limits).served() as node:
            for http2 in (False, True):
                for body in (b" " * 1001, b" " * 500_000, chunks(1500)):
                    with self.subTest(http2=http2):
                        reply = await node.call(*JOBS, body, key(), http2)
                        self.assertEqual(413, reply[0])
                fits = job_body(payload="x" * 900)
                self.assertEqual(202, (await node.call(*JOBS, fits, key(), http2))[0])
