"""Several nodes, workers and a store in memory on one simulated clock."""

from datetime import datetime, timedelta, timezone
from random import Random
from typing import Any

import attrs
import trio

from mimosapoint.configuration import Capacity, Configuration, Patch, Service, Workspace, Zone
from mimosapoint.errors import BadRequest, MimosapointError, StoreUnavailable
from mimosapoint.memory import (
    MemoryStore,
    MemoryVmList,
    MemoryWorker,
    MemoryWorkers,
    TaskEvent,
    TaskEventKind,
    TrioClock,
)
from mimosapoint.model import Resources, Vm, VmKind
from mimosapoint.node import Adapters, ComponentSettings, NodeCore
from mimosapoint.peers import Dispatcher, LoopbackNetwork, LoopbackPeers
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing._freeze import FreezableClock, FreezablePort, FreezeControl
from mimosapoint.testing.checks import CheckResult, check_all
from mimosapoint.testing.history import (
    History,
    LeavingObservation,
    PatchObservation,
    VersionObservation,
)

__all__ = ["MemorySite", "SiteNode", "TASK_SHAPE", "WORKER_CAPACITY"]

START = datetime(2026, 12, 3, tzinfo=timezone.utc)
VERSION_POLL_SECONDS = 0.25
"""Time between two looks at the nodes' versions, in seconds."""
PROPAGATION_GRACE_SECONDS = 5.0
"""Time after a fault until a node should have heard of versions again, in seconds."""
WORKER_CAPACITY = Resources(slots=8, cores=128, memory_gib=256, accelerators=8)
TASK_SHAPE = Resources(slots=1, cores=16, memory_gib=32, accelerators=1)


@attrs.define
class SiteNode:
    """A node that runs.

    :param scope: ends the node at once.
    :param call_scopes: scopes of the callers' requests in progress on it.
    :param boot: number of this run of the node.
    """

    vm: Vm
    core: NodeCore
    freeze_control: FreezeControl
    store: FreezablePort
    telemetry: MemoryTelemetry
    scope: trio.CancelScope
    boot: int
    call_scopes: set[trio.CancelScope] = attrs.field(factory=set)


class MemorySite:
    """Starts, kills and freezes nodes, and keeps a history.

    :param nursery: where the nodes run.
    :param nodes: number of nodes.
    :param zones: ids of the availability zones.
    :param workers: workers of each zone.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        nodes: int = 3,
        zones: tuple[str, ...] = ("a", "b"),
        workers: int = 2,
        seed: int = 1,
        settings: ComponentSettings | None = None,
        queue_limit: int = 10_000,
    ):
        self.clock = TrioClock(START)
        self.store = MemoryStore(self.clock)
        self.network = LoopbackNetwork(timedelta(milliseconds=1))
        self.vm_list = MemoryVmList(self.clock)
        self.workers_by_address: dict[str, MemoryWorker] = {}
        self.vms_by_id: dict[str, Vm] = {}
        self.nodes_by_id: dict[str, SiteNode] = {}
        self.history = History()
        self.settings = settings or ComponentSettings()
        self.configuration = _configuration(zones, workers, queue_limit)
        self._nursery = nursery
        self._random = Random(seed)
        self._started_nodes = 0
        self._events_before_restarts: list[TaskEvent] = []
        self._partitioned_nodes: set[str] = set()
        self._excluded_until_by_node: dict[str, float] = {}
        self._add_vms(nodes, zones, workers)

    def _add_vms(self, nodes: int, zones: tuple[str, ...], workers: int) -> None:
        for number in range(nodes):
            zone = zones[number % len(zones)]
            self._add_vm(Vm(f"n{number}", VmKind.ENTRY, zone, f"10.0.0.{number}:1"))
        for index, zone in enumerate(zones):
            for number in range(workers):
                address = f"10.1.{index}.{number}:1"
                vm = Vm(f"{zone}-w{number}", VmKind.ENDPOINT, zone, address, rack=f"{zone}-r0")
                self._add_vm(vm)
                self.workers_by_address[address] = MemoryWorker(vm.id, WORKER_CAPACITY, self.clock)
                self.history.zones_by_worker[vm.id] = zone

    def _add_vm(self, vm: Vm) -> None:
        self.vms_by_id[vm.id] = vm
        self.vm_list.put(vm)

    # Nodes.

    async def start_all(self) -> None:
        """Start every node and wait until each zone has an owner."""
        for vm in self.vms_by_id.values():
            if vm.kind is VmKind.ENTRY:
                await self.start(vm.id)
        self._nursery.start_soon(self._poll_versions)
        await self.wait_until(lambda: all(map(self.owner_of, self.configuration.zones_by_id)))

    async def start(self, node: str) -> None:
        """Start a node."""
        vm = self.vms_by_id[node]
        dispatcher, pause, telemetry = Dispatcher(), FreezeControl(), MemoryTelemetry(strict=True)
        store = FreezablePort(self.store, pause)
        adapters = Adapters(
            store=store,
            workers=FreezablePort(MemoryWorkers(self.workers_by_address), pause),
            vm_list=self.vm_list,
            peers=LoopbackPeers(vm.address, self.network),
            dispatcher=dispatcher,
            clock=FreezableClock(self.clock, pause),
            telemetry=telemetry,
            random=Random(self._random.random()),
        )
        core = NodeCore(vm, adapters, self.settings, self.configuration)
        self._started_nodes += 1
        self.network.join(vm.address, dispatcher)
        scope = await self._nursery.start(self._run, core)
        found = SiteNode(vm, core, pause, store, telemetry, scope, self._started_nodes)
        self.nodes_by_id[node] = found

    async def _run(self, core: NodeCore, task_status: trio.TaskStatus) -> None:
        with trio.CancelScope() as scope:
            task_status.started(scope)
            await core.run()

    def kill(self, node: str) -> None:
        """End a node at once."""
        found = self.nodes_by_id.pop(node)
        self.network.leave(found.vm.address)
        found.scope.cancel()
        for scope in list(found.call_scopes):
            scope.cancel()

    def freeze(self, node: str) -> None:
        """Hold everything that a node does."""
        self.nodes_by_id[node].freeze_control.freeze()
        self.network.freeze(self.vms_by_id[node].address)

    def thaw(self, node: str) -> None:
        """Let a node go on."""
        if node in self.nodes_by_id:
            self.nodes_by_id[node].freeze_control.thaw()
        self.network.thaw(self.vms_by_id[node].address)

    def freeze_at(self, node: str, command: str, number: int = 1) -> None:
        """Freeze a node as it is about to send a command to a worker or the store.

        :param number: which of the coming commands it is.
        """
        before = self.nodes_by_id[node].freeze_control.actions_before_call
        if number == 1:
            before[command] = lambda: self.freeze(node)
        else:
            before[command] = lambda: self.freeze_at(node, command, number - 1)

    def partition_node(self, node: str, others: list[str] | None = None) -> None:
        """Cut a node off from other nodes."""
        for other in self._others(node, others):
            self.network.cut(self.vms_by_id[node].address, self.vms_by_id[other].address)
        self._partitioned_nodes.add(node)

    def partition_store(self, node: str) -> None:
        """Cut a node off from the store."""
        self.nodes_by_id[node].store.error = StoreUnavailable("cut off")

    def heal_store(self, node: str) -> None:
        """Let a node reach the store again."""
        if node in self.nodes_by_id:
            self.nodes_by_id[node].store.error = None

    def heal(self, node: str, others: list[str] | None = None) -> None:
        """Undo a cut."""
        for other in self._others(node, others):
            self.network.heal(self.vms_by_id[node].address, self.vms_by_id[other].address)
        self._partitioned_nodes.discard(node)

    def _others(self, node: str, others: list[str] | None) -> list[str]:
        if others is not None:
            return others
        entries = [vm.id for vm in self.vms_by_id.values() if vm.kind is VmKind.ENTRY]
        return [id for id in entries if id != node]

    def owner_of(self, zone: str) -> str | None:
        """Return the node that owns a zone by the highest epoch, or ``None``."""
        owners = [
            (node.core.ownership_manager.owner(zone).epoch, id)
            for id, node in self.nodes_by_id.items()
            if node.core.ownership_manager.owner(zone) is not None
        ]
        return max(owners)[1] if owners else None

    def find_job_record(self, job: str) -> Any:
        """Return the record of a job as its zone's newest owner has it, or ``None``."""
        zone = job.partition("~")[0]
        owner = self.owner_of(zone)
        return (
            self.nodes_by_id[owner].core.ownership_manager.owner(zone).indexed_table.find(job)
            if owner
            else None
        )

    # Workers.

    def worker(self, id: str) -> MemoryWorker:
        """Return a worker."""
        return self.workers_by_address[self.vms_by_id[id].address]

    def restart_worker(self, id: str) -> None:
        """Restart a worker, which forgets its tasks."""
        self._events_before_restarts += self._history_at_restart(self.worker(id))
        self.workers_by_address[self.vms_by_id[id].address] = MemoryWorker(
            id, WORKER_CAPACITY, self.clock
        )

    def _history_at_restart(self, worker: MemoryWorker) -> list[TaskEvent]:
        """Return a worker's history, with what still runs cut off now."""
        events = worker.history
        last_by_task = {event.task: event for event in events}
        cut = [e for e in last_by_task.values() if e.event is TaskEventKind.STARTED]
        now = self.clock.now()
        return events + [attrs.evolve(e, time=now, event=TaskEventKind.FAILED) for e in cut]

    def mark_endpoint_leaving(self, worker: str) -> None:
        """Show an endpoint as leaving."""
        self.vm_list.mark_leaving(worker)
        shown_at = self.clock.now() + self.vm_list.lag
        self.history.leavings.append(LeavingObservation(worker, shown_at))

    # Operators.

    async def set_zone_mode(
        self, node: str, zone: str, mode: str, patch_id: str
    ) -> PatchObservation | None:
        """Put a zone into or out of service; return ``None`` when there was no verdict."""
        core = self.nodes_by_id[node].core
        base, sent_at = core.configuration.current.version, self.clock.now()
        operation = {"op": "replace", "path": f"/zones/{zone}/mode", "value": mode}
        try:
            status = await core.operators.patch(Patch(patch_id, base, (operation,)))
        except BadRequest:
            raise
        except MimosapointError:
            return None
        answered_at = self.clock.now()
        now = core.configuration.current.zones_by_id
        out = frozenset(id for id, zone in now.items() if zone.mode.value == "out")
        seen = PatchObservation(patch_id, base, sent_at, answered_at, status.version, out)
        self.history.patches.append(seen)
        return seen

    # The end.

    async def wait_until(self, condition: Any, timeout: float = 60.0) -> float:
        """Return the seconds until the condition holds."""
        began = trio.current_time()
        with trio.fail_after(timeout):
            while not condition():
                await trio.sleep(0.05)
        return trio.current_time() - began

    async def _poll_versions(self) -> None:
        """Note the versions of the nodes that can hear of new ones."""
        while True:
            await trio.sleep(VERSION_POLL_SECONDS)
            for id, node in self.nodes_by_id.items():
                if self._is_cut_off(id):
                    self._excluded_until_by_node[id] = (
                        trio.current_time() + PROPAGATION_GRACE_SECONDS
                    )
                if self._excluded_until_by_node.get(id, 0) < trio.current_time():
                    version = node.core.configuration.current.version
                    seen = VersionObservation(id, node.boot, self.clock.now(), version)
                    self.history.versions.append(seen)

    def _is_cut_off(self, id: str) -> bool:
        """Whether a fault keeps a node from hearing of versions."""
        node = self.nodes_by_id[id]
        return (
            id in self._partitioned_nodes
            or not node.freeze_control.thawed
            or node.store.error is not None
        )

    def task_events(self) -> list[TaskEvent]:
        """Return what happened to tasks on every worker."""
        events = [e for worker in self.workers_by_address.values() for e in worker.history]
        return self._events_before_restarts + events

    def check_results(self) -> list[CheckResult]:
        """Return a finding for each promise."""
        self.history.ended_at = self.clock.now()
        self.history.tasks = self.task_events()
        return check_all(self.history)

    def violations(self) -> list[str]:
        """Return what broke a promise, and the calls without a final answer."""
        lines = [line for finding in self.check_results() for line in finding.violations]
        calls = self.history.calls
        lines += [f"{c.key} has no answer" for c in calls if c.ended_at is None]
        return lines + [f"{c.key} was lost" for c in calls if c.code == "job-not-found"]


def _configuration(zones: tuple[str, ...], workers: int, queue_limit: int) -> Configuration:
    capacity = Capacity(1, workers, WORKER_CAPACITY)
    workspace = Workspace("r", queue_limit=queue_limit, services_by_id={"s": Service()})
    zones_by_id = {id: Zone("r", capacity) for id in zones}
    return Configuration(0, zones_by_id, {"w": workspace})
