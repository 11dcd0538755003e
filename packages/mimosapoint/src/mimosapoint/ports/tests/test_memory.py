"""Contract tests of the ports, run against the in-memory adapters."""

from contextlib import asynccontextmanager

from mimosapoint.memory import MemoryStore, MemoryVmList, MemoryWorker, MemoryWorkers, TrioClock
from mimosapoint.ports.tests.contract_clock import ClockContract
from mimosapoint.ports.tests.contract_store import StoreContract, StoreFixture
from mimosapoint.ports.tests.contract_vm_list import VmListContract, VmListFixture
from mimosapoint.ports.tests.contract_workers import CAPACITY, WorkersContract, WorkersFixture
from mimosapoint.ports.tests.shifted_clock import ShiftedClock
from mimosapoint.testing import TrioTestCase


class MemoryStoreTest(StoreContract, TrioTestCase):
    mock_clock = True

    @asynccontextmanager
    async def open_store(self):
        clock = ShiftedClock()
        store = MemoryStore(clock)
        yield StoreFixture(store, store.faults, clock)


class MemoryVmListTest(VmListContract, TrioTestCase):
    mock_clock = True

    @asynccontextmanager
    async def open_vm_list(self):
        clock = ShiftedClock()
        source = MemoryVmList(clock)
        yield VmListFixture(source, source, clock)


class MemoryWorkersTest(WorkersContract, TrioTestCase):
    mock_clock = True

    @asynccontextmanager
    async def open_workers(self):
        clock = ShiftedClock()
        worker = MemoryWorker("worker-1", CAPACITY, clock)
        workers = MemoryWorkers({"127.0.0.1:1": worker})
        yield WorkersFixture(workers, "127.0.0.1:1", worker, clock)


class TrioClockTest(ClockContract, TrioTestCase):
    def make_clock(self):
        return TrioClock()


class MockedTrioClockTest(ClockContract, TrioTestCase):
    mock_clock = True

    def make_clock(self):
        return TrioClock()
