"""Tests of one seed of the soak test, and that its checks detect violations."""

import sys
import tempfile
import unittest
from contextlib import suppress
from functools import partial
from pathlib import Path
from random import Random
from types import SimpleNamespace

import trio
import trio.testing
from mimosapoint.memory import MemoryTransactionStore, RunRecord, TrioClock
from mimosapoint.testing import TrioTestCase
from mimosapoint.testing.run_checks import run_violations
from mimosapoint.workload import ResourceAmounts, RunEnd, Step, TaskId

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform"))

from tools.soak import checks  # noqa: E402 (needs the path)
from tools.soak.callers import Callers  # noqa: E402
from tools.soak.changes import GROWTH  # noqa: E402
from tools.soak.configurations import Configurations  # noqa: E402
from tools.soak.connections import Connections, Reply, Request  # noqa: E402
from tools.soak.faults import faults_by_name  # noqa: E402
from tools.soak.final_checks import check_nodes, wait_ready  # noqa: E402
from tools.soak.link import Link  # noqa: E402
from tools.soak.log import SoakLog  # noqa: E402
from tools.soak.outages import StoreOutages  # noqa: E402
from tools.soak.profile import profile_of  # noqa: E402
from tools.soak.proxy import Proxy  # noqa: E402
from tools.soak.run import run_seed  # noqa: E402
from tools.soak.zones import Zones  # noqa: E402

SEED = 1
CHANGES_SEED = 1001
"""Seed with slow links and a growth of the configuration, as in the incident LOST."""

OUTAGE_SEED = 4001
"""Seed that loses the owner and workers in outages, as in the incident of tasks that started again
after their end had been told."""

WATCH_SECONDS = 1.8
"""Time of a watch on the operators' entries without a byte of the reply."""

TASK = TaskId("a", 0, 0, 0)
STEP = Step(1, ResourceAmounts(1))


def record(run, began, ended, end=RunEnd.STOPPED, **more):
    return RunRecord(TASK, run, "w", STEP, began, ended, end, **more)


def request(status, sent_at, queue="urgent", key="key", job="a", state=""):
    return Request(0, "POST", queue, job, key, sent_at, sent_at + 0.1, status, state)


class CheckTest(unittest.TestCase):
    def test_a_correct_history_has_no_violations(self):
        history = [record(1, 0, 1), record(2, 1, 2, RunEnd.DONE)]
        self.assertEqual([], run_violations(history, []))

    def test_a_run_whose_end_a_restarted_worker_forgot_may_be_repeated(self):
        history = [record(1, 0, 1, RunEnd.DONE, end_unreported=True), record(2, 1, 2, RunEnd.DONE)]
        self.assertEqual([], run_violations(history, []))

    def test_every_violation_is_found(self):
        cases = (
            ("twice at once", [record(1, 0, 2), record(2, 1, 3)], []),
            ("twice at once", [record(1, 0, None, None), record(2, 1, 3)], []),
            ("after it was done", [record(1, 0, 1, RunEnd.DONE), record(2, 1, 2)], []),
            ("has run 1 after 2", [record(2, 0, 1), record(1, 1, 2)], []),
            ("over its capacity", [], ["w"]),
        )
        for expected, history, over_capacity in cases:
            with self.subTest(expected=expected):
                found = run_violations(history, over_capacity)
                self.assertTrue(any(expected in line for line in found), found)

    def test_replies_that_contradict_the_workers_are_found(self):
        history = [record(1, 0, None, None)]
        found = checks.run_reply_contradictions(history, {"a"}, set())
        self.assertEqual(["a ran though it was refused"], found)
        found = checks.run_reply_contradictions(history, set(), {"a"})
        self.assertEqual(["a runs on though cancelled"], found)
        self.assertEqual([], checks.run_reply_contradictions(history, {"b"}, {"b"}))

    def test_a_job_that_is_unknown_after_its_acceptance_is_found(self):
        for sent_at, expected in ((4, []), (6, ["a is accepted and unknown to node 0"])):
            with self.subTest(sent_at=sent_at):
                self.assertEqual(expected, checks.unknown_jobs([request(410, sent_at)], {"a": 5}))

    def test_a_start_in_a_withdrawn_zone_is_found(self):
        worker = SimpleNamespace(registration=SimpleNamespace(zone="z"))
        zones = Zones(None, {"z": [(0, 10)]})
        for began, count in ((2.9, 0), (3.1, 1), (9.9, 1), (10.1, 0)):
            with self.subTest(began=began):
                simulation = SimpleNamespace(
                    history=[record(1, began, began + 1)], workers_by_id={"w": worker}
                )
                self.assertEqual(count, len(checks.starts_in_withdrawn_zones(simulation, zones)))

    def test_a_start_above_the_highest_cap_that_may_be_in_force_is_found(self):
        step = Step(1, ResourceAmounts(accelerators=8))

        async def publish():
            configurations = Configurations(MemoryTransactionStore(TrioClock()))
            for cap in (16, 8):
                configurations.cap = cap
                configurations.publish()
                await trio.sleep(10)
            return configurations

        configurations = trio.run(publish, clock=trio.testing.MockClock(autojump_threshold=0))
        lowered_at = configurations.versions[1].at
        for began, count in ((lowered_at + 2.9, 1), (lowered_at + 3.1, 2)):
            history = [
                RunRecord(TaskId("a", 0, 0, number), 1, "w", step, began, None)
                for number in range(3)
            ]
            with self.subTest(began=began):
                self.assertEqual(count, len(checks.starts_above_cap(history, configurations)))

    def test_every_check_takes_part_in_a_run(self):
        requests = [request(410, 6), request(200, 6, queue="unknown")]
        requests += [request(200, 5.5, state="complete"), request(200, 5.5, state="failed")]
        requests.append(Request(0, "GET", "urgent", "a", "key", 5.0, 5.9, 0, "", 5.1, True))
        worker = SimpleNamespace(registration=SimpleNamespace(zone="z"))
        simulation = SimpleNamespace(
            history=[record(1, 9, None, None)],
            over_capacity_workers=["w"],
            workers_by_id={"w": worker},
        )
        site = SimpleNamespace(
            simulation=simulation,
            configurations=Configurations(None),
            zones=Zones(None, {"z": [(0, None)]}),
            planned_work=[],
            disturbances=[],
            log=SimpleNamespace(lags=[], waits=[]),
            ready_at=0.0,
            profile=SimpleNamespace(worker_capacity=ResourceAmounts(9)),
            jobs={job: SimpleNamespace(id=job, tenant="t", steps=(STEP,)) for job in "ab"},
            stopped_at=20.0,
        )
        site.jobs["b"].units_of = lambda occurrence, step: ["unit"]
        site.jobs["b"].tasks_of = lambda unit: [TaskId("b", 0, 0, 0)]
        callers = SimpleNamespace(
            connections=SimpleNamespace(requests=requests),
            accepted_at_by_job={"a": 5, "b": 5},
            refused={"a"},
            cancelled={"a"},
            workspace_of=lambda job: "t",
        )
        self.assertNotIn("no job was accepted", checks.find_violations(site, callers))
        found = "\n".join(checks.find_violations(site, callers))
        for part in ("capacity", "refused", "cancelled", "unknown to", "not allow", "withdrawn"):
            self.assertIn(part, found)
        for part in ("started as run 1", "node 0 told unknown of a"):
            self.assertIn(part, found)
        for part in ("told failed of a", "was cut at 5.900", "b had nothing running"):
            self.assertIn(part, found)
        callers.accepted_at_by_job.clear()
        self.assertIn("no job was accepted", checks.find_violations(site, callers))


class ConfigurationCheckTest(TrioTestCase):
    mock_clock = True

    async def make_versions(self):
        """Return versions at 0, 10 and 20 s: one, one with another queue and key, one without."""
        configurations = Configurations(MemoryTransactionStore(TrioClock()))
        configurations.publish()
        configurations.add_queues(1)
        configurations.replace_key(None, "other")
        queue = configurations.latest.queues[-1].name
        configurations.remove_queue(queue)
        configurations.replace_key("other", "third")
        one, _, both, _, without = configurations.versions
        configurations.versions = [
            type(one)(at, each.entry_bytes, each.configuration)
            for at, each in ((0, one), (10, both), (20, without))
        ]
        self.assertEqual([queue], configurations.retired_queues)
        self.assertEqual(["other"], configurations.retired_keys)
        return configurations, queue

    def make_callers(self, configurations, status_of):
        """Return callers of two nodes, whose replies a function chooses, and the log."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        log = SoakLog(Path(folder.name) / "soak.log")
        site = SimpleNamespace(configurations=configurations, log=log)
        return Callers(site, Random(1), FakeConnections(status_of), {"a": 1.0}), log

    async def test_replies_of_an_older_version_are_found(self):
        configurations, queue = await self.make_versions()
        cases = (
            ("removed queue", [request(200, at, queue=queue) for at in (21.9, 22.1)]),
            ("revoked key", [request(200, at, key="other") for at in (21.9, 22.1)]),
            ("revoked key, job read", [request(410, at, key="other") for at in (21.9, 22.1)]),
            ("new queue", [request(404, at, queue=queue) for at in (11.9, 12.1)]),
            ("new key", [request(401, at, key="other") for at in (11.9, 12.1)]),
        )
        for name, (in_time, late) in cases:
            with self.subTest(name=name):
                self.assertEqual([], checks.outdated_replies([in_time], configurations))
                self.assertEqual(1, len(checks.outdated_replies([late], configurations)))

    async def test_refusals_without_a_version_are_allowed(self):
        configurations, queue = await self.make_versions()
        replies = [request(status, 25, queue=queue) for status in (0, 429, 503, 504)]
        self.assertEqual([], checks.outdated_replies(replies, configurations))

    async def test_a_node_that_does_not_serve_callers_at_the_end_is_found(self):
        configurations, queue = await self.make_versions()

        def right(node, asked_queue, key):
            return right_status(asked_queue, key, queue)

        cases = {
            "right replies": (right, 0),
            "no reply": (lambda *asked: 0 if asked[0] == 1 else right(*asked), 5),
            "only refusals, as in the incident LOST": (
                lambda *asked: 503 if asked[0] == 1 else right(*asked),
                5,
            ),
            "removed queue served": (
                lambda node, asked_queue, key: right(node, "urgent", key),
                2,
            ),
            "revoked key served": (lambda node, asked_queue, key: right(node, asked_queue, ""), 2),
            "added key refused": (lambda *asked: 401 if asked[2] == "third" else right(*asked), 2),
        }
        for name, (status_of, count) in cases.items():
            with self.subTest(name=name):
                callers, _ = self.make_callers(configurations, status_of)
                self.assertEqual(count, len(await check_nodes(callers)))

    async def test_a_node_that_does_not_serve_callers_at_the_start_is_found(self):
        configurations, _ = await self.make_versions()
        callers, _ = self.make_callers(configurations, lambda *asked: 410 if asked[0] else 503)
        violations = await wait_ready(callers)
        self.assertEqual(1, len(violations))
        self.assertIn("node 0", violations[0])

    async def test_the_final_check_is_repeated_only_after_a_delay_of_the_stand_ins(self):
        configurations, queue = await self.make_versions()

        def status_of(node, asked_queue, key):
            return 503 if trio.current_time() < ends_at else right_status(asked_queue, key, queue)

        cases = (
            ("served after the delay", 5, [(2.0, 1.5)], 0),
            ("short delay", 5, [(2.0, 0.4)], 10),
            ("earlier delay", 5, [(-1.0, 1.5)], 10),
            ("never served", 1e9, [(seconds, 1.5) for seconds in range(100)], 10),
        )
        for name, seconds, lags, count in cases:
            with self.subTest(name=name):
                began = trio.current_time()
                ends_at = began + seconds
                callers, log = self.make_callers(configurations, status_of)
                log.lags += [(began + at, lag) for at, lag in lags]
                self.assertEqual(count, len(await check_nodes(callers)))


def right_status(queue, key, removed_queue):
    return 404 if queue == removed_queue else 401 if key == "other" else 200


class FakeConnections:
    def __init__(self, status_of):
        self.addresses = ["first", "second"]
        self.requests = []
        self.status_of = status_of

    async def call(self, node, method, queue, job, key, body=b"", forwardable=True):
        await trio.sleep(0)
        return Reply(self.status_of(node, queue, key))


class GrowthTest(TrioTestCase):
    async def test_the_transfer_on_the_slowest_link_outlasts_the_timeouts_of_the_client(self):
        for seed in (1001, 1002, 1010):
            with self.subTest(seed=seed):
                profile = profile_of(seed)
                configurations = Configurations(MemoryTransactionStore(TrioClock()))
                configurations.publish()
                site = SimpleNamespace(configurations=configurations, profile=profile)
                await faults_by_name[GROWTH](site, Random(seed))
                seconds = configurations.versions[-1].entry_bytes / profile.slowest_bytes_per_second
                self.assertGreater(seconds, WATCH_SECONDS)


class ConnectionsTest(TrioTestCase):
    async def test_connections_are_used_again_until_the_node_closes_them(self):
        opened = []

        async def serve_two_requests(stream):
            opened.append(stream)
            for _ in range(2):
                await stream.receive_some()
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")

        async with trio.open_nursery() as nursery:
            listen = partial(trio.serve_tcp, host="127.0.0.1")
            (listener,) = await nursery.start(listen, serve_two_requests, 0)
            port = listener.socket.getsockname()[1]
            connections = Connections([f"127.0.0.1:{port}"])
            statuses = []
            for _ in range(4):
                reply = await connections.call(0, "GET", "urgent", "a", "key")
                statuses.append(reply.status)
                await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        self.assertEqual([200] * 4, statuses)
        self.assertEqual(2, len(opened))
        self.assertEqual(4, len(connections.requests))


class ProxyTest(TrioTestCase):
    async def open_proxy(self, nursery, link=None):
        """Return a proxy to a server that sends back what it receives."""

        async def echo(stream):
            # Ends when the proxy resets the connection.
            with suppress(trio.BrokenResourceError):
                async for data in stream:
                    await stream.send_all(data)

        (listener,) = await nursery.start(partial(trio.serve_tcp, host="127.0.0.1"), echo, 0)
        proxy = Proxy(listener.socket.getsockname()[1], link or Link())
        await nursery.start(proxy.run)
        return proxy

    async def connect(self, proxy):
        return await trio.open_tcp_stream("127.0.0.1", int(proxy.address.rpartition(":")[2]))

    async def exchange(self, stream, data):
        await stream.send_all(data)
        received = b""
        while len(received) < len(data):
            received += await stream.receive_some()
        self.assertEqual(data, received)

    async def test_connections_share_the_bandwidth(self):
        async with trio.open_nursery() as nursery:
            proxy = await self.open_proxy(nursery, Link(100_000))
            streams = [await self.connect(proxy) for _ in range(2)]
            began = trio.current_time()
            async with trio.open_nursery() as senders:
                for stream in streams:
                    senders.start_soon(self.exchange, stream, b"x" * 20_000)
            self.assertGreaterEqual(trio.current_time() - began, 0.4)
            nursery.cancel_scope.cancel()

    async def test_silenced_connections_stay_silent_and_new_ones_work(self):
        async with trio.open_nursery() as nursery:
            proxy = await self.open_proxy(nursery)
            stream = await self.connect(proxy)
            await self.exchange(stream, b"x")
            proxy.silence()
            proxy.clear_faults()
            with trio.move_on_after(0.2) as silence:
                await self.exchange(stream, b"x")
            self.assertTrue(silence.cancelled_caught)
            await self.exchange(await self.connect(proxy), b"x")
            nursery.cancel_scope.cancel()

    async def test_a_silent_outage_lasts_also_if_other_faults_are_cleared(self):
        async with trio.open_nursery() as nursery:
            proxy = await self.open_proxy(nursery)
            with StoreOutages([proxy]).silent():
                proxy.clear_faults()
                with trio.move_on_after(0.2) as silence:
                    await self.exchange(await self.connect(proxy), b"x")
            self.assertTrue(silence.cancelled_caught)
            await self.exchange(await self.connect(proxy), b"x")
            nursery.cancel_scope.cancel()

    async def test_connections_are_reset(self):
        async with trio.open_nursery() as nursery:
            proxy = await self.open_proxy(nursery)
            stream = await self.connect(proxy)
            await self.exchange(stream, b"x")
            await proxy.reset()
            with self.assertRaises(trio.BrokenResourceError) as caught:
                await stream.receive_some()
            self.assertIsInstance(caught.exception.__cause__, ConnectionResetError)
            nursery.cancel_scope.cancel()


class SeedTest(unittest.TestCase):
    def check_seed(self, seed):
        with tempfile.TemporaryDirectory() as folder:
            result = trio.run(run_seed, seed, Path(folder))
        self.assertEqual([], result.violations, f"lag {result.lag:.2f} s; {result.faults}")
        self.assertGreater(result.accepted, 0)

    def test_a_seed_keeps_every_promise(self):
        self.check_seed(SEED)

    def test_a_seed_with_changes_keeps_every_promise(self):
        self.check_seed(CHANGES_SEED)

    def test_a_seed_that_loses_the_owner_in_outages_keeps_every_promise(self):
        self.check_seed(OUTAGE_SEED)
