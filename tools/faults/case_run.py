"""One run of a fault case: what it may do to the site, and what it notes."""

import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import datetime, timedelta
from random import Random
from typing import Any

import attrs
import trio
from mimosapoint.memory import TaskEventKind
from mimosapoint.testing import PatchObservation, ShutdownObservation

from tools.site import Site
from tools.site.callers import Callers
from tools.site.recorder import Recorder, now

__all__ = ["CaseRun", "FreezeInterval", "RecoveryExpectation"]

FAILOVER_BOUND = timedelta(seconds=10)
"""Longest time from a fault to the first start in the zones that it hit."""

PATCH_TRIES = 20
POLL_SECONDS = 0.4


@attrs.frozen
class RecoveryExpectation:
    """A time from which zones should start work again.

    :param at: the time.
    :param zones: the availability zones.
    :param bound: longest time to the first start in each, or ``None`` when nothing is promised.
    """

    at: datetime
    zones: frozenset[str]
    bound: timedelta | None


@attrs.frozen
class FreezeInterval:
    """A time for which a node's process was frozen."""

    node: str
    begin: datetime
    end: datetime


class CaseRun:
    """Hands a case the site, its callers and its operators.

    :param random: source of every choice.
    """

    def __init__(self, site: Site, recorder: Recorder, callers: Callers, random: Random):
        self.site = site
        self.recorder = recorder
        self.callers = callers
        self.random = random
        self.recovery_expectations: list[RecoveryExpectation] = []
        self.freezes: list[FreezeInterval] = []
        self.began = now()
        self.faults_cleared_at: datetime | None = None
        self._targets: set[str] = set()
        self._faults_by_address: dict[str, dict[str, Any]] = {}

    @property
    def zones(self) -> frozenset[str]:
        """Every availability zone that has workers."""
        return frozenset(self.recorder.history.zones_by_worker.values())

    def expect_recovery(self, zones: set[str] | frozenset[str], *, promised: bool = True) -> None:
        """Note that these zones should start work from now on."""
        bound = FAILOVER_BOUND if promised else None
        self.recovery_expectations.append(RecoveryExpectation(now(), frozenset(zones), bound))

    async def pick_owner(self) -> tuple[str, set[str]]:
        """Return the node that owns most zones, of those that no other fault has hit."""
        zones = await self.site.zones_by_owner()
        free = [item for item in sorted(zones.items()) if item[0] not in self._targets]
        node, owned = max(free, key=lambda item: len(item[1]))
        self._targets.add(node)
        return node, owned

    def pick_zone(self, zones: set[str] | frozenset[str] | None = None) -> str:
        """Return a zone that no other fault has hit."""
        zone = self.random.choice(sorted((zones or self.zones) - self._targets))
        self._targets.add(zone)
        return zone

    async def pick_worker(self) -> str:
        """Return the worker that started most tasks, of those that no other fault has hit."""
        starts = {}
        for worker in sorted(set(self.site.files.workers_by_id) - self._targets):
            starts[worker] = await self._starts(worker, self.began)
        worker = max(starts, key=starts.get)
        self._targets.add(worker)
        return worker

    async def set_faults(self, address: str, **faults: Any) -> None:
        """Add faults to those of a stand-in."""
        merged = {**self._faults_by_address.get(address, {}), **faults}
        self._faults_by_address[address] = merged
        reply = await self.site.standin_client.call_at(address, "PUT", "/v1/faults", merged)
        if reply.status != 200:
            raise ConnectionError(f"{address} did not take the faults: {reply}")

    @asynccontextmanager
    async def inject_faults(self, addresses: list[str], **faults: Any) -> AsyncIterator[None]:
        """Keep faults in force within the context."""
        try:
            for address in addresses:
                await self.set_faults(address, **faults)
            yield
        finally:
            with trio.CancelScope(shield=True):
                for address in addresses:
                    await self.set_faults(
                        address, **{name: type(value)() for name, value in faults.items()}
                    )

    async def outage(self, address: str, seconds: float, **faults: Any) -> None:
        """Keep faults of a platform's service in force; every zone should work afterwards."""
        self.expect_recovery(self.zones, promised=False)
        async with self.inject_faults([address], **faults):
            await trio.sleep(seconds)
        self.expect_recovery(self.zones)

    async def freeze(self, id: str, seconds: float) -> None:
        """Freeze a process and let it go on."""
        begin = now()
        self.site.signal(id, signal.SIGSTOP)
        try:
            await trio.sleep(seconds)
        finally:
            self.site.signal(id, signal.SIGCONT)
            self.freezes.append(FreezeInterval(id, begin, now()))

    async def restart(self, node: str) -> None:
        """Start a node that has ended."""
        self.recorder.note_restart(node)
        await self.site.start_node(node)
        await self.site.wait_ready(node)

    async def stop_node(self, node: str) -> None:
        """Stop a node as planned."""
        at = now()
        code = await self.site.stop_node(node)
        self.recorder.history.stops.append(ShutdownObservation(node, at, code))

    async def set_mode(self, zone: str, mode: str) -> PatchObservation:
        """Patch a zone's mode until the patch is accepted."""
        for _ in range(PATCH_TRIES):
            seen = await self.recorder.set_mode(zone, mode, set())
            if seen.version:
                return seen
        raise TimeoutError(f"no patch of {zone} was accepted")

    async def wait_recovered(self) -> None:
        """Wait until each mark has its starts, or its bound is over."""
        for mark in self.recovery_expectations:
            if mark.bound is None:
                continue
            until = max(mark.at, self.faults_cleared_at) + mark.bound + timedelta(seconds=1)
            for zone in mark.zones:
                while now() < until and not await self._started(zone, mark.at):
                    await trio.sleep(POLL_SECONDS)

    async def _started(self, zone: str, after: datetime) -> bool:
        """Whether a worker of a zone has started a task after a time."""
        workers = self.recorder.history.zones_by_worker
        for worker in (id for id, its in workers.items() if its == zone):
            if await self._starts(worker, after):
                return True
        return False

    async def _starts(self, worker: str, after: datetime) -> int:
        """Return the number of tasks that a worker has started after a time."""
        events = await self.recorder.events_of(worker)
        return sum(e.time > after and e.event is TaskEventKind.STARTED for e in events)
