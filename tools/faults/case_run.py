"""One run of a fault case: operations on the site, and what is recorded for the checks."""

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
"""Longest time from a fault to the first start in each zone that it affects."""

PATCH_ATTEMPTS = 20
POLL_SECONDS = 0.4


@attrs.frozen
class RecoveryExpectation:
    """Availability zones that are expected to start tasks again from a given time on.

    :param at: start of the measured time.
    :param zones: the availability zones.
    :param bound: longest time to the first start in each zone; ``None`` without a promise.
    """

    at: datetime
    zones: frozenset[str]
    bound: timedelta | None


@attrs.frozen
class FreezeInterval:
    """Interval in which a process was frozen.

    :param node: id of the process, normally that of a node.
    """

    node: str
    begin: datetime
    end: datetime


class CaseRun:
    """Gives a fault case access to the site, its callers and its operators.

    :param random: source of the random choices of the case.
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
        """All availability zones that have workers."""
        return frozenset(self.recorder.history.zones_by_worker.values())

    def expect_recovery(self, zones: set[str] | frozenset[str], *, promised: bool = True) -> None:
        """Record that these zones are expected to start tasks from now on.

        :param promised: whether ``FAILOVER_BOUND`` applies.
        """
        bound = FAILOVER_BOUND if promised else None
        self.recovery_expectations.append(RecoveryExpectation(now(), frozenset(zones), bound))

    async def pick_owner(self) -> tuple[str, set[str]]:
        """Return the node with the most zones, and these; exclude targets of other faults."""
        zones = await self.site.zones_by_owner()
        untargeted = [item for item in sorted(zones.items()) if item[0] not in self._targets]
        node, owned = max(untargeted, key=lambda item: len(item[1]))
        self._targets.add(node)
        return node, owned

    def pick_zone(self, zones: set[str] | frozenset[str] | None = None) -> str:
        """Return a random zone that is not the target of another fault."""
        zone = self.random.choice(sorted((zones or self.zones) - self._targets))
        self._targets.add(zone)
        return zone

    async def pick_worker(self) -> str:
        """Return the worker that started the most tasks; exclude targets of other faults."""
        starts = {}
        for worker in sorted(set(self.site.files.workers_by_id) - self._targets):
            starts[worker] = await self._count_starts(worker, self.began)
        worker = max(starts, key=starts.get)
        self._targets.add(worker)
        return worker

    async def set_faults(self, address: str, **faults: Any) -> None:
        """Set faults of a stand-in in addition to those that the case has set there before."""
        merged = {**self._faults_by_address.get(address, {}), **faults}
        self._faults_by_address[address] = merged
        reply = await self.site.standin_client.call_at(address, "PUT", "/v1/faults", merged)
        if reply.status != 200:
            raise ConnectionError(f"{address} rejected the faults: {reply}")

    @asynccontextmanager
    async def inject_faults(self, addresses: list[str], **faults: Any) -> AsyncIterator[None]:
        """Set faults of stand-ins and reset them at the end of the context."""
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
        """Set faults of a stand-in for some seconds; expect every zone to recover afterwards."""
        self.expect_recovery(self.zones, promised=False)
        async with self.inject_faults([address], **faults):
            await trio.sleep(seconds)
        self.expect_recovery(self.zones)

    async def freeze(self, id: str, seconds: float) -> None:
        """Suspend a process with SIGSTOP for some seconds, then resume it."""
        begin = now()
        self.site.signal(id, signal.SIGSTOP)
        try:
            await trio.sleep(seconds)
        finally:
            self.site.signal(id, signal.SIGCONT)
            self.freezes.append(FreezeInterval(id, begin, now()))

    async def restart(self, node: str) -> None:
        """Start a node whose process has ended, and wait until it is ready."""
        self.recorder.note_restart(node)
        await self.site.start_node(node)
        await self.site.wait_ready(node)

    async def stop_node(self, node: str) -> None:
        """Stop a node with SIGTERM and record its exit code."""
        at = now()
        code = await self.site.stop_node(node)
        self.recorder.history.shutdowns.append(ShutdownObservation(node, at, code))

    async def set_mode(self, zone: str, mode: str) -> PatchObservation:
        """Patch the mode of a zone; try again when the patch is refused.

        :raises TimeoutError: no attempt was accepted.
        """
        for _ in range(PATCH_ATTEMPTS):
            observation = await self.recorder.set_mode(zone, mode, set())
            if observation.version:
                return observation
        raise TimeoutError(f"no patch of {zone} was accepted")

    async def wait_recovered(self) -> None:
        """Wait until each expected zone has started a task or its bound has passed."""
        for expectation in self.recovery_expectations:
            if expectation.bound is None:
                continue
            until = (
                max(expectation.at, self.faults_cleared_at)
                + expectation.bound
                + timedelta(seconds=1)
            )
            for zone in expectation.zones:
                while now() < until and not await self._started(zone, expectation.at):
                    await trio.sleep(POLL_SECONDS)

    async def _started(self, zone: str, after: datetime) -> bool:
        """Return whether a worker of a zone has started a task after a time."""
        workers = self.recorder.history.zones_by_worker
        for worker in (id for id, worker_zone in workers.items() if worker_zone == zone):
            if await self._count_starts(worker, after):
                return True
        return False

    async def _count_starts(self, worker: str, after: datetime) -> int:
        """Return the number of tasks that a worker has started after a time."""
        events = await self.recorder.read_task_events(worker)
        return sum(e.time > after and e.event is TaskEventKind.STARTED for e in events)
