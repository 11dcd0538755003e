"""Tests of one seed of the soak test, and that its checks detect violations."""

import sys
import tempfile
import unittest
from contextlib import suppress
from functools import partial
from pathlib import Path
from types import SimpleNamespace

import trio
from mimosapoint.memory import RunRecord
from mimosapoint.testing import TrioTestCase
from mimosapoint.testing.run_checks import run_violations
from mimosapoint.workload import ResourceAmounts, RunEnd, Step, TaskId

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform"))

from tools.soak.link import Link  # noqa: E402 (needs the path)
from tools.soak.proxy import Proxy  # noqa: E402
from tools.soak.run import find_violations, run_seed  # noqa: E402

SEED = 1
TASK = TaskId("a", 0, 0, 0)
STEP = Step(1, ResourceAmounts(1))


def record(run, began, ended, end=RunEnd.STOPPED, **more):
    return RunRecord(TASK, run, "w", STEP, began, ended, end, **more)


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
        simulation = SimpleNamespace(history=[record(1, 0, None, None)], over_capacity_workers=[])
        site = SimpleNamespace(simulation=simulation)
        refused = SimpleNamespace(refused={"a"}, cancelled=set())
        self.assertEqual(["a ran though it was refused"], find_violations(site, refused))
        cancelled = SimpleNamespace(refused=set(), cancelled={"a"})
        self.assertEqual(["a runs on though cancelled"], find_violations(site, cancelled))


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
    def test_a_seed_keeps_every_promise(self):
        with tempfile.TemporaryDirectory() as folder:
            violations, faults, accepted = trio.run(run_seed, SEED, Path(folder))
        self.assertEqual([], violations, faults)
        self.assertGreater(accepted, 0)
