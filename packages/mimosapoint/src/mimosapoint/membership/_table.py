"""Table of the known nodes."""

from datetime import datetime, timedelta
from hashlib import blake2b

import attrs

from mimosapoint.membership.messages import NodeState
from mimosapoint.model import Vm, VmKind, VmState

__all__ = ["NodeRecord", "NodeTable"]

DIGEST_BYTES = 8
"""Length of the digest of the known ids and incarnations, in bytes."""

MAX_TOMBSTONES = 1000
"""Maximum number of removed nodes whose last heartbeat is kept."""


@attrs.define
class NodeRecord:
    """State of a node as known to this node.

    :param state: the newest state received; its heartbeat may be out of date.
    :param heartbeat: the highest heartbeat known of this incarnation.
    :param added_at: when this incarnation of the node became known.
    :param progressed_at: when the node last showed progress: a higher heartbeat, a new incarnation
        or a direct message; ``None`` before the first time.
    :param heard_directly: whether a message or reply arrived from the node itself.
    """

    state: NodeState
    heartbeat: int
    added_at: datetime
    progressed_at: datetime | None = None
    heard_directly: bool = False
    _vm: Vm | None = None

    def vm(self, leaving: bool) -> Vm:
        """Return the node as a VM; the same object until its state or address changes."""
        vm, state = self._vm, self.state
        vm_state = VmState.LEAVING if leaving else VmState.LIVE
        if vm is None or vm.state is not vm_state or vm.address != state.address:
            self._vm = vm = Vm(state.id, VmKind.ENTRY, state.zone, state.address, vm_state)
        return vm

    def current(self) -> NodeState:
        """Return the state with the newest heartbeat."""
        if self.state.heartbeat == self.heartbeat:
            return self.state
        return attrs.evolve(self.state, heartbeat=self.heartbeat)

    def last_active_at(self) -> datetime:
        """Return when the node last showed progress, or when it was added."""
        return self.progressed_at or self.added_at


class NodeTable:
    """Records of all nodes, this one included, merged by incarnation, heartbeat and revision.

    The roster is the list of the known ids with their incarnations, sorted by id; the field
    ``roster`` of the messages is its digest.

    :param own: initial state of this node.
    """

    def __init__(self, own: NodeState, now: datetime) -> None:
        self._own_id = own.id
        self.records_by_id = {own.id: NodeRecord(own, own.heartbeat, now, now, True)}
        self._tombstones_by_id: dict[str, tuple[int, int]] = {}
        self._member_digest: str | None = None
        self._ids: list[str] = [own.id]

    @property
    def own(self) -> NodeState:
        """State of this node."""
        return self.records_by_id[self._own_id].current()

    @property
    def member_digest(self) -> str:
        """Digest of the known ids and incarnations."""
        if self._member_digest is None:
            self._ids = sorted(self.records_by_id)
            entries = (f"{id}:{self.records_by_id[id].state.incarnation}" for id in self._ids)
            text = "\n".join(entries).encode()
            self._member_digest = blake2b(text, digest_size=DIGEST_BYTES).hexdigest()
        return self._member_digest

    def members(self) -> list[tuple[str, int]]:
        """Return the known ids with their incarnations in the order of the roster."""
        return [(id, self.records_by_id[id].state.incarnation) for id in self._ordered_ids()]

    def heartbeats(self) -> tuple[int, ...]:
        """Return the heartbeats in the order of the roster."""
        return tuple(self.records_by_id[id].heartbeat for id in self._ordered_ids())

    def revisions(self) -> tuple[int, ...]:
        """Return the revisions in the order of the roster."""
        return tuple(self.records_by_id[id].state.revision for id in self._ordered_ids())

    def states(self) -> tuple[NodeState, ...]:
        """Return the states of all nodes."""
        return tuple(record.current() for record in self.records_by_id.values())

    def states_after(self, revisions: tuple[int, ...]) -> tuple[NodeState, ...]:
        """Return the states that are newer than the given revisions.

        :param revisions: known revisions, in the order of the roster.
        """
        records = [self.records_by_id[id] for id in self._ordered_ids()]
        pairs = zip(records, revisions, strict=True)
        return tuple(
            record.current()
            for record, known_revision in pairs
            if record.state.revision > known_revision
        )

    def advance_heartbeat(self, now: datetime, rounds: int) -> None:
        """Advance the heartbeat of this node.

        :param rounds: gossip rounds since 1970.
        """
        record = self.records_by_id[self._own_id]
        record.heartbeat = max(record.heartbeat + 1, rounds)
        record.progressed_at = now

    def update_own(self, **changes: object) -> None:
        """Change the state of this node and increment its revision."""
        record = self.records_by_id[self._own_id]
        state = record.current()
        record.state = attrs.evolve(state, revision=state.revision + 1, **changes)
        self._member_digest = None

    def merge(self, state: NodeState, now: datetime) -> None:
        """Merge a state received from a peer."""
        if state.id == self._own_id:
            self._supersede_earlier_incarnation(state)
            return
        if (state.incarnation, state.heartbeat) <= self._tombstones_by_id.get(state.id, (-1, -1)):
            return
        record = self.records_by_id.get(state.id)
        if record is None:
            self._add(NodeRecord(state, state.heartbeat, now))
        elif state.incarnation > record.state.incarnation:
            self._add(NodeRecord(state, state.heartbeat, now, now))
        elif state.incarnation == record.state.incarnation:
            self._advance(record, state, now)

    def merge_heartbeat(self, id: str, incarnation: int, heartbeat: int, now: datetime) -> None:
        """Merge a heartbeat received from a peer."""
        record = self.records_by_id.get(id)
        if record is None or id == self._own_id or record.state.incarnation != incarnation:
            return
        if heartbeat > record.heartbeat:
            record.heartbeat = heartbeat
            record.progressed_at = now

    def record_contact(self, id: str, incarnation: int, now: datetime) -> None:
        """Record a message or reply received from the node itself."""
        record = self.records_by_id.get(id)
        if record is not None and record.state.incarnation == incarnation:
            record.heard_directly = True
            record.progressed_at = now

    def extend_timeouts(self, duration: timedelta) -> None:
        """Extend the failure timeout of every node, after a process pause of this node."""
        for record in self.records_by_id.values():
            if record.progressed_at is not None:
                record.progressed_at += duration

    def remove(self, id: str) -> None:
        """Remove a node; only a later heartbeat or incarnation adds it again."""
        record = self.records_by_id.pop(id)
        self._tombstones_by_id[id] = (record.state.incarnation, record.heartbeat)
        if len(self._tombstones_by_id) > MAX_TOMBSTONES:
            del self._tombstones_by_id[next(iter(self._tombstones_by_id))]
        self._member_digest = None

    def _ordered_ids(self) -> list[str]:
        return self._ids if self.member_digest else []

    def _add(self, record: NodeRecord) -> None:
        self.records_by_id[record.state.id] = record
        self._tombstones_by_id.pop(record.state.id, None)
        self._member_digest = None

    def _advance(self, record: NodeRecord, state: NodeState, now: datetime) -> None:
        if state.revision > record.state.revision:
            record.state = state
        if state.heartbeat > record.heartbeat:
            record.heartbeat = state.heartbeat
            record.progressed_at = now

    def _supersede_earlier_incarnation(self, state: NodeState) -> None:
        """Exceed the incarnation of an earlier process of this node whose clock was ahead."""
        own = self.own
        if state.incarnation > own.incarnation:
            self.update_own(incarnation=state.incarnation + 1)
