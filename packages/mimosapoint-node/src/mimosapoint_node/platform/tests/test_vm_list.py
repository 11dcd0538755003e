"""Tests of the client of the VM list."""

from mimosapoint.memory import MemoryVmList, TrioClock
from mimosapoint.model import Vm, VmKind
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase
from mimosapoint_standins import vm_list_app

from mimosapoint_node.platform import HttpVmList
from mimosapoint_node.platform.tests.support import serving

WORKERS = tuple(
    Vm(f"worker-{number}", VmKind.ENDPOINT, "klang-a", f"127.0.0.1:{number}", rack="r1")
    for number in (1, 2)
)


class HttpVmListTest(TrioTestCase):
    async def test_an_unchanged_list_is_not_decoded_again(self):
        source = MemoryVmList(TrioClock())
        source.put(WORKERS[0])
        async with serving(vm_list_app(source)) as address:
            vm_list = HttpVmList(address, MemoryTelemetry())
            first = await vm_list.vms()
            self.assertEqual(first, WORKERS[:1])
            self.assertIs(await vm_list.vms(), first)
            source.put(WORKERS[1])
            self.assertEqual(await vm_list.vms(), WORKERS)
            source.remove(WORKERS[1].id)
            self.assertEqual(await vm_list.vms(), WORKERS[:1])
            await vm_list.close()
