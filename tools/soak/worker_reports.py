"""Reports of the workers to the store, and the removal of the entries of silent ones."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import trio
from mimosapoint.memory import MemoryRunWorker, MemoryTransactionStore
from mimosapoint_platform.tests.standin import worker_entry

from tools.soak.proxy import Proxy

__all__ = ["REPORT_SECONDS", "SILENT_SECONDS", "WorkerReports"]

REPORT_SECONDS = 1.5
SILENT_SECONDS = 3 * REPORT_SECONDS
"""Time from the last report of a worker to the removal of its entry."""

PROBE_SECONDS = 0.05


@attrs.define
class WorkerReports:
    """Writes the entries of workers, and removes those of workers without the store.

    :param store: the store.
    :param workers: the workers.
    :param proxies: proxy of each worker, whose address it reports; the list may change.
    """

    store: MemoryTransactionStore
    workers: list[MemoryRunWorker]
    proxies: list[Proxy]
    _cuts_by_worker: Counter[int] = attrs.field(factory=Counter)
    _reported_at_by_worker: dict[int, float] = attrs.field(factory=dict)

    @contextmanager
    def cut(self, number: int) -> Iterator[None]:
        """Keep the reports of a worker from the store within the context."""
        self._cuts_by_worker[number] += 1
        try:
            yield
        finally:
            self._cuts_by_worker[number] -= 1
            self._write_due()

    async def wait_removed(self, number: int) -> None:
        """Wait until the entry of a worker without the store is removed."""
        while number in self._reported_at_by_worker:
            await trio.sleep(PROBE_SECONDS)

    def report(self, number: int) -> None:
        """Write the entry of a worker now, unless it has no store."""
        if self._cuts_by_worker[number]:
            return
        worker = self.workers[number]
        entry = worker_entry(worker, self.proxies[number].address)
        self.store.put(_key(worker), entry)
        self._reported_at_by_worker[number] = trio.current_time()

    async def run(self) -> None:
        """Report and remove until cancelled."""
        while True:
            self._write_due()
            await trio.sleep(PROBE_SECONDS)

    def _write_due(self) -> None:
        now = trio.current_time()
        for number, worker in enumerate(self.workers):
            silent = now - self._reported_at_by_worker.get(number, float("-inf"))
            if not self._cuts_by_worker[number]:
                if silent >= REPORT_SECONDS:
                    self.report(number)
            elif number in self._reported_at_by_worker and silent >= SILENT_SECONDS:
                self.store.apply({}, removals=[_key(worker)])
                del self._reported_at_by_worker[number]


def _key(worker: MemoryRunWorker) -> str:
    return f"servers/{worker.registration.id}"
