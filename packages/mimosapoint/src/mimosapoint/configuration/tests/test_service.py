"""Tests of the configuration service over an in-memory store."""

from datetime import timedelta
from functools import cached_property

import attrs
import trio

from mimosapoint.configuration import ConfigurationService, ConfigurationState, Patch
from mimosapoint.configuration._archive import Archive, version_key
from mimosapoint.configuration.state import FORMAT, decode_state, encode_state
from mimosapoint.configuration.tests._fakes import (
    CONFIGURATION_KEY,
    LATENCY_SECONDS,
    OffsetClock,
    ScriptedStore,
)
from mimosapoint.configuration.tests._sites import make_configuration, rack_gang
from mimosapoint.errors import (
    ConfigurationInvalid,
    ConfigurationStale,
    NewerFormat,
    OutcomeUnknown,
    PatchConflict,
    PatchNotFound,
    StoreUnavailable,
)
from mimosapoint.memory import MemoryStore
from mimosapoint.ports import ABSENT
from mimosapoint.settings import ConfigurationSettings
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase

SECOND = timedelta(seconds=1)
NO_FAULT_ON_READ = ("get", "none")
"""Lets the read that precedes a write succeed."""


def zone_mode_patch(id, base, mode="out", zone="a"):
    operation = {"op": "replace", "path": f"/zones/{zone}/mode", "value": mode}
    return Patch(id, base, (operation,))


def make_version(version):
    return make_configuration(rack_gang("g", 8), version=version)


def unsatisfiable_patch(id, base):
    operation = {"op": "replace", "path": "/workspaces/desk/guarantees/0/count", "value": 9}
    return Patch(id, base, (operation,))


class ServiceCase(TrioTestCase):
    mock_clock = True

    @cached_property
    def clock(self):
        return OffsetClock()

    @cached_property
    def store(self):
        return ScriptedStore(self.clock)

    @cached_property
    def telemetry(self):
        return MemoryTelemetry(strict=True)

    def make_service(self, id="n1", **settings):
        configuration_settings = ConfigurationSettings(**settings)
        return ConfigurationService(
            id, self.store, self.clock, self.telemetry, configuration_settings
        )

    async def start_service(self, nursery, id="n1", **settings):
        service = self.make_service(id, **settings)
        if self.store.configuration_entry() is None:
            await service.bootstrap(make_configuration(rack_gang("g", 8)))
        await nursery.start(service.run)
        return service


class PatchTest(ServiceCase):
    async def test_an_accepted_patch_makes_the_next_version(self):
        service = self.make_service()
        await service.bootstrap(make_configuration(rack_gang("g", 8)))
        status = await service.apply(zone_mode_patch("p1", 1))
        self.assertEqual((status.accepted, status.version), (True, 2))
        self.assertEqual(service.current.zones_by_id["a"].mode.value, "out")

    async def test_result_warns_of_guarantees_in_withdrawn_zones(self):
        service = self.make_service()
        await service.bootstrap(make_configuration(rack_gang("g", 9, 2)))
        status = await service.apply(zone_mode_patch("p1", 1))
        warning = "/workspaces/desk/guarantees/0: 1 of 2 held only in zones out of service: a"
        self.assertEqual(status.warnings, (warning,))
        self.assertEqual(await service.apply(zone_mode_patch("p1", 1)), status)

    async def test_repeated_id_returns_the_recorded_result(self):
        service = self.make_service()
        await service.bootstrap(make_configuration(rack_gang("g", 8)))
        first = await service.apply(zone_mode_patch("p1", 1))
        await service.apply(zone_mode_patch("p2", 2, "in-service"))
        self.assertEqual(await service.apply(zone_mode_patch("p1", 1)), first)
        self.assertEqual(service.current.version, 3)
        with self.assertRaises(PatchConflict):
            await service.apply(zone_mode_patch("p1", 3))

    async def test_rejection_is_repeated_after_a_newer_version(self):
        service = self.make_service()
        await service.bootstrap(make_configuration(rack_gang("g", 8)))
        with self.assertRaises(ConfigurationInvalid) as first:
            await service.apply(unsatisfiable_patch("p1", 1))
        await service.apply(zone_mode_patch("p2", 1))
        with self.assertRaises(ConfigurationInvalid) as second:
            await service.apply(unsatisfiable_patch("p1", 1))
        self.assertEqual(first.exception.reasons, second.exception.reasons)
        self.assertFalse((await service.patch_status("p1")).accepted)

    async def test_only_one_of_concurrent_patches_is_accepted(self):
        nodes = [self.make_service(f"n{number}") for number in range(6)]
        await nodes[0].bootstrap(make_configuration(rack_gang("g", 8)))
        outcomes = []

        async def operate(number):
            patch = zone_mode_patch(f"p{number}", 1, zone="ab"[number % 2])
            try:
                outcomes.append((await nodes[number].apply(patch)).version)
            except ConfigurationStale as error:
                outcomes.append(-error.current)

        async with trio.open_nursery() as nursery:
            for number in range(len(nodes)):
                nursery.start_soon(operate, number)
        self.assertEqual(sorted(outcomes), [-2, -2, -2, -2, -2, 2])

    async def test_the_same_patch_through_two_nodes_takes_effect_once(self):
        nodes = [self.make_service("n1"), self.make_service("n2")]
        await nodes[0].bootstrap(make_configuration(rack_gang("g", 8)))
        versions = []

        async def operate(node):
            versions.append((await node.apply(zone_mode_patch("p", 1))).version)

        async with trio.open_nursery() as nursery:
            for node in nodes:
                nursery.start_soon(operate, node)
        self.assertEqual(versions, [2, 2])

    async def test_faults_of_the_write_leave_one_true_verdict(self):
        cases = (
            [("cas", "lost-answer")],
            [("cas", "lost-request")],
            [("cas", "lost-answer"), ("get", "refused"), ("get", "lost-request")],
            [("cas", "lost-request"), ("cas", "lost-answer")],
            [("cas", "lost-request"), ("cas", "refused")],
        )
        for faults in cases:
            with self.subTest(faults=faults):
                self.store = ScriptedStore(self.clock)
                service = self.make_service()
                await service.bootstrap(make_configuration(rack_gang("g", 8)))
                self.store.scripted_faults = [NO_FAULT_ON_READ, *faults]
                status = await service.apply(zone_mode_patch("p1", 1))
                self.assertEqual(status.version, 2)
                stored = decode_state(self.store.configuration_entry().value)
                self.assertEqual([record.id for record in stored.patches], ["p1"])

    async def test_outage_errors_match_the_effect_of_the_patch(self):
        cases = (
            ([("get", "refused")], StoreUnavailable),
            ([("get", "lost-answer")], StoreUnavailable),
            ([("cas", "refused")], StoreUnavailable),
            (
                [NO_FAULT_ON_READ, ("cas", "lost-answer"), *[("get", "refused")] * 999],
                OutcomeUnknown,
            ),
        )
        for faults, expected in cases:
            with self.subTest(faults=faults[:2]):
                self.store = ScriptedStore(self.clock)
                service = self.make_service()
                await service.bootstrap(make_configuration(rack_gang("g", 8)))
                self.store.scripted_faults = faults
                with self.assertRaises(expected):
                    await service.apply(zone_mode_patch("p1", 1))
                took_effect = decode_state(self.store.configuration_entry().value).patches != ()
                self.assertEqual(took_effect, expected is OutcomeUnknown)

    async def test_a_newer_format_is_never_overwritten(self):
        state = ConfigurationState(FORMAT + 1, 1, make_configuration(rack_gang("g", 8), version=1))
        await self.store.compare_and_swap(CONFIGURATION_KEY, encode_state(state), ABSENT)
        service = self.make_service()
        with self.assertRaises(NewerFormat):
            await service.apply(zone_mode_patch("p1", 1))
        with self.assertRaises(NewerFormat):
            await service.bootstrap(make_configuration())
        self.assertEqual(self.store.configuration_entry().revision, 1)


class FreshnessTest(ServiceCase):
    async def test_a_started_node_stays_fresh_while_the_store_answers(self):
        async with trio.open_nursery() as nursery:
            service = await self.start_service(nursery)
            for _ in range(100):
                await trio.sleep(0.1)
                self.assertTrue(service.is_fresh(self.clock.now()))
            nursery.cancel_scope.cancel()

    async def test_a_node_is_not_fresh_after_an_outage_or_a_pause(self):
        async with trio.open_nursery() as nursery:
            service = await self.start_service(nursery)
            self.store.faults.refuse = True
            await trio.sleep(2)
            self.assertFalse(service.is_fresh(self.clock.now()))
            self.store.faults.refuse = False
            await trio.sleep(3)
            self.assertTrue(service.is_fresh(self.clock.now()))
            self.clock.offset += timedelta(seconds=5)
            self.assertFalse(service.is_fresh(self.clock.now()))
            nursery.cancel_scope.cancel()

    async def test_relayed_confirmations_spare_reads(self):
        async with trio.open_nursery() as nursery:
            service = await self.start_service(nursery)
            before = self.store.counts.total()
            for _ in range(100):
                await trio.sleep(0.1)
                service.accept_confirmation(1, self.clock.now())
            self.assertEqual(self.store.counts.total(), before)
            nursery.cancel_scope.cancel()

    async def test_a_relayed_higher_version_stops_starts_and_is_read_at_once(self):
        async with trio.open_nursery() as nursery:
            service = await self.start_service(nursery)
            with self.assertRaises(PatchNotFound):
                await service.patch_status("p1")
            await self.make_service("n2").apply(zone_mode_patch("p1", 1))
            service.accept_confirmation(2, self.clock.now())
            self.assertFalse(service.is_fresh(self.clock.now()))
            self.assertTrue(await service.wait_for(2, timedelta(seconds=0.1)))
            self.assertTrue(service.is_fresh(self.clock.now()))
            nursery.cancel_scope.cancel()

    async def test_a_confirmation_counts_from_before_the_read_was_sent(self):
        await self.make_service("n0").bootstrap(make_configuration(rack_gang("g", 8)))
        service = self.make_service()
        async with trio.open_nursery() as nursery:
            sent_at = self.clock.now()
            await nursery.start(service.run)
            self.assertEqual(service.confirmed_at, sent_at)
            self.assertGreater(self.clock.now(), sent_at)
            nursery.cancel_scope.cancel()

    async def test_future_confirmation_is_limited_to_now(self):
        async with trio.open_nursery() as nursery:
            service = await self.start_service(nursery)
            service.accept_confirmation(1, self.clock.now() + 60 * SECOND)
            self.assertLessEqual(service.confirmed_at, self.clock.now())
            nursery.cancel_scope.cancel()

    async def test_the_empty_version_is_never_fresh(self):
        service = self.make_service()
        with trio.move_on_after(1):
            await service.run()
        self.assertFalse(service.is_fresh(self.clock.now()))


class InstallTest(ServiceCase):
    async def test_versions_never_fall(self):
        async with trio.open_nursery() as nursery:
            service = await self.start_service(nursery)
            old = self.store.configuration_entry()
            installed_versions = []
            service.on_install(
                lambda configuration: installed_versions.append(configuration.version)
            )
            await service.apply(zone_mode_patch("p1", 1))
            newest = service.state
            self.assertFalse(service.install_if_newer(decode_state(old.value), self.clock.now()))
            await self.store.compare_and_swap(
                CONFIGURATION_KEY, old.value, self.store.configuration_entry().revision
            )
            await trio.sleep(3)
            self.assertEqual(service.state, newest)
            self.assertEqual(decode_state(self.store.configuration_entry().value), newest)
            self.assertEqual(installed_versions, [2])
            nursery.cancel_scope.cancel()

    async def test_version_installed_during_a_read_does_not_mark_the_store_as_behind(self):
        async with trio.open_nursery() as nursery:
            service = await self.start_service(nursery)
            nursery.start_soon(service.fetch)
            await trio.sleep(1.5 * LATENCY_SECONDS)
            newer = attrs.evolve(service.current, version=2)
            self.assertTrue(service.install_if_newer(ConfigurationState(FORMAT, 2, newer)))
            await trio.sleep(LATENCY_SECONDS)
            self.assertNotIn("configuration-store-behind", self.telemetry.event_names())
            nursery.cancel_scope.cancel()

    async def test_a_peer_spreads_a_version_while_the_store_is_out(self):
        async with trio.open_nursery() as nursery:
            first = await self.start_service(nursery, "n1")
            second = await self.start_service(nursery, "n2")
            await first.apply(zone_mode_patch("p1", 1))
            self.store.faults.refuse = True
            self.assertTrue(second.install_if_newer(first.state, first.confirmed_at))
            self.assertFalse(second.install_if_newer(first.state, first.confirmed_at))
            self.assertEqual(second.current, first.current)
            self.assertTrue((await second.patch_status("p1")).accepted)
            with self.assertRaises(StoreUnavailable):
                await second.patch_status("p2")
            nursery.cancel_scope.cancel()

    async def test_node_starts_after_a_store_outage(self):
        await self.make_service("n0").bootstrap(make_configuration(rack_gang("g", 8)))
        self.store.faults.refuse = True
        service = self.make_service()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(service.run)
            await trio.sleep(30)
            self.assertEqual(service.current.version, 0)
            self.store.faults.refuse = False
            self.assertTrue(await service.wait_for(1, 5 * SECOND))
            nursery.cancel_scope.cancel()

    async def test_waiting_ends_with_the_timeout(self):
        service = self.make_service()
        self.assertFalse(await service.wait_for(1, SECOND))


class ArchiveTest(ServiceCase):
    async def test_a_bounded_number_of_earlier_versions_is_kept(self):
        async with trio.open_nursery() as nursery:
            service = await self.start_service(nursery, versions_kept=2)
            for number in range(1, 5):
                mode = "out" if number % 2 else "in-service"
                await service.apply(zone_mode_patch(f"p{number}", number, mode))
                await trio.sleep(0.1)
            for version, mode in ((3, "in-service"), (4, "out"), (5, "in-service")):
                kept = await service.read_version(version)
                self.assertEqual(kept.zones_by_id["a"].mode.value, mode)
            for version in (1, 2, 6):
                with self.subTest(version=version), self.assertRaises(PatchNotFound):
                    await service.read_version(version)
            nursery.cancel_scope.cancel()

    # Guards against archived versions that are never deleted after a failed write or deletion.
    async def test_a_failed_write_or_deletion_leaves_no_version_past_the_retention(self):
        events_by_method = {
            "compare_and_swap": "configuration-not-archived",
            "delete": "configuration-not-pruned",
        }
        for method, event in events_by_method.items():
            with self.subTest(method):
                store = MemoryStore(self.clock)
                archive = Archive(store, self.telemetry, 2)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(archive.run)
                    for version in range(1, 7):
                        call = getattr(store, method)
                        if version == 4:
                            setattr(store, method, self.refuse)
                        archive.enqueue(ConfigurationState(FORMAT, version, make_version(version)))
                        await trio.sleep(0.1)
                        setattr(store, method, call)
                    nursery.cancel_scope.cancel()
                kept = {entry.key for entry in await store.scan("configuration/versions/")}
                self.assertEqual({version_key(5), version_key(6)}, kept)
                self.assertEqual(1, self.telemetry.event_names().count(event))

    async def refuse(self, *arguments):
        raise StoreUnavailable()

    async def test_number_of_recorded_results_is_bounded(self):
        service = self.make_service(patch_log=2)
        await service.bootstrap(make_configuration(rack_gang("g", 8)))
        for number in range(1, 4):
            await service.apply(zone_mode_patch(f"p{number}", number))
        self.assertEqual([record.id for record in service.history()], ["p2", "p3"])
        with self.assertRaises(PatchNotFound):
            await service.patch_status("p1")
