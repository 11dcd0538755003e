"""Failure detector based on the progress of heartbeats."""

from collections.abc import Callable
from datetime import datetime, timedelta

from mimosapoint.membership._table import NodeRecord, NodeTable
from mimosapoint.membership._vm_directory import VmDirectory
from mimosapoint.model import Vm, VmState
from mimosapoint.ports import Clock, Telemetry

__all__ = ["FailureDetector"]


class FailureDetector:
    """Determine the live nodes and report each change of the set.

    :param own_id: id of this node, which always counts as live.
    :param table: records of the known nodes.
    :param directory: copy of the VM list.
    :param clock: the clock.
    :param telemetry: receives the changes.
    :param failure_timeout: time without progress of its heartbeat after which a node is not live.
    :param on_change: called after each change.
    """

    def __init__(
        self,
        own_id: str,
        table: NodeTable,
        directory: VmDirectory,
        clock: Clock,
        telemetry: Telemetry,
        failure_timeout: timedelta,
        on_change: Callable[[], None],
    ) -> None:
        self._own_id = own_id
        self._table = table
        self._directory = directory
        self._clock = clock
        self._telemetry = telemetry
        self._failure_timeout = failure_timeout
        self._on_change = on_change
        self._live: dict[str, tuple[Vm, int]] = {}

    def is_alive(self, id: str) -> bool:
        """Return whether a node is live; one that is leaving counts as well."""
        record = self._table.records_by_id.get(id)
        return record is not None and self._is_alive(record, self._clock.now())

    def vm(self, record: NodeRecord) -> Vm:
        """Return the node of a record as a VM, leaving if the node or the list says so."""
        return record.vm(record.state.leaving or self._directory.is_leaving(record.state.id))

    def peer_addresses(self) -> dict[str, str]:
        """Return the addresses of the other live nodes by id, leaving ones included."""
        now = self._clock.now()
        return {
            id: record.state.address
            for id, record in self._table.records_by_id.items()
            if id != self._own_id and self._is_alive(record, now)
        }

    def refresh(self) -> dict[str, Vm]:
        """Return the live nodes that are not leaving by id, and report a change of the set."""
        now = self._clock.now()
        live = {}
        for id, record in self._table.records_by_id.items():
            vm = self.vm(record)
            if vm.state is VmState.LIVE and self._is_alive(record, now):
                live[id] = (vm, record.state.incarnation)
        if live != self._live:
            before, self._live = self._live, live
            self._log_changes(before, live)
            self._on_change()
        return {id: vm for id, (vm, _) in live.items()}

    def _is_alive(self, record: NodeRecord, now: datetime) -> bool:
        id = record.state.id
        if id == self._own_id:
            return True
        if record.progressed_at is None or now - record.progressed_at >= self._failure_timeout:
            return False
        return record.heard_directly or id in self._directory.nodes_by_id

    def _log_changes(
        self, before: dict[str, tuple[Vm, int]], after: dict[str, tuple[Vm, int]]
    ) -> None:
        for id in after.keys() - before.keys():
            self._telemetry.event("member-live", member=id, zone=after[id][0].zone)
        for id in before.keys() - after.keys():
            record = self._table.records_by_id.get(id)
            leaving = record is not None and self.vm(record).state is VmState.LEAVING
            name = "member-leaving" if leaving else "member-dead"
            self._telemetry.event(name, member=id, zone=before[id][0].zone)
        self._telemetry.count("member_changes")
        self._telemetry.gauge("members_live", len(after))
