"""Tests of the membership on an in-memory network, in simulated time."""

from contextlib import asynccontextmanager
from datetime import timedelta

import trio

from mimosapoint.membership import MembershipSettings
from mimosapoint.membership.tests._cluster import Cluster
from mimosapoint.model import Vm, VmKind, VmState
from mimosapoint.testing import TrioTestCase

FAILED_NODE = "node-03"
SIZES = (8, 48)
CONVERGENCE_SECONDS = 20.0
"""Time after a change within which every view must have converged, in seconds."""

LINK_BYTES_PER_SECOND = 250_000.0
CONFIGURATION_BYTES = 500_000


def address(number):
    return Cluster.vm(number).address


def kill(cluster):
    cluster.kill(FAILED_NODE)


def freeze(cluster):
    cluster.network.freeze(address(3))


def isolate(cluster):
    for number in range(len(cluster.vms_by_id)):
        cluster.network.cut(address(3), address(number))


FAILURES = {"kill": kill, "freeze": freeze, "cut off": isolate}


class MembershipTestCase(TrioTestCase):
    mock_clock = True

    @asynccontextmanager
    async def cluster(self, size, **options):
        """Start a cluster and wait until all nodes see each other as live."""
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery, size, **options)
            await cluster.start_all()
            await cluster.until_converged(cluster.vms_by_id)
            yield cluster
            nursery.cancel_scope.cancel()

    def other_members(self, cluster):
        """Return the running nodes except the failed one."""
        return [member for id, member in cluster.members_by_id.items() if id != FAILED_NODE]


class FailureTest(MembershipTestCase):
    async def test_failed_node_leaves_every_view_and_returns(self):
        for size, name in ((8, "kill"), (8, "freeze"), (8, "cut off"), (48, "cut off")):
            with self.subTest(name, size=size):
                async with self.cluster(size) as cluster:
                    await self.fail_and_restore(cluster, name, FAILURES[name])

    async def fail_and_restore(self, cluster, name, fail):
        fail(cluster)
        other_members = self.other_members(cluster)
        detected = await cluster.until(
            lambda: not any(m.is_alive(FAILED_NODE) for m in other_members)
        )
        self.assertLess(detected, 6)
        self.assertGreater(detected, 2)
        self.assertTrue(all(len(m.live_nodes()) == len(other_members) for m in other_members))
        if name == "kill":
            await cluster.start(cluster.vms_by_id[FAILED_NODE])
        cluster.network.thaw(address(3))
        for number in range(len(cluster.vms_by_id)):
            cluster.network.heal(address(3), address(number))
        self.assertLess(await cluster.until_converged(cluster.vms_by_id), 8)

    async def test_cut_between_two_nodes_changes_no_view(self):
        cuts = {
            "both ways": lambda network: network.cut(address(0), address(1)),
            "one way": lambda network: network.cut_one_way(address(0), address(1)),
        }
        for name, cut in cuts.items():
            with self.subTest(name):
                async with self.cluster(8) as cluster:
                    changes = [m.generation for m in cluster.members_by_id.values()]
                    cut(cluster.network)
                    await trio.sleep(CONVERGENCE_SECONDS)
                    self.assertTrue(cluster.converged(cluster.vms_by_id))
                    after = [m.generation for m in cluster.members_by_id.values()]
                    self.assertEqual(after, changes)

    async def test_node_that_only_sends_or_only_receives(self):
        for name, lost in (("receives", (3, None)), ("sends", (None, 3))):
            with self.subTest(name):
                async with self.cluster(8) as cluster:
                    for number in set(range(8)) - {3}:
                        pair = (3, number) if lost[0] == 3 else (number, 3)
                        cluster.network.cut_one_way(address(pair[0]), address(pair[1]))
                    await trio.sleep(CONVERGENCE_SECONDS)
                    seen_alive = [
                        member.is_alive(FAILED_NODE) for member in self.other_members(cluster)
                    ]
                    other_ids = [id for id in cluster.vms_by_id if id != FAILED_NODE]
                    sees_alive = [
                        cluster.members_by_id[FAILED_NODE].is_alive(id) for id in other_ids
                    ]
                    self.assertEqual(set(seen_alive), {name == "sends"})
                    self.assertEqual(set(sees_alive), {name == "receives"})

    async def test_partitioned_halves_separate_and_converge_after_healing(self):
        async with self.cluster(8) as cluster:
            ids = sorted(cluster.vms_by_id)
            for one in range(4):
                for other in range(4, 8):
                    cluster.network.cut(address(one), address(other))
            await trio.sleep(CONVERGENCE_SECONDS)
            views = [set(cluster.members_by_id[id].live_nodes()) for id in ids]
            self.assertEqual(views, [set(ids[:4])] * 4 + [set(ids[4:])] * 4)
            for one in range(4):
                for other in range(4, 8):
                    cluster.network.heal(address(one), address(other))
            self.assertLess(await cluster.until_converged(ids), 8)

    async def test_slow_network_does_not_flap(self):
        async with self.cluster(48, delay=timedelta(milliseconds=100)) as cluster:
            changes = [m.generation for m in cluster.members_by_id.values()]
            await trio.sleep(10)
            self.assertEqual([m.generation for m in cluster.members_by_id.values()], changes)

    async def test_views_converge_after_repeated_restarts(self):
        async with self.cluster(8) as cluster:
            for _ in range(5):
                cluster.kill(FAILED_NODE)
                await trio.sleep(1)
                await cluster.start(cluster.vms_by_id[FAILED_NODE])
                await trio.sleep(1)
            self.assertLess(await cluster.until_converged(cluster.vms_by_id), 8)
            await trio.sleep(CONVERGENCE_SECONDS)
            self.assertTrue(cluster.converged(cluster.vms_by_id))

    async def test_process_pause_does_not_mark_other_nodes_dead(self):
        async with self.cluster(8) as cluster:
            member = cluster.members_by_id[FAILED_NODE]
            before = set(member.live_nodes())
            member._last_round_at -= timedelta(seconds=60)
            for record in member._table.records_by_id.values():
                record.progressed_at -= timedelta(seconds=60)
            member._run_round()
            self.assertEqual(set(member.live_nodes()), before)
            self.assertIn("member-paused", cluster.telemetry_by_id[FAILED_NODE].event_names())


class ListTest(MembershipTestCase):
    async def test_unlisted_node_is_live_only_where_heard_directly(self):
        async with self.cluster(8) as cluster:
            newcomer = Cluster.vm(8)
            for number in range(1, 8):
                cluster.network.cut(newcomer.address, address(number))
            await cluster.start(newcomer)
            await trio.sleep(CONVERGENCE_SECONDS)
            for id, member in cluster.members_by_id.items():
                with self.subTest(id):
                    self.assertIn(newcomer.id, member.known_nodes())
                    heard = id in ("node-00", newcomer.id)
                    self.assertEqual(newcomer.id in member.live_nodes(), heard)
            cluster.vm_list.put(newcomer)
            ids = {*cluster.vms_by_id, newcomer.id}
            self.assertLess(await cluster.until_converged(ids), 3)

    async def test_silent_node_is_removed_once_it_is_unlisted(self):
        async with self.cluster(8) as cluster:
            cluster.kill(FAILED_NODE)
            await trio.sleep(60)
            known = [FAILED_NODE in m.known_nodes() for m in cluster.members_by_id.values()]
            self.assertEqual(set(known), {True})
            cluster.vm_list.remove(FAILED_NODE)
            await trio.sleep(60)
            known = [FAILED_NODE in m.known_nodes() for m in cluster.members_by_id.values()]
            self.assertEqual(set(known), {False})
            await cluster.start(cluster.vms_by_id[FAILED_NODE])
            cluster.vm_list.put(cluster.vms_by_id[FAILED_NODE])
            self.assertLess(await cluster.until_converged(cluster.vms_by_id), 8)

    async def test_silent_listed_node_is_removed_after_the_longer_timeout(self):
        settings = MembershipSettings(remove_listed_after=timedelta(seconds=40))
        async with self.cluster(4, settings=settings) as cluster:
            cluster.kill(FAILED_NODE)
            members = cluster.members_by_id.values()
            for seconds, kept in ((30, True), (20, False)):
                await trio.sleep(seconds)
                recorded = {FAILED_NODE in member._table.records_by_id for member in members}
                self.assertEqual(recorded, {kept})
            self.assertTrue(all(FAILED_NODE in member.known_nodes() for member in members))
            await cluster.start(cluster.vms_by_id[FAILED_NODE])
            self.assertLess(await cluster.until_converged(cluster.vms_by_id), 8)

    async def test_outage_of_the_list_keeps_the_last_one(self):
        async with self.cluster(8) as cluster:
            worker = Vm("w1", VmKind.ENDPOINT, "canelones", "10.1.0.1:1", rack="r1")
            cluster.vm_list.put(worker)
            await trio.sleep(3)
            cluster.vm_list.faults.refuse = True
            await trio.sleep(CONVERGENCE_SECONDS)
            for id, member in cluster.members_by_id.items():
                self.assertEqual(member.workers(), {"w1": worker})
                self.assertEqual(len(member.live_nodes()), 8)
                names = cluster.telemetry_by_id[id].event_names()
                self.assertEqual(names.count("vm-list-unavailable"), 1)
            cluster.vm_list.faults.refuse = False
            cluster.vm_list.mark_leaving("w1")
            member = cluster.members_by_id[FAILED_NODE]
            with trio.fail_after(5):
                await member.wait_for_change(member.generation)
            self.assertIs(member.workers()["w1"].state, VmState.LEAVING)

    async def test_nodes_discover_each_other_through_the_list(self):
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery, 8)
            vms = list(cluster.vms_by_id.values())
            for vm in vms:
                cluster.vm_list.remove(vm.id)
            await cluster.start_all()
            await trio.sleep(5)
            self.assertTrue(all(len(m.live_nodes()) == 1 for m in cluster.members_by_id.values()))
            cluster.vm_list.put(vms[0])
            self.assertLess(
                await cluster.until(
                    lambda: all(len(m.live_nodes()) > 1 for m in cluster.members_by_id.values())
                ),
                10,
            )
            nursery.cancel_scope.cancel()


class SpreadTest(MembershipTestCase):
    async def test_planned_stop_is_known_at_once(self):
        for size in SIZES:
            with self.subTest(size=size):
                async with self.cluster(size) as cluster:
                    cluster.members_by_id[FAILED_NODE].set_leaving()
                    ids = set(cluster.vms_by_id) - {FAILED_NODE}
                    self.assertLess(await cluster.until_converged(ids), 0.5)
                    events = [
                        cluster.telemetry_by_id[id].event_names().count("member-leaving")
                        for id in ids
                    ]
                    self.assertEqual(set(events), {1})

    async def test_version_spreads(self):
        for broadcast, size, bound in ((True, 8, 0.3), (True, 48, 0.3), (False, 48, 3.0)):
            with self.subTest(size=size, broadcast=broadcast):
                async with self.cluster(size) as cluster:
                    cluster.broadcasts_versions = broadcast
                    calls = cluster.network.calls_by_name["gossip"]
                    cluster.configurations_by_id[FAILED_NODE].install(2)
                    spread = await cluster.until(lambda: cluster.all_installed(2))
                    self.assertLess(spread, bound)
                    calls = cluster.network.calls_by_name["gossip"] - calls
                    self.assertLess(calls, 16 * size)

    async def test_freshness_counts_from_before_the_question(self):
        async with self.cluster(8, delay=timedelta(milliseconds=400)) as cluster:
            confirmed_at = cluster.clock.now()
            source = cluster.configurations_by_id[FAILED_NODE]
            source.confirmed_at = confirmed_at
            configurations = cluster.configurations_by_id.values()
            await cluster.until(
                lambda: all(configuration.confirmed_at for configuration in configurations)
            )
            await trio.sleep(CONVERGENCE_SECONDS)
            for configuration in configurations:
                self.assertLessEqual(configuration.confirmed_at, confirmed_at)

    async def test_undecodable_configuration_does_not_stop_heartbeats(self):
        async with self.cluster(8) as cluster:
            configuration = cluster.configurations_by_id[FAILED_NODE]
            configuration.state_bytes_since = lambda version: b"not a number"
            configuration.version = 9
            await trio.sleep(CONVERGENCE_SECONDS)
            self.assertTrue(cluster.converged(cluster.vms_by_id))
            names = cluster.telemetry_by_id["node-00"].event_names()
            self.assertIn("configuration-refused", names)

    async def test_attachments_reach_every_node(self):
        async with self.cluster(48) as cluster:
            zones = ["canelones"]
            cluster.members_by_id[FAILED_NODE].attach("zones", lambda: list(zones))
            members = cluster.members_by_id.values()
            for expected in (["canelones"], ["canelones", "maldonado"], []):
                zones[:] = expected
                spread = await cluster.until(
                    lambda expected=expected: all(
                        m.attachment(FAILED_NODE, "zones") == expected for m in members
                    )
                )
                self.assertLess(spread, 6)
            self.assertIsNone(cluster.members_by_id[FAILED_NODE].attachment("node-00", "zones"))


class SlowLinkTest(MembershipTestCase):
    # Guards against live nodes that look dead while a configuration is on a slow link, and against
    # one that never arrives as its transfer takes longer than a call may take.
    async def test_a_large_configuration_spreads_and_stops_no_heartbeats(self):
        for origin in ("node-00", FAILED_NODE):
            with self.subTest(origin=origin, slow=FAILED_NODE):
                async with self.cluster(8) as cluster:
                    cluster.network.limit_rate(address(3), LINK_BYTES_PER_SECOND)
                    cluster.broadcasts_versions = True
                    for configuration in cluster.configurations_by_id.values():
                        configuration.size = CONFIGURATION_BYTES
                    changes = [m.generation for m in cluster.members_by_id.values()]
                    cluster.configurations_by_id[origin].install(2)
                    spread = cluster.until(lambda: cluster.all_installed(2))
                    self.assertLess(await spread, CONVERGENCE_SECONDS)
                    await trio.sleep(CONVERGENCE_SECONDS)
                    after = [m.generation for m in cluster.members_by_id.values()]
                    self.assertEqual(after, changes)
