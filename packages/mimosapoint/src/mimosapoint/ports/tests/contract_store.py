"""Contract tests of the port to the key-value store."""

from datetime import timedelta

import attrs
import trio

from mimosapoint.errors import (
    CompareFailed,
    LeaseLost,
    StoreTimeout,
    StoreUnavailable,
    ValueTooLarge,
)
from mimosapoint.memory import Faults
from mimosapoint.ports import ABSENT, VALUE_LIMIT_BYTES, Store
from mimosapoint.ports.tests.shifted_clock import ShiftedClock

__all__ = ["StoreContract", "StoreFixture"]

TTL = timedelta(seconds=5)
WAIT = timedelta(seconds=5)
KEYS = ("a", "a/b", "a b?c=d&e#f", "señal/ü", "%2F", "..", "a//b/")
VALUES = (b"", b"\x00\xff", b"{}", b"x" * VALUE_LIMIT_BYTES)
FAULTS = (
    ("refused", Faults(refuse=True), StoreUnavailable, False),
    ("frozen", Faults(frozen=True), StoreTimeout, None),
    ("slow", Faults(delay=30.0), StoreTimeout, None),
    ("lost reply", Faults(lose_replies=1), StoreTimeout, True),
)


@attrs.frozen
class StoreFixture:
    """Store under test with the faults and the clock of its backend."""

    store: Store
    faults: Faults
    clock: ShiftedClock


class StoreContract:
    """Mixin for a test case, whose ``open_store`` is a context manager of a fixture."""

    async def test_a_written_value_is_read_back(self):
        async with self.open_store() as fixture:
            store = fixture.store
            for key in KEYS:
                for value in VALUES:
                    with self.subTest(key=key, size=len(value)):
                        before = await store.get(key)
                        expected = before.revision if before else ABSENT
                        revision = await store.compare_and_swap(key, value, expected)
                        entry = await store.get(key)
                        self.assertEqual((entry.key, entry.revision), (key, revision))
                        self.assertEqual(entry.value, value)
                        self.assertGreater(revision, expected)

    async def test_compare_and_delete(self):
        async with self.open_store() as fixture:
            store = fixture.store
            first = await store.compare_and_swap("k", b"1", ABSENT)
            second = await store.compare_and_swap("k", b"2", first)
            wrong = (ABSENT, first, second + 1)
            for expected in wrong:
                with self.subTest(expected=expected):
                    with self.assertRaises(CompareFailed) as caught:
                        await store.compare_and_swap("k", b"3", expected)
                    self.assertEqual(caught.exception.current, second)
                    with self.assertRaises(CompareFailed) as caught:
                        await store.delete("k", expected)
                    self.assertEqual(caught.exception.current, second)
            await store.delete("k", second)
            self.assertIsNone(await store.get("k"))
            with self.assertRaises(CompareFailed) as caught:
                await store.delete("k", second)
            self.assertEqual(caught.exception.current, ABSENT)
            self.assertGreater(await store.compare_and_swap("k", b"4", ABSENT), second)

    async def test_oversize_values_are_refused(self):
        async with self.open_store() as fixture:
            with self.assertRaises(ValueTooLarge):
                await fixture.store.compare_and_swap("k", b"x" * (VALUE_LIMIT_BYTES + 1), ABSENT)
            self.assertIsNone(await fixture.store.get("k"))

    async def test_scan_is_ordered_and_bounded_by_the_prefix(self):
        async with self.open_store() as fixture:
            for key in ("zone/b", "zone/a", "zones", "node/a"):
                await fixture.store.compare_and_swap(key, key.encode(), ABSENT)
            cases = (
                ("zone/", ["zone/a", "zone/b"]),
                ("zone", ["zone/a", "zone/b", "zones"]),
                ("x", []),
                ("", ["node/a", "zone/a", "zone/b", "zones"]),
            )
            for prefix, keys in cases:
                with self.subTest(prefix=prefix):
                    entries = await fixture.store.scan(prefix)
                    self.assertEqual([entry.key for entry in entries], keys)
                    self.assertTrue(all(e.value == e.key.encode() for e in entries))

    async def test_keys_are_removed_when_their_lease_expires_during_a_pause(self):
        async with self.open_store() as fixture:
            store = fixture.store
            lease = await store.grant_lease(TTL)
            await store.compare_and_swap("held", b"", ABSENT, lease)
            attached = await store.compare_and_swap("freed", b"", ABSENT, lease)
            await store.compare_and_swap("freed", b"", attached)
            fixture.clock.advance(4.0)
            await store.renew_lease(lease)
            fixture.clock.advance(4.0)
            self.assertIsNotNone(await store.get("held"))
            fixture.clock.advance(2.0)
            self.assertIsNone(await store.get("held"))
            self.assertIsNotNone(await store.get("freed"))
            with self.assertRaises(LeaseLost):
                await store.renew_lease(lease)
            with self.assertRaises(LeaseLost):
                await store.compare_and_swap("held", b"", ABSENT, lease)

    async def test_watch_wakes_and_times_out(self):
        async with self.open_store() as fixture:
            store = fixture.store
            first = await store.compare_and_swap("c/1", b"1", ABSENT)
            self.assertEqual(len(await store.watch("c/", first - 1, WAIT)), 1)
            self.assertEqual(await store.watch("c/", first, timedelta(milliseconds=20)), [])
            found = []

            async def wait():
                found.extend(await store.watch("c/", first, WAIT))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait)
                await trio.sleep(0.05)
                await store.compare_and_swap("d/1", b"other", ABSENT)
                await store.compare_and_swap("c/2", b"2", ABSENT)
            self.assertEqual([(e.key, e.value) for e in found], [("c/2", b"2")])

    async def test_faults_of_a_write(self):
        for name, faults, error, effect in FAULTS:
            with self.subTest(fault=name):
                async with self.open_store() as fixture:
                    fixture.faults.replace_with(faults)
                    with self.assertRaises(error):
                        await fixture.store.compare_and_swap("k", b"1", ABSENT)
                    fixture.faults.replace_with(Faults())
                    entry = await fixture.store.get("k")
                    if effect is not None:
                        self.assertEqual(entry is not None, effect)

    async def test_concurrent_increments_lose_none(self):
        async with self.open_store() as fixture:
            store = fixture.store
            await store.compare_and_swap("n", b"0", ABSENT)

            async def increment():
                while True:
                    entry = await store.get("n")
                    value = str(int(entry.value) + 1).encode()
                    try:
                        await store.compare_and_swap("n", value, entry.revision)
                        return
                    except CompareFailed:
                        continue

            async with trio.open_nursery() as nursery:
                for _ in range(8):
                    nursery.start_soon(increment)
            self.assertEqual((await store.get("n")).value, b"8")
