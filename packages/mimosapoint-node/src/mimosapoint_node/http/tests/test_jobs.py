"""Tests of the routes for callers."""

import orjson
from mimosapoint.errors import PeerUnreachable
from mimosapoint.model import Succeeded
from mimosapoint.testing import TrioTestCase

from mimosapoint_node.http.tests.fakes import TRACE, AppFixture, job_body, key

WORKSPACE_HEADERS = [("Mimosapoint-Workspace", "w")]


class JobRoutesTest(TrioTestCase):
    async def test_job_lifecycle(self):
        for http2 in (False, True):
            with self.subTest(http2=http2):
                await self.check_lifecycle(http2)

    async def check_lifecycle(self, http2):
        async with AppFixture().served() as node:
            body = job_body(gang=4, shape={"accelerators": 8}, **{"class": "urgent"})
            parent = [("traceparent", "00-1")]
            reply = await node.call("POST", "/v1/jobs", body, key() + parent, http2)
            self.assertEqual((202, TRACE), (reply[0], reply[1]["traceparent"]))
            view = orjson.loads(reply[2])
            self.assertEqual(("queued", None), (view["state"], view["outcome"]))
            self.assertEqual([TRACE], node.jobs.traces)
            self.assertEqual(["00-1"], node.telemetry.parents)
            self.assertEqual(8, node.jobs.requests[0].shape.accelerators)
            path = f"/v1/jobs/{view['id']}"
            self.assertEqual(200, (await node.call("GET", path, b"", WORKSPACE_HEADERS, http2))[0])
            other = await node.call("GET", path + "?workspace=other", http2=http2)
            self.assertEqual(404, other[0])
            early = await node.call(
                "GET", path + "/answer?wait=0.01", b"", WORKSPACE_HEADERS, http2
            )
            self.assertEqual(202, early[0])
            node.jobs.end(view["id"], Succeeded((1, 2)))
            ended = await node.call("GET", path + "/answer?wait=60", b"", WORKSPACE_HEADERS, http2)
            outcome = {"outcome": "succeeded", "parts": [1, 2]}
            self.assertEqual((200, outcome), (ended[0], orjson.loads(ended[2])["outcome"]))
            self.assertEqual(
                200, (await node.call("DELETE", path, b"", WORKSPACE_HEADERS, http2))[0]
            )
            listed = await node.call("GET", "/v1/jobs?workspace=w", http2=http2)
            self.assertEqual(1, len(orjson.loads(listed[2])["jobs"]))

    async def test_a_failed_wait_does_not_hide_the_acceptance(self):
        async with AppFixture().served() as node:
            node.jobs.answer_error = PeerUnreachable()
            reply = await node.call("POST", "/v1/jobs?wait=5", job_body(), key())
            self.assertEqual(202, reply[0])
            self.assertEqual("answer-wait-failed", node.telemetry.events[0][0])
