"""Tests of the lease renewer around pauses of the owner's process."""

import trio

from mimosapoint.errors import WorkerUnreachable
from mimosapoint.memory import MemoryWorker, TrioClock
from mimosapoint.model import Resources, Vm, VmKind
from mimosapoint.placement import LeaseHolder, LeaseRenewer
from mimosapoint.placement.report_cache import ReportCache
from mimosapoint.placement.settings import ZoneOwnerSettings
from mimosapoint.placement.worker_inventory import WorkerInventory
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase

CAPACITY = Resources(slots=8, cores=128, memory_gib=256, accelerators=8)
VM = Vm("w", VmKind.ENDPOINT, "a", "10.0.0.1:1", rack="r")
PAUSE_SECONDS = 8.0
AFTER_PAUSE_SECONDS = 3.0


class WorkerFailingAfterPause:
    """A worker whose second lease call fails after a delay, as after a pause of the caller."""

    def __init__(self, clock):
        self._worker = MemoryWorker(VM.id, CAPACITY, clock)
        self.calls = 0

    async def lease(self, address, request):
        self.calls += 1
        if self.calls == 2:
            await trio.sleep(PAUSE_SECONDS)
            raise WorkerUnreachable("no reply")
        return self._worker.lease(request)


class LeaseRenewerPauseTest(TrioTestCase):
    """Renewal failures count from the first failed call, not from the last reply.

    Otherwise a call that fails after a long pause of the owner's process lets the lease expire.
    """

    mock_clock = True

    async def test_worker_answering_after_a_pause_is_usable_again(self):
        clock, inventory = TrioClock(), WorkerInventory()
        inventory.update_vm(VM)
        workers = WorkerFailingAfterPause(clock)
        renewer = LeaseRenewer(
            VM.id,
            LeaseHolder("n", "a", 1),
            workers=workers,
            report_cache=ReportCache(),
            inventory=inventory,
            clock=clock,
            telemetry=MemoryTelemetry(),
            settings=ZoneOwnerSettings(),
            on_report=lambda: None,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(renewer.run)
            await trio.sleep(PAUSE_SECONDS + AFTER_PAUSE_SECONDS)
            self.assertGreater(workers.calls, 2)
            self.assertTrue(inventory.is_usable(VM.id))
            nursery.cancel_scope.cancel()
