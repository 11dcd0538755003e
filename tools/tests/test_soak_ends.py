"""Tests of the reads of the soak test, of its checks of told ends, and of its outages."""

import sys
import tempfile
import unittest
from contextlib import contextmanager
from pathlib import Path
from random import Random
from types import SimpleNamespace

import trio
from mimosapoint.memory import RunRecord
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import ResourceAmounts, Step, TaskId

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform"))

from tools.soak import checks  # noqa: E402 (needs the path)
from tools.soak.callers import Callers  # noqa: E402
from tools.soak.connections import Connections, Reply, Request  # noqa: E402
from tools.soak.faults import OUTAGE_FAULTS, fault_names, faults_by_name  # noqa: E402
from tools.soak.log import SoakLog  # noqa: E402
from tools.soak.outages import StoreOutages  # noqa: E402
from tools.soak.profile import profile_of  # noqa: E402
from tools.soak.reads import StateReads  # noqa: E402


def read(state, sent_at, node=0, status=200):
    return Request(node, "GET", "urgent", "a", "key", sent_at, sent_at + 0.1, status, state)


def start(at, job="a"):
    step = Step(1, ResourceAmounts(1))
    return RunRecord(TaskId(job, 0, 0, 0), 1, "w", step, at, at + 1, end_unreported=True)


class ToldEndTest(unittest.TestCase):
    # The checks excused a start after an end that its worker lost, also if callers knew the end.
    def test_a_start_after_a_told_end_is_found(self):
        cases = (
            ("complete", 5.1, 0),
            ("complete", 5.2, 1),
            ("failed", 5.2, 1),
            ("cancelled", 8.0, 0),
            ("cancelled", 8.2, 1),
            ("running", 9.0, 0),
        )
        for state, at, count in cases:
            with self.subTest(state=state, at=at):
                requests = [read(state, 20), read(state, 5)]
                history = [start(at), start(at, "b")]
                self.assertEqual(count, len(checks.starts_after_told_end(history, requests)))

    # A caller that was told an end saw its job run again.
    def test_an_end_that_a_later_request_contradicts_is_found(self):
        cases = (
            ("complete", read("running", 6, node=1), 1),
            ("complete", read("failed", 6), 1),
            ("cancelled", read("complete", 6), 1),
            ("complete", read("", 6, status=410), 1),
            ("complete", read("complete", 6), 0),
            ("complete", read("", 6, status=503), 0),
            ("complete", read("running", 5.05), 0),
            ("running", read("queued", 6), 0),
        )
        for state, later, count in cases:
            with self.subTest(state=state, later=later.state, status=later.status):
                # A reply that was sent for earlier may be recorded later.
                found = checks.ends_taken_back([later, read(state, 5)])
                self.assertEqual(count, len(found), found)


class ReadTest(TrioTestCase):
    mock_clock = True

    async def test_states_are_read_at_all_nodes_until_the_end(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        log = SoakLog(Path(folder.name) / "soak.log")
        asked = set()

        class Nodes:
            addresses = ["first", "second"]

            async def call(self, node, method, queue, job, key):
                asked.add((node, method, job))
                # A node without a reply delays no other read.
                await trio.sleep(3 if node else 0)
                return Reply(200, b'{"state": "complete"}')

        site = SimpleNamespace(log=log)
        callers = Callers(site, Random(2), Nodes(), {"a": 1.0, "b": 2.0})
        finished = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(StateReads(callers, Random(1)).read_until, finished)
            await trio.sleep(2)
            finished.set()
        self.assertEqual({(node, "GET", job) for node in (0, 1) for job in "ab"}, asked)
        lines = log.path.read_text().splitlines()
        self.assertEqual(2, len([line for line in lines if "end-told" in line]))

    async def test_a_told_state_is_recorded_with_its_request(self):
        class Pool:
            async def request(self, method, url, headers, content, extensions):
                await trio.sleep(0.5)
                return SimpleNamespace(status=200, content=b'{"state": "complete"}')

        connections = Connections(["first"], pool_by_node={0: Pool()})
        sent_at = trio.current_time()
        await connections.call(0, "GET", "urgent", "a", "key")
        (found,) = connections.requests
        self.assertEqual("complete", found.state)
        self.assertEqual((sent_at, sent_at + 0.5), (found.sent_at, found.replied_at))


class OutageTest(TrioTestCase):
    mock_clock = True

    async def test_overlapping_outages_last_until_the_last_ends(self):
        replies = []

        async def app(scope, receive, send):
            replies.append("served")

        async def receive():
            return {"type": "http.request", "body": b""}

        async def send(message):
            if "status" in message:
                replies.append(message["status"])

        outages = StoreOutages([])
        respond = outages.refusing_app(app)
        with outages.refused():
            with outages.refused():
                pass
            await respond({"type": "http"}, receive, send)
        await respond({"type": "http"}, receive, send)
        self.assertEqual([503, "served"], replies)

    # Outages that hardly overlapped with a loss of the owner did not show the incident.
    async def test_owner_and_workers_are_lost_before_the_store_returns(self):
        for seed in range(20):
            for name, signal in zip(OUTAGE_FAULTS, ("SIGKILL", "SIGTERM"), strict=True):
                with self.subTest(name=name, seed=seed):
                    site = FakeSite()
                    began = trio.current_time()
                    await faults_by_name[name](site, Random(seed))
                    events = [event for _, event in site.events]
                    times = [at - began for at, _ in site.events]
                    back = events.index("back")
                    self.assertEqual(("away", signal + " 2"), tuple(events[:2]))
                    self.assertIn("restart", events[2:back])
                    self.assertNotIn("restart", events[back:])
                    self.assertIn("start 2", events[back:])
                    self.assertTrue(3 <= times[back] <= 8, times)

    async def test_cut_off_workers_restart_once_their_leases_are_over(self):
        site = FakeSite(leased_ms=7000)
        began = trio.current_time()
        await faults_by_name["lapse-workers"](site, Random(1))
        restarts = [at - began for at, event in site.events if event == "restart"]
        self.assertTrue(restarts and all(7 < at < 7.2 for at in restarts), restarts)
        self.assertEqual(0, sum(proxy.cuts for proxy in site.worker_proxies))

    # Outages that hardly overlapped with a loss of the owner did not show the incident.
    async def test_seeds_from_4000_lose_the_owner_in_outages(self):
        added = {"kill-owner-in-outage", "stop-owner-in-outage", "lapse-workers"}
        for seed, expected in ((3999, set()), (4000, added)):
            self.assertEqual(expected, added & set(fault_names(profile_of(seed))))


class FakeSite:
    """Records when its store goes away and returns, and what becomes of node 2 and of workers."""

    def __init__(self, leased_ms=0):
        self.events = []
        self.owner = 2
        self.processes = [None] * 4
        self.workers = [FakeWorker(self, leased_ms) for _ in range(3)]
        self.worker_proxies = [FakeProxy() for _ in self.workers]
        self.store_outages = SimpleNamespace(refused=self.outage, silent=self.outage)
        self.log = SimpleNamespace(write=lambda *event, **fields: None)

    def record(self, event):
        self.events.append((trio.current_time(), event))

    @contextmanager
    def outage(self):
        self.record("away")
        yield
        self.record("back")

    async def signal_node(self, number, name):
        self.record(f"{name} {number}")

    async def wait_node(self, number):
        await trio.sleep(0)

    async def start_node(self, number):
        self.record(f"start {number}")


class FakeWorker:
    registration = SimpleNamespace(id="w")
    born = 1

    def __init__(self, site, leased_ms):
        self.site = site
        self.lease_until_ms = leased_ms
        self.started_at = trio.current_time()

    @property
    def clock_ms(self):
        return (trio.current_time() - self.started_at) * 1000

    def restart(self, born):
        self.site.record("restart")


class FakeProxy:
    cuts = 0

    @contextmanager
    def cut(self):
        self.cuts += 1
        yield
        self.cuts -= 1
