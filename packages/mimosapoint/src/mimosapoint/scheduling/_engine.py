"""The course of a decision, shared by the generations of the policy."""

from collections.abc import Collection

from mimosapoint.configuration import Configuration
from mimosapoint.errors import NeverFits
from mimosapoint.model import JobRecord
from mimosapoint.scheduling._draft import Draft, Options
from mimosapoint.scheduling._placing import Placing
from mimosapoint.scheduling._queue import Kind
from mimosapoint.scheduling.drain import drain_order
from mimosapoint.scheduling.homes import Home
from mimosapoint.scheduling.moves import Mover
from mimosapoint.scheduling.never_fits import FitCheck
from mimosapoint.scheduling.summary import in_service
from mimosapoint.scheduling.suspects import Suspects
from mimosapoint.scheduling.view import Decision, Refusal, ZoneView

__all__ = ["Engine", "Options"]

PER_KIND_MOVED = 8
"""Jobs of a kind that are offered to other zones at once."""


def _hopeless(kind: Kind) -> str:
    need, why = kind.need, "it can't be interrupted" if not kind.interruptible else "its size"
    return (
        f"a gang of {need.gang} within one {need.adjacency.value} never fits beside the "
        f"guarantees of others, given {why}"
    )


class Engine(Placing):
    """Places gangs on homes and on lent room, and reclaims what was lent."""

    def __init__(self) -> None:
        super().__init__()
        self._mover = Mover(self.options.even)
        self._suspects = Suspects()
        self._fit_check: FitCheck | None = None
        self._checked: Configuration | None = None

    @property
    def homes_by_unit(self) -> dict[tuple, Home]:
        """Homes at the last decision, by workspace, guarantee and index."""
        return dict(self._ledger.guarantees.homes)

    def decide(self, view: ZoneView) -> Decision:
        """Return what to do now; the view is not changed."""
        self._view = view
        come = self._queue.sync(view.waiting)
        self._ledger.sync(view, self._avoided(come))
        if self.options.moves:
            self._mover.sync(view, come, self._queue.records_by_id)
        if self._ledger.settled:
            self._holds.clear()
            self._reservations.clear()
        draft = Draft()
        if self._fit_check is None or self._fit_check.configuration is not view.configuration:
            self._fit_check = FitCheck(view.configuration)
        if self.options.refuse:
            self._refuse_hopeless(draft, come)
        if in_service(view):
            self._use_holds(draft)
            self._use_reservations(draft)
            if self._ledger.grown:
                self._blocked.clear()
            self._place_waiting(draft)
            self._reserve_for_large(draft)
        else:
            self._drop_holds()
            self._drop_reservations()
        if self.options.moves and self._mover.due(view.now):
            self._offer_moves(draft)
        return draft.finish()

    def _offer_moves(self, draft: Draft) -> None:
        """Offer jobs that can't start here to other zones, the most urgent kinds first."""
        heap: list = []
        for kind in self._queue.kinds():
            self._push(heap, kind)
        kinds = [entry[-1] for entry in sorted(heap, key=lambda entry: entry[:-1])]
        zones = self._fit_check.zones
        candidates = (
            (record, zones(record.request, kind))
            for kind in kinds
            for record in self._queue.oldest(kind, PER_KIND_MOVED)
            if record.id not in self._holds and record.id not in self._reservations
        )
        if in_service(self._view):
            draft.moves.extend(self._mover.balance(candidates, self._view.now))
        else:
            draft.moves.extend(self._mover.leave(candidates))

    def _avoided(self, come: set[str]) -> Collection[str]:
        """Return the workers in quarantine."""
        if not self.options.quarantine:
            return ()
        now = self._view.now
        self._suspects.sync((self._queue.records_by_id[job] for job in sorted(come)), now)
        usable = {id for id, worker in self._view.workers_by_id.items() if worker.usable}
        return self._suspects.quarantined(usable, now)

    def drain_order(self, view: ZoneView) -> list[str]:
        """Return the running jobs in the order in which a zone that goes out stops them."""
        return drain_order(view)

    def ended(self, record: JobRecord) -> None:
        """Learn from a job that ended."""
        self._run_times.learn(record)
        self._suspects.ended(record)

    def _refuse_hopeless(self, draft: Draft, come: set[str]) -> None:
        """Refuse jobs that no zone can ever run, as far as the configuration tells."""
        configuration = self._view.configuration
        if self._checked is not configuration:
            self._checked = configuration
            come = set(self._queue.records_by_id)
        for job in sorted(come):
            record = self._queue.records_by_id[job]
            kind = self._queue.kind(record)
            if record.placement is None and not self._fit_check.zones(record.request, kind):
                draft.refusals.append(Refusal(job, NeverFits.code, _hopeless(kind)))
                self._queue.remove(job)
