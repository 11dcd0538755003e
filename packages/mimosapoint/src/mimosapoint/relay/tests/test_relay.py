"""Tests of the relay of orders to workers."""

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
from mimosapoint.relay._framed_stream import FramedStream
from mimosapoint.relay.client import (
    DIRECT_FALLBACK_SECONDS,
    IDLE_WORKER_SECONDS,
    SPARE_RELAYS,
    WORKERS_PER_RELAY,
)
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.workload import AcceptedJob, ResourceAmounts, RunEnd, Step, TaskId

TASK = TaskId("job", 1, 2, 3)
REPORT = WorkerRunReport(
    7, 5, (RunStatus(TASK, 4, "mark", 50),), (EndedRun(9, TASK, 3, RunEnd.FAILED, "old"),)
)
RENEWAL = RenewLeaseOrder(11, None, 8, timedelta(milliseconds=250))


def make_job(name: str) -> AcceptedJob:
    step = Step(4, ResourceAmounts(1000, 10, 1), timedelta(seconds=2), gang=True, label="a")
    accepted = datetime(2026, 1, 1, tzinfo=timezone.utc)
    return AcceptedJob(name, "q", "t", "p", "spec", (step,), 0, 3, 2.0, timedelta(0), accepted)


def make_worker(name: str) -> WorkerRegistration:
    return WorkerRegistration(
        name, f"{name}:1", "p", "z", "r", frozenset({"a"}), ResourceAmounts(1000)
    )


def make_start(name: str = "job") -> StartOrder:
    return StartOrder(TaskId(name, 0, 0, 1), 6, make_job(name), 11, 900, "mark")


class RecordingWorkers:
    """Records orders; returns the configured reply for each kind, or raises it."""

    def __init__(self):
        self.orders = []
        self.replies = {"hold": REPORT, "start": 70, "stop": None}
        self.delay = 0.0

    async def renew_lease(self, registration, order):
        return await self._record("hold", registration, order)

    async def start(self, registration, order):
        return await self._record("start", registration, order)

    async def stop(self, registration, order):
        return await self._record("stop", registration, order)

    async def _record(self, kind, registration, order):
        self.orders.append((registration.id, registration.address, order))
        await trio.sleep(self.delay)
        reply = self.replies[kind]
        if isinstance(reply, Exception):
            raise reply
        return reply


class RelayFixture:
    """An owner and the relay nodes that join it."""

    def __init__(self, nursery):
        self.direct = RecordingWorkers()
        self.telemetry = MemoryTelemetry()
        self.relayed = RelayedWorkers(self.direct, self.telemetry)
        self.nursery = nursery
        self.relay_workers = []
        self.streams = []

    async def join(self, count=1):
        for _ in range(count):
            owner_end, relay_end = trio.testing.memory_stream_pair()
            workers = RecordingWorkers()
            self.relay_workers.append(workers)
            self.streams.append((owner_end, relay_end))
            self.nursery.start_soon(self.relayed.accept, owner_end)
            self.nursery.start_soon(serve_relay, relay_end, workers, MemoryTelemetry())
        await trio.testing.wait_all_tasks_blocked()


class RelayTestCase(unittest.TestCase):
    def run_test(self, test):
        async def run():
            async with trio.open_nursery() as nursery:
                await test(RelayFixture(nursery))
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


class OrderTest(RelayTestCase):
    def test_orders_and_replies_arrive_unchanged(self):
        async def test(fixture):
            await fixture.join()
            workers = fixture.relay_workers[0]
            stop = StopOrder(TASK, 6, 11)
            self.assertEqual(REPORT, await fixture.relayed.renew_lease(make_worker("w"), RENEWAL))
            self.assertEqual(70, await fixture.relayed.start(make_worker("w"), make_start()))
            self.assertIsNone(await fixture.relayed.stop(make_worker("w"), stop))
            self.assertEqual(
                [("w", "w:1", RENEWAL), ("w", "w:1", make_start()), ("w", "w:1", stop)],
                workers.orders,
            )
            self.assertEqual([], fixture.direct.orders)

        self.run_test(test)

    def test_every_error_keeps_its_type(self):
        errors = (
            StartRefused("late"),
            StaleEpoch(12),
            WorkerReplaced("another"),
            WorkerRefused("refused"),
            WorkerUnreachable("silent"),
        )

        async def test(fixture):
            await fixture.join()
            for number, error in enumerate(errors):
                fixture.relay_workers[0].replies["start"] = error
                with self.assertRaises(type(error)) as caught:
                    await fixture.relayed.start(make_worker(f"w{number}"), make_start())
                self.assertEqual(str(error), str(caught.exception))

        self.run_test(test)

    def test_unknown_error_means_unknown_outcome(self):
        error = MimosapointError("new")
        self.assertIsInstance(
            _messages.decode_error(_messages.encode_error(1, error)), WorkerUnreachable
        )

    def test_a_job_is_sent_once_to_each_relay_node(self):
        async def test(fixture):
            await fixture.join()
            sent = []
            original = fixture.streams[0][0].send_all

            async def send(data):
                sent.append(data)
                await original(data)

            fixture.streams[0][0].send_all = send
            for _ in range(3):
                await fixture.relayed.start(make_worker("w"), make_start())
            rows = [row for data in sent for row in orjson.loads(data[4:])]
            self.assertEqual(1, len([row for row in rows if row[0] == _messages.JOB]))

        self.run_test(test)

    def test_jobs_evicted_from_the_cache_are_sent_again(self):
        async def test(fixture):
            await fixture.join()
            for name in ("a", "b", "a", "c", "b", "a", "c"):
                await fixture.relayed.start(make_worker("w"), make_start(name))
            names = [order.job.id for _, _, order in fixture.relay_workers[0].orders]
            self.assertEqual(["a", "b", "a", "c", "b", "a", "c"], names)

        with mock.patch.object(_messages, "JOB_CACHE_SIZE", 2):
            self.run_test(test)

    def test_concurrent_orders_share_a_frame(self):
        async def test(fixture):
            await fixture.join()
            frames = []
            original = fixture.streams[0][0].send_all

            async def send(data):
                frames.append(len(orjson.loads(data[4:])))
                await original(data)

            fixture.streams[0][0].send_all = send
            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(
                        fixture.relayed.renew_lease, make_worker(f"w{number}"), RENEWAL
                    )
            self.assertEqual([8], frames)

        self.run_test(test)


class RelayNodeLossTest(RelayTestCase):
    def test_without_relay_nodes_orders_go_directly_to_the_worker(self):
        async def test(fixture):
            self.assertEqual(70, await fixture.relayed.start(make_worker("w"), make_start()))
            self.assertEqual(1, len(fixture.direct.orders))

        self.run_test(test)

    def test_pending_order_has_unknown_outcome_when_its_relay_node_disconnects(self):
        async def test(fixture):
            await fixture.join()
            fixture.relay_workers[0].delay = 5
            fixture.nursery.start_soon(close_after, fixture.streams[0][1], 0.2)
            with self.assertRaises(WorkerUnreachable):
                await fixture.relayed.start(make_worker("w"), make_start())
            await fixture.relayed.start(make_worker("w"), make_start())
            self.assertEqual(1, len(fixture.direct.orders))

        self.run_test(test)

    def test_unresponsive_relay_node_is_dropped_within_two_seconds(self):
        async def test(fixture):
            owner_end, _ = trio.testing.memory_stream_pair()
            fixture.nursery.start_soon(fixture.relayed.accept, owner_end)
            await trio.testing.wait_all_tasks_blocked()
            with trio.fail_after(2), self.assertRaises(WorkerUnreachable):
                await fixture.relayed.start(make_worker("w"), make_start())
            self.assertEqual(70, await fixture.relayed.start(make_worker("w"), make_start()))

        self.run_test(test)

    # Guards against a relay node on a slow link that is dropped in the middle of a large frame.
    def test_a_large_frame_may_take_longer_than_the_timeout_while_it_is_read(self):
        async def test(fixture):
            sender_end, reader_end = trio.testing.lockstep_stream_pair()
            sender = FramedStream(sender_end)
            reasons = []

            async def send():
                reasons.append(await sender.run(lambda message: None))

            fixture.nursery.start_soon(send)
            sender.send(["x" * 400_000])
            received = 0
            while received < 400_000 and not reasons:
                received += len(await reader_end.receive_some(20_000))
                await reader_end.send_all(b"\0\0\0\2[]")
                await trio.sleep(0.2)
            self.assertEqual([], reasons)

        self.run_test(test)

    def test_idle_relay_node_stays_connected(self):
        async def test(fixture):
            await fixture.join()
            await trio.sleep(30)
            await fixture.relayed.start(make_worker("w"), make_start())
            self.assertEqual([], fixture.direct.orders)

        self.run_test(test)

    def test_relay_node_that_sends_invalid_frames_is_dropped(self):
        for data in (b"\xff\xff\xff\xff", b"\0\0\0\2{}", b"\0\0\0\3abc", b"\0\0\0\3[1]"):

            async def test(fixture, data=data):
                owner_end, relay_end = trio.testing.memory_stream_pair()
                fixture.nursery.start_soon(fixture.relayed.accept, owner_end)
                await relay_end.send_all(data)
                await trio.testing.wait_all_tasks_blocked()
                event = fixture.telemetry.events[-1]
                self.assertEqual("carrier-gone", event.name)
                self.assertIn("unreadable", event.fields["reason"])

            with self.subTest(data):
                self.run_test(test)

    def test_invalid_reply_means_unknown_outcome(self):
        async def test(fixture):
            owner_end, relay_end = trio.testing.memory_stream_pair()
            fixture.nursery.start_soon(fixture.relayed.accept, owner_end)
            await trio.testing.wait_all_tasks_blocked()
            body = orjson.dumps([[1, "lists", 3]])
            fixture.nursery.start_soon(
                send_after, relay_end, len(body).to_bytes(4, "big") + body, 0.2
            )
            with self.assertRaisesRegex(WorkerUnreachable, "unusable"):
                await fixture.relayed.renew_lease(make_worker("w"), RENEWAL)

        self.run_test(test)

    def test_orders_go_directly_for_a_while_after_the_relay_node_does_not_reach_the_worker(self):
        async def test(fixture):
            await fixture.join()
            fixture.relay_workers[0].replies["hold"] = WorkerUnreachable("cut")
            with self.assertRaises(WorkerUnreachable):
                await fixture.relayed.renew_lease(make_worker("w"), RENEWAL)
            self.assertEqual(REPORT, await fixture.relayed.renew_lease(make_worker("w"), RENEWAL))
            await trio.sleep(DIRECT_FALLBACK_SECONDS)
            fixture.relay_workers[0].replies["hold"] = REPORT
            await fixture.relayed.renew_lease(make_worker("w"), RENEWAL)
            self.assertEqual(
                (1, 2), (len(fixture.direct.orders), len(fixture.relay_workers[0].orders))
            )

        self.run_test(test)


class RelayNodeCountTest(RelayTestCase):
    def test_more_workers_use_more_relay_nodes(self):
        async def test(fixture):
            await fixture.join(2)
            await fixture.relayed.renew_lease(make_worker("w"), RENEWAL)
            self.assertEqual([0, 1], sorted(len(each.orders) for each in fixture.relay_workers))
            for number in range(3 * WORKERS_PER_RELAY):
                await fixture.relayed.renew_lease(make_worker(f"w{number}"), RENEWAL)
            await fixture.join(2)
            for number in range(3 * WORKERS_PER_RELAY):
                await fixture.relayed.renew_lease(make_worker(f"w{number}"), RENEWAL)
            self.assertTrue(all(each.orders for each in fixture.relay_workers))

        self.run_test(test)

    def test_workers_that_are_gone_are_forgotten(self):
        """Workers are replaced one after the other during one long ownership."""

        async def test(fixture):
            for number in range(10 * WORKERS_PER_RELAY):
                await fixture.relayed.renew_lease(make_worker(f"old-{number}"), RENEWAL)
            await trio.sleep(IDLE_WORKER_SECONDS + 1)
            for _ in range(20):
                for number in range(WORKERS_PER_RELAY):
                    await fixture.relayed.renew_lease(make_worker(f"new-{number}"), RENEWAL)
            self.assertEqual(1, fixture.relayed.needed_relays())

        self.run_test(test)

    def test_relay_nodes_beyond_the_spare_ones_are_refused(self):
        async def test(fixture):
            await fixture.join(4)
            joined = [event for event in fixture.telemetry.events if event.name == "carrier-joined"]
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
