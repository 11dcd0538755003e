"""Tests of the soak's site of a deployment's size and of the server of its stand-ins."""

import sys
import unittest
from pathlib import Path
from random import Random

import trio
import trio.testing
from mimosapoint.testing import TrioTestCase

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform"))

from tools.soak.deployment import WORKSPACES, job_steps, phases_of  # noqa: E402 (needs the path)
from tools.soak.faults import faults_by_name  # noqa: E402
from tools.soak.plain_server import serve_plain  # noqa: E402
from tools.soak.profile import (  # noqa: E402
    FIRST_DEPLOYMENT_SEED,
    FIRST_SILENCE_SEED,
    profile_of,
)
from tools.soak.schedule import PLANNED_FAULTS  # noqa: E402


class ProfileTest(unittest.TestCase):
    def test_a_smaller_site_keeps_the_proportions(self):
        for nodes, large, workers in ((33, 8, 60), (12, 3, 30)):
            profile = profile_of(5001, nodes)
            with self.subTest(nodes=nodes):
                self.assertEqual(nodes, len(profile.mbps_by_node))
                self.assertEqual(large, len(profile.cores_by_node))
                self.assertEqual(workers, profile.workers)
                slow = set(profile.mbps_by_node) - set(profile.cores_by_node)
                self.assertTrue(all(5 <= profile.mbps_by_node[node] <= 10 for node in slow))

    def test_lower_seeds_stay_as_they_are(self):
        self.assertEqual((4, 6), (len(profile_of(4001).mbps_by_node), profile_of(4001).workers))

    def test_every_fault_of_a_phase_is_known(self):
        phases = (*phases_of(FIRST_DEPLOYMENT_SEED), *phases_of(FIRST_SILENCE_SEED))
        names = {name for phase in phases for name in phase.faults} | set(PLANNED_FAULTS)
        self.assertEqual(set(), names - set(faults_by_name))

    # A gang that its workspace's cap does not admit would wait forever.
    def test_every_job_fits_into_every_cap(self):
        caps = [each.cap.accelerators for each in WORKSPACES if each.is_capped]
        random = Random(1)
        for _ in range(500):
            for step in job_steps(random):
                size = step["count"] if step.get("gang") else 1
                self.assertLessEqual(size * step["gpu"], min(caps))


class PlainServerTest(TrioTestCase):
    async def test_requests_on_one_connection_are_served_in_turn(self):
        seen = []

        async def app(scope, receive, send):
            body = (await receive())["body"]
            seen.append((scope["method"], scope["path"], scope["query_string"], body))
            size = (b"content-length", b"%d" % len(body))
            await send({"type": "http.response.start", "status": 200, "headers": [size]})
            await send({"type": "http.response.body", "body": body})

        async with trio.open_nursery() as nursery:
            address = await nursery.start(serve_plain, app)
            stream = await trio.open_tcp_stream("127.0.0.1", int(address.rpartition(":")[2]))
            async with stream:
                await stream.send_all(b"POST /a?b=1 HTTP/1.1\r\nContent-Length: 4\r\n\r\nab")
                await trio.testing.wait_all_tasks_blocked()
                await stream.send_all(b"cdGET /e HTTP/1.1\r\n\r\n")
                received = b""
                while received.count(b"HTTP/1.1 200") < 2:
                    received += await stream.receive_some()
            nursery.cancel_scope.cancel()
        self.assertEqual([("POST", "/a", b"b=1", b"abcd"), ("GET", "/e", b"", b"")], seen)
        self.assertIn(b"content-length: 4\r\n\r\nabcd", received)
