"""Site of nodes, workers and a store in memory, for tests on a mock clock."""

from datetime import datetime, timedelta, timezone
from random import Random
from typing import Any

import attrs
import trio

from mimosapoint.configuration import Capacity, Configuration, Patch, Service, Workspace, Zone
from mimosapoint.errors import (
    BadRequest,
    MimosapointError,
    StoreUnavailable,
    WorkerUnreachable,
)
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

START_TIME = datetime(2026, 12, 3, tzinfo=timezone.utc)
VERSION_POLL_SECONDS = 0.25
"""Time between two observations of the nodes' versions."""
PROPAGATION_GRACE_SECONDS = 5.0
"""Time after a fault within which a node may still have an older version."""
WORKER_CAPACITY = Resources(slots=8, cores=128, memory_gib=256, accelerators=8)
TASK_SHAPE = Resources(slots=1, cores=16, memory_gib=32, accelerators=1)


@attrs.define
class SiteNode:
    """A running node.

    :param vm: its VM.
    :param core: the node.
    :param freeze_control: freezes its calls and its clock.
    :param store: its port to the store.
    :param workers: its port to the workers.
    :param telemetry: its telemetry.
    :param scope: cancel scope of the node; cancelling it kills the node.
    :param incarnation: number of this incarnation, unique over all nodes of the site.
    :param call_scopes: cancel scopes of the requests in progress on it.
    """

    vm: Vm
    core: NodeCore
    freeze_control: FreezeControl
    store: FreezablePort
    workers: FreezablePort
    telemetry: MemoryTelemetry
    scope: trio.CancelScope
    incarnation: int
    call_scopes: set[trio.CancelScope] = attrs.field(factory=set)


class MemorySite:
    """Site in memory, with fault injection and a history of observations.

    :param nursery: nursery in which the nodes run.
    :param nodes: number of nodes.
    :param zones: ids of the availability zones.
    :param workers: number of workers in each zone.
    :param seed: seed of the nodes' random generators.
    :param settings: settings of the nodes; the defaults if not given.
    :param queue_limit: queue limit of the workspace.
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
        self.clock = TrioClock(START_TIME)
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
        self._start_count = 0
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
        """Start a node and add it to the running nodes."""
        vm = self.vms_by_id[node]
        dispatcher, control, telemetry = Dispatcher(), FreezeControl(), MemoryTelemetry(strict=True)
        store = FreezablePort(self.store, control)
        workers = FreezablePort(MemoryWorkers(self.workers_by_address), control)
        adapters = Adapters(
            store=store,
            workers=workers,
            vm_list=self.vm_list,
            peers=LoopbackPeers(vm.address, self.network),
            dispatcher=dispatcher,
            clock=FreezableClock(self.clock, control),
            telemetry=telemetry,
            random=Random(self._random.random()),
        )
        core = NodeCore(vm, adapters, self.settings, self.configuration)
        self._start_count += 1
        self.network.join(vm.address, dispatcher)
        scope = await self._nursery.start(self._run, core)
        self.nodes_by_id[node] = SiteNode(
            vm, core, control, store, workers, telemetry, scope, self._start_count
        )

    async def _run(self, core: NodeCore, task_status: trio.TaskStatus) -> None:
        with trio.CancelScope() as scope:
            task_status.started(scope)
            await core.run()

    def kill(self, node: str) -> None:
        """Kill a node and the requests in progress on it, without a planned stop."""
        site_node = self.nodes_by_id.pop(node)
        self.network.leave(site_node.vm.address)
        site_node.scope.cancel()
        for scope in list(site_node.call_scopes):
            scope.cancel()

    def freeze(self, node: str) -> None:
        """Freeze a node: its calls, its messages and its clock's sleepers wait."""
        self.nodes_by_id[node].freeze_control.freeze()
        self.network.freeze(self.vms_by_id[node].address)

    def thaw(self, node: str) -> None:
        """Resume a frozen node."""
        if node in self.nodes_by_id:
            self.nodes_by_id[node].freeze_control.thaw()
        self.network.thaw(self.vms_by_id[node].address)

    def freeze_at(self, node: str, command: str, number: int = 1) -> None:
        """Freeze a node just before it sends a command to a worker or the store.

        :param command: method name of the port.
        :param number: which of the next calls of that method it is, from 1.
        """
        actions = self.nodes_by_id[node].freeze_control.actions_before_call
        if number == 1:
            actions[command] = lambda: self.freeze(node)
        else:
            actions[command] = lambda: self.freeze_at(node, command, number - 1)

    def partition_node(self, node: str, others: list[str] | None = None) -> None:
        """Partition a node from other nodes, by default from all."""
        for other in self._others(node, others):
            self.network.cut(self.vms_by_id[node].address, self.vms_by_id[other].address)
        self._partitioned_nodes.add(node)

    def partition_worker(self, worker: str, reachable_from: str) -> None:
        """Partition a worker from all nodes but one."""
        error = WorkerUnreachable("cut off")
        for id, node in self.nodes_by_id.items():
            if id != reachable_from:
                node.workers.errors_by_target[self.vms_by_id[worker].address] = error

    def partition_store(self, node: str) -> None:
        """Partition a node from the store."""
        self.nodes_by_id[node].store.error = StoreUnavailable("cut off")

    def heal_store(self, node: str) -> None:
        """End a node's partition from the store."""
        if node in self.nodes_by_id:
            self.nodes_by_id[node].store.error = None

    def heal(self, node: str, others: list[str] | None = None) -> None:
        """End a node's partition from other nodes, by default from all."""
        for other in self._others(node, others):
            self.network.heal(self.vms_by_id[node].address, self.vms_by_id[other].address)
        self._partitioned_nodes.discard(node)

    def _others(self, node: str, others: list[str] | None) -> list[str]:
        if others is not None:
            return others
        entries = [vm.id for vm in self.vms_by_id.values() if vm.kind is VmKind.ENTRY]
        return [id for id in entries if id != node]

    def owner_of(self, zone: str) -> str | None:
        """Return the id of the node that owns a zone with the highest epoch, or ``None``."""
        owners = [
            (node.core.ownership_manager.owner(zone).epoch, id)
            for id, node in self.nodes_by_id.items()
            if node.core.ownership_manager.owner(zone) is not None
        ]
        return max(owners)[1] if owners else None

    def find_job_record(self, job: str) -> Any:
        """Return a job's record from its home zone's newest owner, or ``None``."""
        zone = job.partition("~")[0]
        owner = self.owner_of(zone)
        return (
            self.nodes_by_id[owner].core.ownership_manager.owner(zone).indexed_table.find(job)
            if owner
            else None
        )

    # Workers.

    def worker(self, id: str) -> MemoryWorker:
        """Return the worker with an id."""
        return self.workers_by_address[self.vms_by_id[id].address]

    def restart_worker(self, id: str) -> None:
        """Replace a worker by a new incarnation, which has no tasks."""
        self._events_before_restarts += self._history_at_restart(self.worker(id))
        self.workers_by_address[self.vms_by_id[id].address] = MemoryWorker(
            id, WORKER_CAPACITY, self.clock
        )

    def _history_at_restart(self, worker: MemoryWorker) -> list[TaskEvent]:
        """Return a worker's history, with running tasks recorded as failed now."""
        events = worker.history
        last_by_task = {event.task: event for event in events}
        running = [e for e in last_by_task.values() if e.event is TaskEventKind.STARTED]
        now = self.clock.now()
        return events + [attrs.evolve(e, time=now, event=TaskEventKind.FAILED) for e in running]

    def mark_endpoint_leaving(self, worker: str) -> None:
        """Mark an endpoint as leaving; the VM list shows it after its lag."""
        self.vm_list.mark_leaving(worker)
        shown_at = self.clock.now() + self.vm_list.lag
        self.history.leaving_endpoints.append(LeavingObservation(worker, shown_at))

    # Operators.

    async def set_zone_mode(
        self, node: str, zone: str, mode: str, patch_id: str
    ) -> PatchObservation | None:
        """Put a zone into or out of service; return ``None`` when the patch fails.

        :raises BadRequest: the patch is invalid.
        """
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
        zones = core.configuration.current.zones_by_id
        out = frozenset(id for id, zone in zones.items() if zone.mode.value == "out")
        observation = PatchObservation(patch_id, base, sent_at, answered_at, status.version, out)
        self.history.patches.append(observation)
        return observation

    # Observations and results.

    async def wait_until(self, condition: Any, timeout: float = 60.0) -> float:
        """Wait until a condition holds and return the time waited, in seconds.

        :param timeout: longest time to wait, in seconds.
        :raises trio.TooSlowError: the condition does not hold in time.
        """
        started_at = trio.current_time()
        with trio.fail_after(timeout):
            while not condition():
                await trio.sleep(0.05)
        return trio.current_time() - started_at

    async def _poll_versions(self) -> None:
        """Record versions of nodes, except while cut off and for a grace period afterwards."""
        while True:
            await trio.sleep(VERSION_POLL_SECONDS)
            for id, node in self.nodes_by_id.items():
                if self._is_cut_off(id):
                    self._excluded_until_by_node[id] = (
                        trio.current_time() + PROPAGATION_GRACE_SECONDS
                    )
                if self._excluded_until_by_node.get(id, 0) < trio.current_time():
                    version = node.core.configuration.current.version
                    observation = VersionObservation(
                        id, node.incarnation, self.clock.now(), version
                    )
                    self.history.versions.append(observation)

    def _is_cut_off(self, id: str) -> bool:
        """Return whether a fault keeps a node from receiving new versions."""
        node = self.nodes_by_id[id]
        return (
            id in self._partitioned_nodes
            or not node.freeze_control.thawed
            or node.store.error is not None
        )

    def task_events(self) -> list[TaskEvent]:
        """Return the task events of every worker and of its earlier incarnations."""
        events = [e for worker in self.workers_by_address.values() for e in worker.history]
        return self._events_before_restarts + events

    def check_results(self) -> list[CheckResult]:
        """Return the result of the check of each promise over the history so far."""
        self.history.ended_at = self.clock.now()
        self.history.tasks = self.task_events()
        return check_all(self.history)

    def violations(self) -> list[str]:
        """Return violations of promises, calls without a final result, and lost jobs."""
        lines = [line for result in self.check_results() for line in result.violations]
        calls = self.history.calls
        lines += [f"{c.key} has no answer" for c in calls if c.ended_at is None]
        return lines + [f"{c.key} was lost" for c in calls if c.code == "job-not-found"]


def _configuration(zones: tuple[str, ...], workers: int, queue_limit: int) -> Configuration:
    capacity = Capacity(1, workers, WORKER_CAPACITY)
    workspace = Workspace("r", queue_limit=queue_limit, services_by_id={"s": Service()})
    zones_by_id = {id: Zone("r", capacity) for id in zones}
    return Configuration(0, zones_by_id, {"w": workspace})
