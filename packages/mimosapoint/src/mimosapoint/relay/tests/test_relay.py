"""Orders by way of another node."""

import unittest
from datetime import datetime, timedelta, timezone
from unittest import mock

import orjson
import trio
import trio.testing

from mimosapoint.errors import MimosapointError, StaleEpoch, WorkerRefused, WorkerUnreachable
from mimosapoint.ports import (
    EndedRun,
    RenewLeaseOrder,
    RunStatus,
    StartOrder,
    StartRefused,
    StopOrder,
    WorkerRegistration,
    WorkerReplaced,
    WorkerRunReport,
)
from mimosapoint.relay import RelayedWorkers, _messages, serve_relay
from mimosapoint.relay.client import DIRECT_FALLBACK_SECONDS, SPARE_RELAYS, WORKERS_PER_RELAY
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.workload import AcceptedJob, ResourceAmounts, RunEnd, Step, TaskId

TASK = TaskId("job", 1, 2, 3)
LISTS = WorkerRunReport(
    7, 5, (RunStatus(TASK, 4, "mark", 50),), (EndedRun(9, TASK, 3, RunEnd.FAILED, "old"),)
)
HOLD = RenewLeaseOrder(11, None, 8, timedelta(milliseconds=250))


def job(name: str) -> AcceptedJob:
    step = Step(4, ResourceAmounts(1000, 10, 1), timedelta(seconds=2), gang=True, label="a")
    accepted = datetime(2026, 1, 1, tzinfo=timezone.utc)
    return AcceptedJob(name, "q", "t", "p", "spec", (step,), 0, 3, 2.0, timedelta(0), accepted)


def worker(name: str) -> WorkerRegistration:
    return WorkerRegistration(
        name, f"{name}:1", "p", "z", "r", frozenset({"a"}), ResourceAmounts(1000)
    )


def start(name: str = "job") -> StartOrder:
    return StartOrder(TaskId(name, 0, 0, 1), 6, job(name), 11, 900, "mark")


class Workers:
    """Records orders; answers each kind with a value, or raises it."""

    def __init__(self):
        self.orders = []
        self.answers = {"hold": LISTS, "start": 70, "stop": None}
        self.wait = 0.0

    async def renew_lease(self, to, order):
        return await self._take("hold", to, order)

    async def start(self, to, order):
        return await self._take("start", to, order)

    async def stop(self, to, order):
        return await self._take("stop", to, order)

    async def _take(self, kind, to, order):
        self.orders.append((to.id, to.address, order))
        await trio.sleep(self.wait)
        answer = self.answers[kind]
        if isinstance(answer, Exception):
            raise answer
        return answer


class RelayFixture:
    """An owner and nodes that join it."""

    def __init__(self, nursery):
        self.direct = Workers()
        self.telemetry = MemoryTelemetry()
        self.relay = RelayedWorkers(self.direct, self.telemetry)
        self.nursery = nursery
        self.carriers = []
        self.streams = []

    async def join(self, count=1):
        for _ in range(count):
            near, far = trio.testing.memory_stream_pair()
            workers = Workers()
            self.carriers.append(workers)
            self.streams.append((near, far))
            self.nursery.start_soon(self.relay.accept, near)
            self.nursery.start_soon(serve_relay, far, workers, MemoryTelemetry())
        await trio.testing.wait_all_tasks_blocked()


class RelayCase(unittest.TestCase):
    def run_test(self, test):
        async def run():
            async with trio.open_nursery() as nursery:
                await test(RelayFixture(nursery))
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


class OrderTest(RelayCase):
    def test_orders_and_answers_arrive_as_they_were_given(self):
        async def test(site):
            await site.join()
            workers = site.carriers[0]
            stop = StopOrder(TASK, 6, 11)
            self.assertEqual(LISTS, await site.relay.renew_lease(worker("w"), HOLD))
            self.assertEqual(70, await site.relay.start(worker("w"), start()))
            self.assertIsNone(await site.relay.stop(worker("w"), stop))
            self.assertEqual(
                [("w", "w:1", HOLD), ("w", "w:1", start()), ("w", "w:1", stop)], workers.orders
            )
            self.assertEqual([], site.direct.orders)

        self.run_test(test)

    def test_every_error_keeps_its_type(self):
        errors = (
            StartRefused("late"),
            StaleEpoch(12),
            WorkerReplaced("another"),
            WorkerRefused("refused"),
            WorkerUnreachable("silent"),
        )

        async def test(site):
            await site.join()
            for number, error in enumerate(errors):
                site.carriers[0].answers["start"] = error
                with self.assertRaises(type(error)) as caught:
                    await site.relay.start(worker(f"w{number}"), start())
                self.assertEqual(str(error), str(caught.exception))

        self.run_test(test)

    def test_an_unknown_error_leaves_the_effect_open(self):
        error = MimosapointError("new")
        self.assertIsInstance(
            _messages.decode_error(_messages.encode_error(1, error)), WorkerUnreachable
        )

    def test_a_job_is_told_once_to_each_node(self):
        async def test(site):
            await site.join()
            sent = []
            original = site.streams[0][0].send_all

            async def send(data):
                sent.append(data)
                await original(data)

            site.streams[0][0].send_all = send
            for _ in range(3):
                await site.relay.start(worker("w"), start())
            rows = [row for data in sent for row in orjson.loads(data[4:])]
            self.assertEqual(1, len([row for row in rows if row[0] == _messages.JOB]))

        self.run_test(test)

    def test_jobs_that_were_forgotten_are_told_again(self):
        async def test(site):
            await site.join()
            for name in ("a", "b", "a", "c", "b", "a", "c"):
                await site.relay.start(worker("w"), start(name))
            names = [order.job.id for _, _, order in site.carriers[0].orders]
            self.assertEqual(["a", "b", "a", "c", "b", "a", "c"], names)

        with mock.patch.object(_messages, "JOBS_KEPT", 2):
            self.run_test(test)

    def test_orders_of_one_turn_share_a_frame(self):
        async def test(site):
            await site.join()
            frames = []
            original = site.streams[0][0].send_all

            async def send(data):
                frames.append(len(orjson.loads(data[4:])))
                await original(data)

            site.streams[0][0].send_all = send
            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(site.relay.renew_lease, worker(f"w{number}"), HOLD)
            self.assertEqual([8], frames)

        self.run_test(test)


class CarrierLossTest(RelayCase):
    def test_without_carriers_orders_go_straight_to_the_worker(self):
        async def test(site):
            self.assertEqual(70, await site.relay.start(worker("w"), start()))
            self.assertEqual(1, len(site.direct.orders))

        self.run_test(test)

    def test_an_order_under_way_has_an_open_effect_when_its_carrier_goes(self):
        async def test(site):
            await site.join()
            site.carriers[0].wait = 5
            site.nursery.start_soon(close_after, site.streams[0][1], 0.2)
            with self.assertRaises(WorkerUnreachable):
                await site.relay.start(worker("w"), start())
            await site.relay.start(worker("w"), start())
            self.assertEqual(1, len(site.direct.orders))

        self.run_test(test)

    def test_a_silent_carrier_is_given_up_within_two_seconds(self):
        async def test(site):
            near, _ = trio.testing.memory_stream_pair()
            site.nursery.start_soon(site.relay.accept, near)
            await trio.testing.wait_all_tasks_blocked()
            with trio.fail_after(2), self.assertRaises(WorkerUnreachable):
                await site.relay.start(worker("w"), start())
            self.assertEqual(70, await site.relay.start(worker("w"), start()))

        self.run_test(test)

    def test_an_idle_carrier_is_kept(self):
        async def test(site):
            await site.join()
            await trio.sleep(30)
            await site.relay.start(worker("w"), start())
            self.assertEqual([], site.direct.orders)

        self.run_test(test)

    def test_a_carrier_that_sends_no_frames_is_given_up(self):
        for data in (b"\xff\xff\xff\xff", b"\0\0\0\2{}", b"\0\0\0\3abc", b"\0\0\0\3[1]"):

            async def test(site, data=data):
                near, far = trio.testing.memory_stream_pair()
                site.nursery.start_soon(site.relay.accept, near)
                await far.send_all(data)
                await trio.testing.wait_all_tasks_blocked()
                event = site.telemetry.events[-1]
                self.assertEqual("carrier-gone", event.name)
                self.assertIn("unreadable", event.fields["reason"])

            with self.subTest(data):
                self.run_test(test)

    def test_an_unusable_answer_leaves_the_effect_open(self):
        async def test(site):
            near, far = trio.testing.memory_stream_pair()
            site.nursery.start_soon(site.relay.accept, near)
            await trio.testing.wait_all_tasks_blocked()
            body = orjson.dumps([[1, "lists", 3]])
            site.nursery.start_soon(send_after, far, len(body).to_bytes(4, "big") + body, 0.2)
            with self.assertRaisesRegex(WorkerUnreachable, "unusable"):
                await site.relay.renew_lease(worker("w"), HOLD)

        self.run_test(test)

    def test_a_worker_that_its_carrier_does_not_reach_is_reached_directly_for_a_while(self):
        async def test(site):
            await site.join()
            site.carriers[0].answers["hold"] = WorkerUnreachable("cut")
            with self.assertRaises(WorkerUnreachable):
                await site.relay.renew_lease(worker("w"), HOLD)
            self.assertEqual(LISTS, await site.relay.renew_lease(worker("w"), HOLD))
            await trio.sleep(DIRECT_FALLBACK_SECONDS)
            site.carriers[0].answers["hold"] = LISTS
            await site.relay.renew_lease(worker("w"), HOLD)
            self.assertEqual((1, 2), (len(site.direct.orders), len(site.carriers[0].orders)))

        self.run_test(test)


class ShareTest(RelayCase):
    def test_more_workers_use_more_nodes(self):
        async def test(site):
            await site.join(2)
            await site.relay.renew_lease(worker("w"), HOLD)
            self.assertEqual([0, 1], sorted(len(each.orders) for each in site.carriers))
            for number in range(3 * WORKERS_PER_RELAY):
                await site.relay.renew_lease(worker(f"w{number}"), HOLD)
            await site.join(2)
            for number in range(3 * WORKERS_PER_RELAY):
                await site.relay.renew_lease(worker(f"w{number}"), HOLD)
            self.assertTrue(all(each.orders for each in site.carriers))

        self.run_test(test)

    def test_nodes_beyond_those_needed_are_sent_away(self):
        async def test(site):
            await site.join(4)
            joined = [event for event in site.telemetry.events if event.name == "carrier-joined"]
            self.assertEqual(1 + SPARE_RELAYS, len(joined))

        self.run_test(test)


async def send_after(stream, data, seconds):
    await trio.sleep(seconds)
    await stream.send_all(data)


async def close_after(stream, seconds):
    await trio.sleep(seconds)
    await stream.aclose()


if __name__ == "__main__":
    unittest.main()
