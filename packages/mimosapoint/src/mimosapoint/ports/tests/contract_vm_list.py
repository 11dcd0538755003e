"""Contract tests of the port to the VM list."""

from datetime import timedelta

import attrs

from mimosapoint.errors import VmListUnavailable
from mimosapoint.memory import Faults, MemoryVmList
from mimosapoint.model import Vm, VmKind, VmState
from mimosapoint.ports import VmList
from mimosapoint.ports.tests.shifted_clock import ShiftedClock

__all__ = ["VmListContract", "VmListFixture"]

ENTRY = Vm("node-1", VmKind.ENTRY, "klang-a", "127.0.0.1:1")
ENDPOINT = Vm("worker-1", VmKind.ENDPOINT, "klang-a", "127.0.0.1:2", rack="r1")
FAULTS = (
    ("refused", Faults(refuse=True)),
    ("frozen", Faults(frozen=True)),
    ("slow", Faults(delay=30.0)),
    ("lost reply", Faults(lose_replies=1)),
)


@attrs.frozen
class VmListFixture:
    """VM list under test, the platform's list behind it, and their clock."""

    vm_list: VmList
    source: MemoryVmList
    clock: ShiftedClock


class VmListContract:
    """Mixin for a test case, whose ``open_vm_list`` is a context manager of a fixture."""

    async def test_changes_are_visible(self):
        async with self.open_vm_list() as fixture:
            leaving = attrs.evolve(ENDPOINT, state=VmState.LEAVING)
            steps = (
                (lambda source: None, ()),
                (lambda source: source.put(ENDPOINT), (ENDPOINT,)),
                (lambda source: source.put(ENTRY), (ENTRY, ENDPOINT)),
                (lambda source: source.mark_leaving(ENDPOINT.id), (ENTRY, leaving)),
                (lambda source: source.remove(ENTRY.id), (leaving,)),
            )
            for number, (change, expected) in enumerate(steps):
                with self.subTest(step=number):
                    change(fixture.source)
                    self.assertEqual(await fixture.vm_list.vms(), expected)

    async def test_changes_show_after_the_lag(self):
        async with self.open_vm_list() as fixture:
            fixture.source.put(ENTRY)
            fixture.source.lag = timedelta(seconds=5)
            fixture.clock.advance(10.0)
            fixture.source.remove(ENTRY.id)
            fixture.clock.advance(4.0)
            self.assertEqual(await fixture.vm_list.vms(), (ENTRY,))
            fixture.clock.advance(2.0)
            self.assertEqual(await fixture.vm_list.vms(), ())

    async def test_faults_raise_a_typed_error_until_cleared(self):
        for name, faults in FAULTS:
            with self.subTest(fault=name):
                async with self.open_vm_list() as fixture:
                    fixture.source.put(ENTRY)
                    fixture.source.faults.replace_with(faults)
                    with self.assertRaises(VmListUnavailable):
                        await fixture.vm_list.vms()
                    fixture.source.faults.replace_with(Faults())
                    self.assertEqual(await fixture.vm_list.vms(), (ENTRY,))
