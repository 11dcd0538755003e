"""Tests of the seeds of the soak test with workers out of sight of a new owner."""

import sys
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

import trio
from mimosapoint.cell.election import CellOwnerRecord
from mimosapoint.cell.keys import OWNER_KEY, member_key
from mimosapoint.codec import decode, encode
from mimosapoint.memory import MemoryTransactionStore, TrioClock
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import ResourceAmounts

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform"))

from tools.soak.faults import fault_names  # noqa: E402 (needs the path)
from tools.soak.node_links import AddressRewritingStore  # noqa: E402
from tools.soak.profile import FIRST_CUT_SEED, LAST_CUT_SEED, profile_of  # noqa: E402
from tools.soak.run import run_seed  # noqa: E402
from tools.soak.worker_reports import REPORT_SECONDS, SILENT_SECONDS, WorkerReports  # noqa: E402

CUT_SEED = 7003
"""Seed in which workers move, lose the store and lose the owner, as a cause of the incident
of tasks that ran twice after a change of owner."""


class WorkerReportsTest(TrioTestCase):
    mock_clock = True

    def make_worker(self):
        registration = SimpleNamespace(
            id="w",
            pool="pool",
            zone="z",
            draining=False,
            labels=frozenset(),
            capacity=ResourceAmounts(1),
        )
        return SimpleNamespace(registration=registration, born=1)

    # Guards against a soak in which the store still lists workers that have lost it.
    async def test_an_entry_is_removed_three_reports_after_the_last_and_back_at_once(self):
        store = MemoryTransactionStore(TrioClock())
        reports = WorkerReports(store, [self.make_worker()], [SimpleNamespace(address="a:1")])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reports.run)
            await trio.sleep(REPORT_SECONDS / 2)
            with reports.cut(0):
                with reports.cut(0):
                    await trio.sleep(SILENT_SECONDS - REPORT_SECONDS / 2 - 0.2)
                    self.assertIsNotNone(store.peek("servers/w"))
                await reports.wait_removed(0)
                self.assertAlmostEqual(SILENT_SECONDS, trio.current_time(), delta=0.2)
                reports.report(0)
                await trio.sleep(2 * REPORT_SECONDS)
                self.assertIsNone(store.peek("servers/w"))
            self.assertIsNotNone(store.peek("servers/w"))
            nursery.cancel_scope.cancel()


class NodeLinksTest(TrioTestCase):
    # Guards against cuts between nodes that cut nothing, as nodes find each other without proxies.
    async def test_nodes_find_the_proxies_of_other_nodes_in_the_store(self):
        store = AddressRewritingStore(TrioClock())
        store.proxies_by_address = {b"127.1.1.1:5000": b"127.1.1.250:60000"}
        store.put(OWNER_KEY, encode(CellOwnerRecord("n", "127.1.1.1:5000")))
        store.put(member_key("n"), b"127.1.1.1:5000")
        store.put("servers/w", b"127.1.1.1:5000")
        owner = decode(store.peek(OWNER_KEY), CellOwnerRecord)
        self.assertEqual("127.1.1.250:60000", owner.carriers_address)
        self.assertEqual(b"127.1.1.250:60000", store.peek(member_key("n")))
        self.assertEqual(b"127.1.1.1:5000", store.peek("servers/w"))


class ProfileTest(unittest.TestCase):
    # Guards against earlier seeds that change with the addition of these.
    def test_only_the_seeds_of_the_range_have_cuts(self):
        for seed, has_cuts in (
            (FIRST_CUT_SEED - 1, False),
            (FIRST_CUT_SEED, True),
            (LAST_CUT_SEED, True),
            (LAST_CUT_SEED + 1, False),
        ):
            with self.subTest(seed=seed):
                profile = profile_of(seed)
                self.assertEqual(has_cuts, profile.has_cuts)
                self.assertEqual(not has_cuts, profile.is_deployment)
                if has_cuts:
                    self.assertIn(len(profile.mbps_by_node), range(4, 9))
        self.assertNotIn("move-workers", fault_names(profile_of(FIRST_CUT_SEED - 1)))


class CutSeedTest(unittest.TestCase):
    # Guards against a task that runs twice, on a worker out of sight and on another one.
    def test_a_seed_with_workers_out_of_sight_keeps_every_promise(self):
        with tempfile.TemporaryDirectory() as folder:
            result = trio.run(run_seed, CUT_SEED, Path(folder))
        self.assertEqual([], result.violations, f"lag {result.lag:.2f} s; {result.faults}")
        self.assertGreater(result.accepted, 0)
