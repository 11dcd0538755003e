"""Tests of concurrent operators over a store that loses, delays and refuses calls."""

from collections import Counter
from datetime import timedelta
from random import Random

import attrs
import trio

from mimosapoint.configuration import ConfigurationService, Patch
from mimosapoint.configuration.operations import apply_patch
from mimosapoint.configuration.state import decode_state
from mimosapoint.configuration.tests._fakes import ScriptedStore
from mimosapoint.configuration.tests._sites import make_configuration, rack_gang
from mimosapoint.errors import (
    CompareFailed,
    ConfigurationInvalid,
    ConfigurationStale,
    MimosapointError,
    OutcomeUnknown,
    StoreTimeout,
    StoreUnavailable,
)
from mimosapoint.memory import MemoryStore, TrioClock
from mimosapoint.settings import ConfigurationSettings
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase

SEEDS = range(40)
NODES = 3
OPERATORS = 5
PATCHES_PER_OPERATOR = 4
FAULTS = ("refused", "lost-request", "lost-answer")
FAULT_PROBABILITY = 0.35
MAX_LATE_WRITE_SECONDS = 0.8
"""Maximum delay of a write whose caller has timed out."""
SETTLE_TIMEOUT = timedelta(seconds=0.1)
CHANGES = (
    ("/zones/a/mode", "out"),
    ("/zones/a/mode", "in-service"),
    ("/workspaces/desk/grace", 9),
    ("/workspaces/desk/guarantees/0/count", 99),
)
"""Path and new value of each change; the last one is never valid."""


class FaultyStore(ScriptedStore):
    """Store with random latency and faults; late writes may take effect after a timeout."""

    def __init__(self, clock, random, nursery):
        super().__init__(clock)
        self._random = random
        self._nursery = nursery
        self.faulty = False

    def _next_fault(self, method, key):
        if not self.faulty or self._random.random() > FAULT_PROBABILITY:
            return None
        return self._random.choice(FAULTS)

    async def _call_with_fault(self, method, key, call):
        await trio.sleep(self._random.random() / 100)
        return await super()._call_with_fault(method, key, call)

    async def compare_and_swap(self, key, value, expected, lease=None):
        if self.faulty and self._random.random() < FAULT_PROBABILITY / 2:
            self._nursery.start_soon(self._write_late, key, value, expected)
            raise StoreTimeout()
        return await super().compare_and_swap(key, value, expected, lease)

    async def _write_late(self, key, value, expected):
        await trio.sleep(self._random.random() * MAX_LATE_WRITE_SECONDS)
        try:
            await MemoryStore.compare_and_swap(self, key, value, expected)
        except CompareFailed:
            pass  # a concurrent write came first


class History:
    """Patches, outcomes and installed versions of one seeded run of concurrent operators."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.outcomes_by_id = {}
        self.patches_by_id = {}
        self.installed_by_node = {}

    async def run(self):
        async with trio.open_nursery() as background:
            store = FaultyStore(TrioClock(), self.random, background)
            services = [self._service(f"n{n}", store) for n in range(NODES)]
            self.initial = make_configuration(rack_gang("g", 8))
            await services[0].bootstrap(self.initial)
            for service in services:
                await background.start(service.run)
            store.faulty = True
            async with trio.open_nursery() as operators:
                for number in range(OPERATORS):
                    operators.start_soon(self._run_operator, f"o{number}", services)
            store.faulty = False
            await trio.sleep(10)
            self.final = decode_state(store.configuration_entry().value)
            self.current_configurations = [service.current for service in services]
            background.cancel_scope.cancel()

    def _service(self, id, store):
        settings = ConfigurationSettings(settle_timeout=SETTLE_TIMEOUT)
        service = ConfigurationService(id, store, TrioClock(), MemoryTelemetry(True), settings)
        installed = self.installed_by_node.setdefault(id, [])
        service.on_install(lambda configuration: installed.append(configuration.version))
        return service

    async def _run_operator(self, operator, services):
        for number in range(PATCHES_PER_OPERATOR):
            service = self.random.choice(services)
            patch = self._patch(f"{operator}-{number}", service.current.version)
            self.patches_by_id[patch.id] = patch
            self.outcomes_by_id[patch.id] = await self._outcome(service, patch)
            await trio.sleep(self.random.random())

    def _patch(self, id, base):
        path, value = self.random.choice(CHANGES)
        return Patch(id, base, ({"op": "replace", "path": path, "value": value},))

    async def _outcome(self, service, patch):
        try:
            return (await service.apply(patch)).version
        except MimosapointError as error:
            return type(error)


class RaceTest(TrioTestCase):
    mock_clock = True

    def check_outcomes(self, history):
        records_by_id = {record.id: record for record in history.final.patches}
        for id, outcome in history.outcomes_by_id.items():
            record = records_by_id.get(id)
            if outcome in (ConfigurationStale, StoreUnavailable):
                self.assertIsNone(record)
            elif outcome is ConfigurationInvalid:
                self.assertFalse(record.accepted)
            elif outcome is not OutcomeUnknown:
                self.assertEqual(record.version, outcome)

    def check_versions(self, history):
        expected = attrs.evolve(history.initial, version=1)
        for record in history.final.patches:
            if record.accepted:
                expected = apply_patch(expected, history.patches_by_id[record.id])
                self.assertEqual(record.version, expected.version)
        self.assertEqual(history.final.configuration, expected)
        self.assertEqual(history.current_configurations, [expected] * NODES)
        for installed in history.installed_by_node.values():
            self.assertEqual(installed, sorted(set(installed)))

    async def check_seed(self, seed):
        history = History(seed)
        await history.run()
        with self.subTest(seed=seed):
            self.check_outcomes(history)
            self.check_versions(history)
        self.outcome_counts.update(history.outcomes_by_id.values())

    async def test_every_verdict_is_true_and_versions_follow_each_other(self):
        self.outcome_counts = Counter()
        for seed in SEEDS:
            await self.check_seed(seed)
        for error_type in (
            ConfigurationStale,
            ConfigurationInvalid,
            StoreUnavailable,
            OutcomeUnknown,
        ):
            self.assertGreater(self.outcome_counts[error_type], 0)
