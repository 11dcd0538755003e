"""Tests of the membership over an in-memory network, in simulated time."""

from contextlib import asynccontextmanager
from datetime import timedelta

import trio

from mimosapoint.membership import MembershipSettings
from mimosapoint.membership.tests._cluster import Cluster
from mimosapoint.model import Vm, VmKind, VmState
from mimosapoint.testing import TrioTestCase

FAILED_NODE = "node-03"
SIZES = (8, 48)
SETTLE_SECONDS = 20.0
"""Seconds after which every view must have settled."""


def address(number):
    return Cluster.vm(number).address


def kill(cluster):
    cluster.kill(FAILED_NODE)


def freeze(cluster):
    cluster.network.freeze(address(3))


def cut_off(cluster):
    for number in range(len(cluster.vms_by_id)):
        cluster.network.cut(address(3), address(number))


FAILURES = {"kill": kill, "freeze": freeze, "cut off": cut_off}


class MembershipCase(TrioTestCase):
    mock_clock = True

    @asynccontextmanager
    async def cluster(self, size, **options):
        """Start nodes and wait until they see each other."""
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery, size, **options)
            await cluster.start_all()
            await cluster.until_agreed(cluster.vms_by_id)
            yield cluster
            nursery.cancel_scope.cancel()

    def others(self, cluster):
        """Return the running nodes but the victim."""
        return [member for id, member in cluster.members_by_id.items() if id != FAILED_NODE]


class FailureTest(MembershipCase):
    async def test_failed_nodes_leave_every_view_and_return(self):
        for size, name in ((8, "kill"), (8, "freeze"), (8, "cut off"), (48, "cut off")):
            with self.subTest(name, size=size):
                async with self.cluster(size) as cluster:
                    await self.fail_and_return(cluster, name, FAILURES[name])

    async def fail_and_return(self, cluster, name, fail):
        fail(cluster)
        others = self.others(cluster)
        detected = await cluster.until(lambda: not any(m.alive(FAILED_NODE) for m in others))
        self.assertLess(detected, 6)
        self.assertGreater(detected, 2)
        self.assertTrue(all(len(m.live_nodes()) == len(others) for m in others))
        if name == "kill":
            await cluster.start(cluster.vms_by_id[FAILED_NODE])
        cluster.network.thaw(address(3))
        for number in range(len(cluster.vms_by_id)):
            cluster.network.heal(address(3), address(number))
        self.assertLess(await cluster.until_agreed(cluster.vms_by_id), 8)

    async def test_cut_links_are_bridged_by_others(self):
        cuts = {
            "both ways": lambda network: network.cut(address(0), address(1)),
            "one way": lambda network: network.cut_one_way(address(0), address(1)),
        }
        for name, cut in cuts.items():
            with self.subTest(name):
                async with self.cluster(8) as cluster:
                    changes = [m.generation for m in cluster.members_by_id.values()]
                    cut(cluster.network)
                    await trio.sleep(SETTLE_SECONDS)
                    self.assertTrue(cluster.agreed(cluster.vms_by_id))
                    after = [m.generation for m in cluster.members_by_id.values()]
                    self.assertEqual(after, changes)

    async def test_node_that_only_sends_or_only_receives(self):
        for name, lost in (("receives", (3, None)), ("sends", (None, 3))):
            with self.subTest(name):
                async with self.cluster(8) as cluster:
                    for number in set(range(8)) - {3}:
                        pair = (3, number) if lost[0] == 3 else (number, 3)
                        cluster.network.cut_one_way(address(pair[0]), address(pair[1]))
                    await trio.sleep(SETTLE_SECONDS)
                    heard = [member.alive(FAILED_NODE) for member in self.others(cluster)]
                    hears = [id for id in cluster.vms_by_id if id != FAILED_NODE]
                    alive = [cluster.members_by_id[FAILED_NODE].alive(id) for id in hears]
                    self.assertEqual(set(heard), {name == "sends"})
                    self.assertEqual(set(alive), {name == "receives"})

    async def test_halves_see_only_themselves_and_join_again(self):
        async with self.cluster(8) as cluster:
            ids = sorted(cluster.vms_by_id)
            for one in range(4):
                for other in range(4, 8):
                    cluster.network.cut(address(one), address(other))
            await trio.sleep(SETTLE_SECONDS)
            views = [set(cluster.members_by_id[id].live_nodes()) for id in ids]
            self.assertEqual(views, [set(ids[:4])] * 4 + [set(ids[4:])] * 4)
            for one in range(4):
                for other in range(4, 8):
                    cluster.network.heal(address(one), address(other))
            self.assertLess(await cluster.until_agreed(ids), 8)

    async def test_slow_network_does_not_flap(self):
        async with self.cluster(48, delay=timedelta(milliseconds=100)) as cluster:
            changes = [m.generation for m in cluster.members_by_id.values()]
            await trio.sleep(10)
            self.assertEqual([m.generation for m in cluster.members_by_id.values()], changes)

    async def test_flapping_node_is_followed(self):
        async with self.cluster(8) as cluster:
            for _ in range(5):
                cluster.kill(FAILED_NODE)
                await trio.sleep(1)
                await cluster.start(cluster.vms_by_id[FAILED_NODE])
                await trio.sleep(1)
            self.assertLess(await cluster.until_agreed(cluster.vms_by_id), 8)
            await trio.sleep(SETTLE_SECONDS)
            self.assertTrue(cluster.agreed(cluster.vms_by_id))

    async def test_paused_node_does_not_take_the_others_for_dead(self):
        async with self.cluster(8) as cluster:
            member = cluster.members_by_id[FAILED_NODE]
            before = set(member.live_nodes())
            member._last_round_at -= timedelta(seconds=60)
            for record in member._table.records_by_id.values():
                record.progressed_at -= timedelta(seconds=60)
            member._run_round()
            self.assertEqual(set(member.live_nodes()), before)
            self.assertIn("member-paused", cluster.telemetry_by_id[FAILED_NODE].event_names())


class ListTest(MembershipCase):
    async def test_node_that_the_list_lacks_counts_where_it_was_heard(self):
        async with self.cluster(8) as cluster:
            newcomer = Cluster.vm(8)
            for number in range(1, 8):
                cluster.network.cut(newcomer.address, address(number))
            await cluster.start(newcomer)
            await trio.sleep(SETTLE_SECONDS)
            for id, member in cluster.members_by_id.items():
                with self.subTest(id):
                    self.assertIn(newcomer.id, member.known_nodes())
                    heard = id in ("node-00", newcomer.id)
                    self.assertEqual(newcomer.id in member.live_nodes(), heard)
            cluster.vm_list.put(newcomer)
            ids = {*cluster.vms_by_id, newcomer.id}
            self.assertLess(await cluster.until_agreed(ids), 3)

    async def test_silent_node_is_forgotten_once_the_list_drops_it(self):
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
            self.assertLess(await cluster.until_agreed(cluster.vms_by_id), 8)

    async def test_silent_node_is_forgotten_in_the_end_although_listed(self):
        settings = MembershipSettings(remove_listed_after=timedelta(seconds=40))
        async with self.cluster(4, settings=settings) as cluster:
            cluster.kill(FAILED_NODE)
            members = cluster.members_by_id.values()
            for seconds, kept in ((30, True), (20, False)):
                await trio.sleep(seconds)
                held = {FAILED_NODE in member._table.records_by_id for member in members}
                self.assertEqual(held, {kept})
            self.assertTrue(all(FAILED_NODE in member.known_nodes() for member in members))
            await cluster.start(cluster.vms_by_id[FAILED_NODE])
            self.assertLess(await cluster.until_agreed(cluster.vms_by_id), 8)

    async def test_outage_of_the_list_keeps_the_last_one(self):
        async with self.cluster(8) as cluster:
            worker = Vm("w1", VmKind.ENDPOINT, "canelones", "10.1.0.1:1", rack="r1")
            cluster.vm_list.put(worker)
            await trio.sleep(3)
            cluster.vm_list.faults.refuse = True
            await trio.sleep(SETTLE_SECONDS)
            for id, member in cluster.members_by_id.items():
                self.assertEqual(member.endpoints(), {"w1": worker})
                self.assertEqual(len(member.live_nodes()), 8)
                names = cluster.telemetry_by_id[id].event_names()
                self.assertEqual(names.count("vm-list-unavailable"), 1)
            cluster.vm_list.faults.refuse = False
            cluster.vm_list.mark_leaving("w1")
            member = cluster.members_by_id[FAILED_NODE]
            with trio.fail_after(5):
                await member.wait_for_change(member.generation)
            self.assertIs(member.endpoints()["w1"].state, VmState.LEAVING)

    async def test_nodes_find_each_other_from_the_list_alone(self):
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


class SpreadTest(MembershipCase):
    async def test_planned_stop_is_known_at_once(self):
        for size in SIZES:
            with self.subTest(size=size):
                async with self.cluster(size) as cluster:
                    cluster.members_by_id[FAILED_NODE].set_leaving()
                    ids = set(cluster.vms_by_id) - {FAILED_NODE}
                    self.assertLess(await cluster.until_agreed(ids), 0.5)
                    events = [
                        cluster.telemetry_by_id[id].event_names().count("member-leaving")
                        for id in ids
                    ]
                    self.assertEqual(set(events), {1})

    async def test_version_spreads(self):
        for announce, size, bound in ((True, 8, 0.3), (True, 48, 0.3), (False, 48, 3.0)):
            with self.subTest(size=size, announce=announce):
                async with self.cluster(size) as cluster:
                    cluster.announcing = announce
                    calls = cluster.network.calls_by_name["gossip"]
                    cluster.links_by_id[FAILED_NODE].install(2)
                    spread = await cluster.until(lambda: cluster.installed(2))
                    self.assertLess(spread, bound)
                    calls = cluster.network.calls_by_name["gossip"] - calls
                    self.assertLess(calls, 16 * size)

    async def test_freshness_counts_from_before_the_question(self):
        async with self.cluster(8, delay=timedelta(milliseconds=400)) as cluster:
            confirmed_at = cluster.clock.now()
            source = cluster.links_by_id[FAILED_NODE]
            source.confirmed_at = confirmed_at
            links = cluster.links_by_id.values()
            await cluster.until(lambda: all(link.confirmed_at for link in links))
            await trio.sleep(SETTLE_SECONDS)
            for link in links:
                self.assertLessEqual(link.confirmed_at, confirmed_at)

    async def test_undecodable_configuration_does_not_stop_heartbeats(self):
        async with self.cluster(8) as cluster:
            link = cluster.links_by_id[FAILED_NODE]
            link.state_bytes_since = lambda version: b"not a number"
            link.version = 9
            await trio.sleep(SETTLE_SECONDS)
            self.assertTrue(cluster.agreed(cluster.vms_by_id))
            names = cluster.telemetry_by_id["node-00"].event_names()
            self.assertIn("configuration-refused", names)

    async def test_attachments_reach_every_node(self):
        async with self.cluster(48) as cluster:
            zones = ["canelones"]
            cluster.members_by_id[FAILED_NODE].attach("zones", lambda: list(zones))
            members = cluster.members_by_id.values()
            for wanted in (["canelones"], ["canelones", "maldonado"], []):
                zones[:] = wanted
                spread = await cluster.until(
                    lambda wanted=wanted: all(
                        m.attachment(FAILED_NODE, "zones") == wanted for m in members
                    )
                )
                self.assertLess(spread, 6)
            self.assertIsNone(cluster.members_by_id[FAILED_NODE].attachment("node-00", "zones"))
