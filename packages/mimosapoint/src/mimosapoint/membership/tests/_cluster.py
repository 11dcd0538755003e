"""Cluster of nodes on an in-memory network under a mock clock."""

import random
from datetime import datetime, timedelta, timezone

import trio

from mimosapoint.errors import CodecError
from mimosapoint.membership import Membership, MembershipSettings
from mimosapoint.memory import MemoryVmList, TrioClock
from mimosapoint.model import Vm, VmKind
from mimosapoint.peers import Dispatcher, LoopbackNetwork, LoopbackPeers
from mimosapoint.telemetry import MemoryTelemetry

__all__ = ["Cluster", "FakeConfiguration"]

START = datetime(2026, 12, 3, tzinfo=timezone.utc)
ZONES = ("mvd-centro", "mvd-cerro", "canelones", "maldonado")


class FakeConfiguration:
    """Configuration that consists of its version number, with zeros before it.

    :ivar size: number of bytes of the encoded configuration, if its version is shorter.
    """

    def __init__(self, clock, on_installed):
        self._clock = clock
        self._on_installed = on_installed
        self.version = 1
        self.size = 1
        self.confirmed_at = None

    def install(self, version):
        if version > self.version:
            self.version = version
            self._on_installed(version)

    def version_and_age(self, now):
        if self.confirmed_at is None:
            return self.version, None
        return self.version, (now - self.confirmed_at).total_seconds()

    def confirm_version(self, version, confirmed_at):
        if version == self.version:
            self.confirmed_at = max(self.confirmed_at or confirmed_at, confirmed_at)

    def state_bytes_since(self, version):
        return (b"%d" % self.version).rjust(self.size, b"0")

    def install_bytes(self, data):
        if not data.isdigit():
            raise CodecError("not a number")
        self.install(int(data.lstrip(b"0")))


class Cluster:
    """Set of nodes that can be started, killed and restarted."""

    def __init__(self, nursery, size, seed=1, settings=None, delay=timedelta(milliseconds=1)):
        self.nursery = nursery
        self.clock = TrioClock(START)
        self.network = LoopbackNetwork(delay)
        self.vm_list = MemoryVmList(self.clock)
        self.settings = settings or MembershipSettings()
        self.random = random.Random(seed)
        self.vms_by_id = {}
        self.members_by_id = {}
        self.configurations_by_id = {}
        self.telemetry_by_id = {}
        self.broadcasts_versions = False
        self._scopes_by_id = {}
        for number in range(size):
            vm = self.vm(number)
            self.vms_by_id[vm.id] = vm
            self.vm_list.put(vm)

    @staticmethod
    def vm(number):
        zone = ZONES[number % len(ZONES)]
        address = f"10.0.0.{number}:7000"
        return Vm(f"node-{number:02}", VmKind.ENTRY, zone, address)

    async def start_all(self):
        for vm in self.vms_by_id.values():
            await self.start(vm)

    async def start(self, vm):
        dispatcher = Dispatcher()
        self.network.join(vm.address, dispatcher)
        telemetry = MemoryTelemetry(strict=True)
        configuration = FakeConfiguration(self.clock, lambda _: self._on_installed(vm.id))
        member = Membership(
            vm,
            self.vm_list,
            LoopbackPeers(vm.address, self.network),
            dispatcher,
            self.clock,
            telemetry,
            self.settings,
            random.Random(self.random.random()),
            configuration,
        )
        self.members_by_id[vm.id] = member
        self.configurations_by_id[vm.id] = configuration
        self.telemetry_by_id[vm.id] = telemetry
        self._scopes_by_id[vm.id] = await self.nursery.start(self._run, member)
        return member

    def kill(self, id):
        self._scopes_by_id.pop(id).cancel()
        member = self.members_by_id.pop(id)
        self.network.leave(member.known_nodes()[id].address)

    async def until(self, condition, timeout=60.0):
        """Wait until the condition holds and return the seconds taken."""
        started = trio.current_time()
        with trio.fail_after(timeout):
            while not condition():
                await trio.sleep(0.1)
        return trio.current_time() - started

    async def until_converged(self, ids, timeout=60.0):
        """Wait until every running node sees exactly these as live and return the seconds taken."""
        return await self.until(lambda: self.converged(ids), timeout)

    def converged(self, ids):
        """Return whether every running node sees exactly these as live."""
        views = (set(member.live_nodes()) for member in self.members_by_id.values())
        return all(view == set(ids) for view in views)

    def all_installed(self, version):
        """Return whether every node has the version."""
        return all(
            configuration.version == version for configuration in self.configurations_by_id.values()
        )

    def _on_installed(self, id):
        if self.broadcasts_versions:
            self.nursery.start_soon(self.members_by_id[id].broadcast_version)

    async def _run(self, member, task_status):
        with trio.CancelScope() as scope:
            task_status.started(scope)
            await member.run()
