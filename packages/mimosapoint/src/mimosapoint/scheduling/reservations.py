"""Room that is drained for large gangs which would starve otherwise."""

from collections.abc import Callable
from datetime import datetime, timedelta

import attrs

from mimosapoint.scheduling._ledger import Entry, Ledger
from mimosapoint.scheduling._queue import Kind, class_rank
from mimosapoint.scheduling._vectors import Vector, fits, minus, plus, scaled
from mimosapoint.scheduling.places import Need, amounts
from mimosapoint.scheduling.reclaim import Plan
from mimosapoint.scheduling.victims import pick_victims

__all__ = ["Reservation", "find_reservation", "gives_way", "press"]


@attrs.frozen
class Reservation:
    """Workers on which a gang is going to run once their present work has ended.

    :param workspace: id of the gang's workspace.
    :param rank: place of its class in the order, urgent first.
    :param workers: worker of each task.
    :param taken: what the gang takes on each worker.
    :param ready_at: time at which the room is expected to be free.
    :param made_at: time at which the workers were chosen.
    :param bars_claims_until: time until which newer claims of the workspace keep off.
    """

    workspace: str
    rank: int
    workers: tuple[str, ...]
    taken: dict[str, Vector]
    ready_at: datetime
    made_at: datetime
    bars_claims_until: datetime


def _waits(
    ledger: Ledger,
    worker: str,
    need: Need,
    most: int,
    remaining: Callable[[Entry], float],
) -> list[float]:
    """Return after how many seconds a worker has room for one task, for two and so on."""
    found: list[float] = []
    room = ledger.unreserved[worker]
    ends = sorted((remaining(entry), entry.amounts[worker]) for entry in ledger.jobs_on(worker))
    seconds = 0.0
    for after, amount in [(0.0, (0, 0, 0, 0)), *ends]:
        seconds = max(seconds, after)
        room = plus(room, amount)
        while len(found) < most and fits(scaled(need.vector, len(found) + 1), room):
            found.append(seconds)
    return found


def find_reservation(
    ledger: Ledger,
    kind: Kind,
    limit: Callable[[str], int],
    remaining: Callable[[Entry], float],
    now: datetime,
) -> Reservation | None:
    """Return the workers that will be free for a gang first, or ``None`` when none ever will.

    :param limit: returns how many tasks of the gang a worker may hold.
    :param remaining: returns the seconds that a running job still needs.
    :param now: time of the decision.
    """
    need = kind.need
    best: list[tuple[float, str]] | None = None
    for part in ledger.parts(need.adjacency):
        waits = [
            (seconds, worker)
            for worker in part
            for seconds in _waits(ledger, worker, need, limit(worker), remaining)
        ]
        chosen = sorted(waits)[: need.gang]
        if len(chosen) == need.gang and (best is None or chosen[-1][0] < best[-1][0]):
            best = chosen
    if best is None:
        return None
    workers = tuple(sorted(worker for _, worker in best))
    ready_at = now + timedelta(seconds=best[-1][0])
    taken = amounts(need, workers)
    return Reservation(kind.workspace, kind.rank, workers, taken, ready_at, now, now)


def gives_way(entry: Entry, kind: Kind) -> bool:
    """Tell whether a running gang may be stopped for a starving one."""
    request = entry.record.request
    size = request.gang * request.shape.accelerators
    smaller = size <= kind.need.accelerators
    return not entry.firm and smaller and class_rank(request.job_class) >= kind.rank


def press(ledger: Ledger, kind: Kind, found: Reservation, now: datetime) -> Plan | None:
    """Return a plan that stops the borrowers on reserved room, or ``None`` when others stay.

    Only gangs that are neither larger nor of a more urgent class give way.
    """
    room = {worker: ledger.coming_room(worker) for worker in found.taken}
    if not kind.interruptible:
        allowed = ledger.guarantees.firm_room
        limit = {worker: allowed(kind.workspace, worker) for worker in found.taken}
        if not all(fits(amount, limit[worker]) for worker, amount in found.taken.items()):
            return None
    short = {worker: minus(amount, room[worker]) for worker, amount in found.taken.items()}
    candidates = [e for w in found.taken for e in ledger.victims_on(w) if gives_way(e, kind)]
    victims = pick_victims(short, candidates, now)
    return None if victims is None else Plan(found.workers, found.taken, tuple(victims))
