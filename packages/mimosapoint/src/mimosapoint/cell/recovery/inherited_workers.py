"""Workers on which earlier owners may have runs that are not known yet."""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING

import attrs

from mimosapoint.ports import Telemetry
from mimosapoint.workload import ResourceAmounts

if TYPE_CHECKING:
    from mimosapoint.cell.worker_session import WorkerSession

__all__ = ["InheritedWorkers", "log_without_report"]


@attrs.define
class InheritedWorkers:
    """Workers of earlier owners whose runs this owner does not know yet.

    A worker leaves them once and for all when its runs are known: it then refuses the orders of
    every earlier owner, or has lost what they started.

    :param capacity_by_id: capacity of each of them.
    :param has_unlisted: whether there may be more of them, as the stored roster is not readable.
    """

    capacity_by_id: dict[str, ResourceAmounts] = attrs.field(factory=dict)
    has_unlisted: bool = False
    _resolved_ids: set[str] = attrs.field(init=False, factory=set)

    def __contains__(self, worker_id: object) -> bool:
        if worker_id in self.capacity_by_id:
            return True
        return self.has_unlisted and worker_id not in self._resolved_ids

    def __bool__(self) -> bool:
        return self.has_unlisted or bool(self.capacity_by_id)

    def resolve(self, worker_id: str) -> None:
        """Record that the runs on a worker are known."""
        self.capacity_by_id.pop(worker_id, None)
        self._resolved_ids.add(worker_id)

    def resolve_unlisted(self) -> None:
        """Record that no run is left on a worker that the roster does not list."""
        self.has_unlisted = False

    @property
    def total_capacity(self) -> ResourceAmounts | None:
        """Capacity of all of them; ``None`` if not known."""
        if self.has_unlisted:
            return None
        return sum(self.capacity_by_id.values(), ResourceAmounts())


def log_without_report(session: WorkerSession, now: datetime, telemetry: Telemetry) -> None:
    """Log that no run is left on a worker of earlier owners, and from what this follows."""
    has_left = session.presence.has_left(now)
    reason = "replaced" if session.is_replaced else "left" if has_left else "lease-over"
    telemetry.event(
        "worker-known-unheard",
        worker=session.id,
        reason=reason,
        address=session.registration.address,
        born=session.registration.born,
        registered=session.presence.is_registered,
        absent=session.presence.is_absent,
        epoch=session.tokens.epoch,
    )
