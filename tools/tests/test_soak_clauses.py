"""Tests that the soak finds jobs that are lost in each of the ways that users count."""

import sys
import unittest
from datetime import datetime, timedelta
from functools import partial
from pathlib import Path
from random import Random
from types import SimpleNamespace

import trio
from mimosapoint.memory import RunRecord
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import AcceptedJob, ResourceAmounts, RunEnd, Step, TaskId

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform"))

from tools.soak.callers import Callers  # noqa: E402 (needs the path)
from tools.soak.checks import ends_taken_back, unknown_jobs  # noqa: E402
from tools.soak.configurations import Configurations  # noqa: E402
from tools.soak.connections import Connections, Reply, Request  # noqa: E402
from tools.soak.cut_requests import cut_requests  # noqa: E402
from tools.soak.disturbances import Disturbance, PlannedWork, calm_spans  # noqa: E402
from tools.soak.end_checks import ends_without_cause  # noqa: E402
from tools.soak.final_checks import check_nodes  # noqa: E402
from tools.soak.standstill import WaitingJob, standing_jobs  # noqa: E402

STEP = Step(1, ResourceAmounts(accelerators=1))
GANG = Step(13, ResourceAmounts(accelerators=1), gang=True)

SMALL_GANG = Step(8, ResourceAmounts(accelerators=1), gang=True)


def run(end, number=1, worker="w", index=0, step=STEP, began=0.0, ended=1.0, job="a"):
    return RunRecord(TaskId(job, 0, 0, index), number, worker, step, began, ended, end)


def told(state, at=9.0, method="GET"):
    return Request(0, method, "urgent", "a", "key", at, at + 0.1, 200, state)


class EndTest(unittest.TestCase):
    # A job was taken as ended whatever it was shown as, and after any crash.
    def test_a_failed_job_needs_attempts_or_two_crashed_workers(self):
        lost, failed = RunEnd.LOST, RunEnd.FAILED
        cases = (
            ("nothing failed", [run(RunEnd.LAPSED), run(RunEnd.LAPSED, 2, "x")], 1),
            ("two attempts", [run(failed), run(failed, 2)], 1),
            ("three attempts", [run(failed), run(failed, 2), run(failed, 3)], 0),
            ("three tasks", [run(failed, index=index) for index in range(3)], 1),
            ("one gang run", [run(failed, index=index, step=GANG) for index in range(3)], 1),
            ("gang", [run(failed, each, index=each, step=GANG) for each in (1, 2, 3)], 0),
            ("one worker twice", [run(lost), run(lost, 2)], 1),
            ("under two tasks", [run(lost), run(lost, 1, "x", index=1)], 1),
            ("two workers", [run(lost), run(lost, 2, "x")], 0),
            ("second crash later", [run(lost), run(lost, 2, "x", ended=9.5)], 1),
        )
        for name, history, count in cases:
            with self.subTest(name=name):
                self.assertEqual(count, len(ends_without_cause(history, [told("failed")])))

    def test_a_cancelled_job_needs_a_cancellation_that_was_sent_before(self):
        for requests, count in (
            ([], 1),
            ([told("", 8, "DELETE")], 0),
            ([told("", 10, "DELETE")], 1),
        ):
            with self.subTest(requests=requests):
                found = ends_without_cause([], [told("cancelled"), *requests])
                self.assertEqual(count, len(found))

    def test_only_a_job_that_ended_long_before_may_be_unknown(self):
        for at, count in ((120, 1), (130, 0)):
            unknown = Request(1, "GET", "urgent", "a", "key", at, at + 0.1, 410)
            requests = [told("complete"), unknown]
            with self.subTest(at=at):
                self.assertEqual(count, len(unknown_jobs(requests, {"a": 5.0})))
                self.assertEqual(count, len(ends_taken_back(requests)))


class FinalReadTest(TrioTestCase):
    mock_clock = True

    # Only five jobs were asked for, so that a job which one node does not know was rarely found.
    async def test_every_job_is_read_at_every_node(self):
        accepted_at_by_job = {f"job-{number}": 1.0 for number in range(60)}

        class Nodes:
            addresses = ["first", "second"]
            requests = []

            async def call(self, node, method, queue, job, key, forwardable):
                await trio.sleep(0.1)
                return Reply(410 if (node, job) == (1, "job-42") else 200)

        configurations = Configurations(SimpleNamespace(put=lambda key, value: None))
        configurations.publish()
        log = SimpleNamespace(longest_lag=lambda since: 0.0)
        site = SimpleNamespace(configurations=configurations, log=log)
        found = await check_nodes(Callers(site, Random(1), Nodes(), accepted_at_by_job))
        self.assertEqual(1, len(found), found)
        self.assertIn("job-42", found[0])


class CutRequestTest(TrioTestCase):
    def cut(self, sent_at, ended_at, work=(), faults=()):
        request = Request(0, "GET", "urgent", "a", "key", sent_at, ended_at, 0, "", sent_at, True)
        return cut_requests([request], work, faults)

    # Requests without a reply were not looked at.
    def test_a_request_that_was_read_and_cut_is_found(self):
        stop, reload = PlannedWork(10.0, 0, "SIGTERM"), PlannedWork(10.0, 0, "SIGHUP")
        planned = Disturbance("stop-node", 10.0, 12.0, is_planned=True)
        for sent_at, ended_at, work, cause in (
            (12.0, 12.15, [stop], None),
            (12.0, 12.3, [stop], "SIGTERM"),
            (16.5, 16.9, [stop], "SIGTERM"),
            (16.9, 17.2, [stop], "without a stop"),
            (11.9, 19.0, [reload], "SIGHUP"),
            (12.1, 19.0, [reload], "without a stop"),
            (12.0, 12.3, [PlannedWork(10.0, 1, "SIGTERM")], "without a stop"),
        ):
            with self.subTest(sent_at=sent_at, ended_at=ended_at, work=work):
                found = self.cut(sent_at, ended_at, work, [planned])
                self.assertEqual(0 if cause is None else 1, len(found))
                self.assertIn(cause or "", "".join(found))

    def test_a_request_near_another_fault_is_not_counted(self):
        for began, ended, count in ((5.0, 7.9, 1), (5.0, 8.1, 0), (12.2, 13.0, 0), (13.0, 14.0, 1)):
            with self.subTest(began=began):
                faults = [Disturbance("kill-node", began, ended)]
                self.assertEqual(count, len(self.cut(12.0, 12.5, faults=faults)))

    async def test_a_connection_that_ends_without_a_reply_is_recorded(self):
        async def end(stream):
            await stream.receive_some()
            await trio.sleep(0.3)

        listen = partial(trio.serve_tcp, host="127.0.0.1")
        async with trio.open_nursery() as nursery:
            (listener,) = await nursery.start(listen, end, 0)
            port = listener.socket.getsockname()[1]
            connections = Connections([f"127.0.0.1:{port}", "127.0.0.1:1"])
            await connections.call(0, "GET", "urgent", "a", "key")
            await connections.call(1, "GET", "urgent", "a", "key")
            nursery.cancel_scope.cancel()
        cut, refused = connections.requests
        self.assertEqual((True, False), (cut.was_cut, refused.was_cut))
        self.assertEqual(1, len(cut_requests(connections.requests, [], [])))


class StandstillTest(unittest.TestCase):
    CAPACITY_BY_WORKER = dict.fromkeys(("w", "x"), ResourceAmounts(accelerators=8))

    def standing(self, steps, history=(), caps=(), until=10.0, accepted_at=0.0):
        moment = datetime(2020, 1, 1)
        record = AcceptedJob("a", "urgent", "t", "pool", "", steps, 0, 3, 1.5, timedelta(0), moment)
        return standing_jobs(
            [WaitingJob(record, accepted_at)],
            history,
            lambda job: "t",
            self.CAPACITY_BY_WORKER,
            lambda workspace, since, until: [ResourceAmounts(accelerators=cap) for cap in caps],
            [(0.0, until)],
        )

    # No check knew a job that stands still beside free room, such as behind a gang's reservation.
    def test_a_job_that_stands_still_beside_ample_room_is_found(self):
        busy = Step(1, ResourceAmounts(accelerators=8))
        large = Step(1, ResourceAmounts(accelerators=7))
        other = {"job": "b", "ended": None}
        first, second = STEP, Step(1, ResourceAmounts(accelerators=1), after=(0,))
        cases = (
            ("waits", (STEP,), [], (), 1),
            ("begins within 3 s", (STEP,), [run(None, began=2.9, ended=None)], (), 0),
            ("begins after 3 s", (STEP,), [run(None, began=3.3, ended=None)], (), 1),
            ("has ended", (STEP,), [run(RunEnd.DONE, began=0.5)], (), 0),
            ("was lost", (STEP,), [run(RunEnd.LOST, began=0.5)], (), 1),
            ("next step waits", (first, second), [run(RunEnd.DONE)], (), 1),
            ("next step has no turn", (first, second), [run(None, ended=None)], (), 0),
            ("half in use", (STEP,), [run(None, step=busy, **other)], (), 0),
            ("less in use", (STEP,), [run(None, step=large, **other)], (), 1),
            ("half of cap in use", (STEP,), [run(None, step=large, **other)], (14,), 0),
            ("lower cap in force", (STEP,), [run(None, step=large, **other)], (0, 20, 14), 0),
            ("less of cap in use", (STEP,), [run(None, step=large, **other)], (15,), 1),
            ("gang beyond its cap", (GANG,), [], (12,), 0),
            ("gang fits once", (GANG,), [], (), 0),
            ("gang fits twice", (SMALL_GANG,), [], (), 1),
        )
        for name, steps, history, caps, count in cases:
            with self.subTest(name=name):
                self.assertEqual(count, len(self.standing(steps, history, caps)))

    def test_only_calm_times_after_the_acceptance_count(self):
        self.assertEqual([], self.standing((STEP,), until=2.9))
        self.assertEqual([], self.standing((STEP,), accepted_at=7.1))
        self.assertEqual(1, len(self.standing((STEP,), accepted_at=6.9)))

    def test_calm_times_keep_clear_of_disturbances(self):
        faults = [Disturbance("b", 30, 31), Disturbance("a", 10, 20), Disturbance("c", 12, 13)]
        self.assertEqual([(0, 10), (24, 30), (35, 40)], list(calm_spans(faults, 0, 40)))
        self.assertEqual([(0, 5)], list(calm_spans(faults, 0, 5)))
        self.assertEqual([(0, 10)], list(calm_spans([Disturbance("a", 10)], 0, 40)))
