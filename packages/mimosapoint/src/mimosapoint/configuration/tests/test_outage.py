"""Tests of configuration freshness during a store outage."""

from random import Random

import trio

from mimosapoint.configuration import Patch
from mimosapoint.configuration.outage import StoreOutageDetector
from mimosapoint.configuration.service import ConfigurationService
from mimosapoint.configuration.tests._sites import make_configuration
from mimosapoint.errors import OutcomeUnknown, StoreTimeout, StoreUnavailable
from mimosapoint.memory import MemoryStore, TrioClock
from mimosapoint.peers import Dispatcher, LoopbackNetwork, LoopbackPeers
from mimosapoint.settings import ConfigurationSettings
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase

NODES = ("n1", "n2", "n3")
OUTAGE_SECONDS = 10.0


class Cluster:
    """Three nodes, each with its own access to a shared store."""

    def __init__(self, nursery):
        self.clock = TrioClock()
        self.network = LoopbackNetwork()
        self.shared_store = MemoryStore(self.clock)
        self.stores = {id: _CuttableStore(self.shared_store) for id in NODES}
        self.services, self.detectors = {}, {}
        for id in NODES:
            self.add(id, nursery)

    def add(self, id, nursery):
        dispatcher = Dispatcher()
        self.network.join(id, dispatcher)
        telemetry = MemoryTelemetry()
        settings = ConfigurationSettings()
        service = ConfigurationService(
            id, self.stores[id], self.clock, telemetry, settings, Random(id)
        )
        others = [other for other in NODES if other != id]
        self.services[id] = service
        self.detectors[id] = StoreOutageDetector(
            service,
            lambda: others,
            LoopbackPeers(id, self.network),
            dispatcher,
            clock=self.clock,
            telemetry=telemetry,
        )
        nursery.start_soon(service.run)
        nursery.start_soon(self.detectors[id].run)

    def lose_answer(self, scope, ending):
        """Return a fault that cuts all nodes off before a write is answered."""

        async def fault():
            cut(self, NODES)
            if ending == "timeout":
                raise StoreTimeout()
            scope.cancel()
            await trio.sleep_forever()

        return fault

    def is_fresh(self, id):
        return self.services[id].is_fresh(self.clock.now())


class _CuttableStore:
    """Access of one node to a store that can be cut off."""

    def __init__(self, store):
        self._store = store
        self.cut = False
        self.before_answer = None

    def __getattr__(self, name):
        call = getattr(self._store, name)

        async def guarded(*arguments, **options):
            if self.cut:
                raise StoreUnavailable()
            answer = await call(*arguments, **options)
            if name == "compare_and_swap" and self.before_answer is not None:
                await self.before_answer()
            return answer

        return guarded


class OutageTest(TrioTestCase):
    mock_clock = True

    async def check_freshness(self, disrupt, expected, seconds=OUTAGE_SECONDS):
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery)
            await cluster.services["n1"].bootstrap(make_configuration())
            await trio.sleep(5)
            self.assertTrue(all(map(cluster.is_fresh, NODES)))
            disrupt(cluster, nursery)
            await trio.sleep(seconds)
            self.assertEqual(expected, cluster.is_fresh("n1"))
            nursery.cancel_scope.cancel()

    async def test_out_for_everyone_is_fresh(self):
        await self.check_freshness(lambda cluster, _: cut(cluster, NODES), True)

    async def test_out_for_some_is_not_fresh(self):
        await self.check_freshness(lambda cluster, _: cut(cluster, ("n1", "n2")), False)

    async def test_a_silent_node_leaves_it_open(self):
        def disrupt(cluster, _):
            cut(cluster, NODES)
            cluster.network.freeze("n3")

        await self.check_freshness(disrupt, False)

    # Guards against an older version that is confirmed after a commit that no node has seen.
    async def test_a_commit_of_unknown_outcome_leaves_it_open(self):
        for ending in ("timeout", "cancelled"):
            with self.subTest(ending):

                def disrupt(cluster, nursery, ending=ending):
                    scope = trio.CancelScope()
                    cluster.stores["n2"].before_answer = cluster.lose_answer(scope, ending)
                    nursery.start_soon(commit_in_vain, cluster.services["n2"], scope)

                await self.check_freshness(disrupt, False)

    async def test_an_outage_is_confirmed_after_a_commit_was_read_back(self):
        def disrupt(cluster, nursery):
            async def settle():
                scope = trio.CancelScope()
                cluster.stores["n2"].before_answer = cluster.lose_answer(scope, "timeout")
                await commit_in_vain(cluster.services["n2"], scope)
                cut(cluster, NODES, False)
                await trio.sleep(5)
                cut(cluster, NODES)

            nursery.start_soon(settle)

        await self.check_freshness(disrupt, True, 3 * OUTAGE_SECONDS)

    async def test_a_node_that_never_read_the_store_leaves_it_open(self):
        def disrupt(cluster, nursery):
            cut(cluster, NODES)
            cluster.network.leave("n3")
            cluster.add("n3", nursery)

        await self.check_freshness(disrupt, False)


async def commit_in_vain(service, scope):
    operation = {"op": "replace", "path": "/zones/a/mode", "value": "out"}
    with scope:
        try:
            await service.apply(Patch("p", service.current.version, (operation,)))
        except OutcomeUnknown:
            return
        raise AssertionError("the commit has an outcome")


def cut(cluster, nodes, value=True):
    for id in nodes:
        cluster.stores[id].cut = value
