"""Contract tests of the HTTP adapters against the stand-ins."""

from contextlib import asynccontextmanager
from datetime import timedelta

from mimosapoint.memory import MemoryStore, MemoryVmList, MemoryWorker
from mimosapoint.ports.tests.contract_store import StoreContract, StoreFixture
from mimosapoint.ports.tests.contract_vm_list import VmListContract, VmListFixture
from mimosapoint.ports.tests.contract_workers import (
    CAPACITY,
    WorkersContract,
    WorkersFixture,
    spec,
)
from mimosapoint.ports.tests.shifted_clock import ShiftedClock
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase
from mimosapoint_standins import store_app, vm_list_app, workers_app

from mimosapoint_node.platform import HttpStore, HttpVmList, HttpWorkers
from mimosapoint_node.platform.tests.support import serving

TIMEOUT = timedelta(milliseconds=300)
TRACE = f"00-{'a' * 32}-{'b' * 16}-01"
SERVER_TIMEOUT = timedelta(seconds=60)


class HttpStoreTest(StoreContract, TrioTestCase):
    @asynccontextmanager
    async def open_store(self):
        clock = ShiftedClock()
        service = MemoryStore(clock, timeout=SERVER_TIMEOUT)
        async with serving(store_app(service)) as address:
            store = HttpStore(address, MemoryTelemetry(strict=True), TIMEOUT)
            yield StoreFixture(store, service.faults, clock)
            await store.close()


class HttpVmListTest(VmListContract, TrioTestCase):
    @asynccontextmanager
    async def open_vm_list(self):
        clock = ShiftedClock()
        source = MemoryVmList(clock)
        async with serving(vm_list_app(source)) as address:
            vm_list = HttpVmList(address, MemoryTelemetry(strict=True), TIMEOUT)
            yield VmListFixture(vm_list, source, clock)
            await vm_list.close()


class HttpWorkersTest(WorkersContract, TrioTestCase):
    @asynccontextmanager
    async def open_workers(self):
        clock = ShiftedClock()
        worker = MemoryWorker("worker-1", CAPACITY, clock)
        by_address = {}
        async with serving(workers_app(by_address)) as address:
            by_address[address] = worker
            self.telemetry = MemoryTelemetry(strict=True)
            workers = HttpWorkers(self.telemetry, TIMEOUT)
            yield WorkersFixture(workers, address, worker, clock)
            await workers.close()

    async def test_a_reservation_is_a_span_of_the_trace(self):
        async with self.open_workers() as fixture:
            await fixture.run(spec("plain"), spec("traced", trace=TRACE))
            (span,) = self.telemetry.spans
            self.assertEqual((span.name, span.parent), ("worker-reserve", TRACE))
            self.assertEqual(span.attributes, {"worker": fixture.address})
            self.assertTrue(span.ended)
            events = {event.task: event.trace for event in fixture.worker.history}
            self.assertEqual(events["traced"], span.context)
