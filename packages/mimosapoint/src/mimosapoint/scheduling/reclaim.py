"""Plans that make room for a gang by stopping others."""

from collections.abc import Callable, Iterable
from datetime import datetime

import attrs

from mimosapoint.model import JobClass
from mimosapoint.scheduling._ledger import Entry, Ledger
from mimosapoint.scheduling._vectors import Vector, least, minus
from mimosapoint.scheduling.homes import Home
from mimosapoint.scheduling.places import Need, amounts, first_place, groups
from mimosapoint.scheduling.victims import pick_victims

__all__ = ["Plan", "plan_claim", "plan_urgent"]

PARTS_TRIED = 6
"""Parts of a zone for which victims are compared."""


@attrs.frozen
class Plan:
    """Where a gang goes and who gives way.

    :param workers: worker of each task.
    :param taken: what the gang takes on each worker.
    :param victims: gangs to stop.
    :param guarantee: id of the guarantee that is claimed, or ``None``.
    """

    workers: tuple[str, ...]
    taken: dict[str, Vector]
    victims: tuple[Entry, ...]
    guarantee: str | None = None

    def cost(self, now: datetime) -> tuple[float, int]:
        """Return lost work and number of victims."""
        return (sum(victim.lost_work(now) for victim in self.victims), len(self.victims))


def _plan(
    ledger: Ledger,
    need: Need,
    room: dict[str, Vector],
    now: datetime,
    may_stop: Callable[[Entry], bool],
    guarantee: str | None = None,
) -> Plan | None:
    coming = {worker: ledger.coming_room(worker) for worker in room}
    ordered = sorted(room, key=lambda worker: (coming[worker][::-1], worker), reverse=True)
    parts = groups(need.adjacency, ordered, ledger.rack_by_id)
    workers = first_place(need, room, parts)
    if workers is None:
        return None
    taken = amounts(need, workers)
    short = {worker: minus(amount, coming[worker]) for worker, amount in taken.items()}
    candidates = [e for w in taken for e in ledger.victims_on(w) if may_stop(e)]
    victims = pick_victims(short, candidates, now)
    return None if victims is None else Plan(workers, taken, tuple(victims), guarantee)


def plan_claim(ledger: Ledger, need: Need, homes: Iterable[Home], now: datetime) -> Plan | None:
    """Return the cheapest plan that puts the gang into one of the homes.

    :param homes: homes of its workspace.
    :param now: time of the decision.
    """
    plans = []
    for home in homes:
        room = ledger.guarantees.claim_room(home)
        plans.append(_plan(ledger, need, room, now, lambda _: True, home.unit.guarantee))
    return min((p for p in plans if p is not None), key=lambda p: p.cost(now), default=None)


def _less_urgent(entry: Entry) -> bool:
    return entry.record.request.job_class is not JobClass.URGENT


def plan_urgent(
    ledger: Ledger, need: Need, workspace: str, firm: bool, now: datetime
) -> Plan | None:
    """Return the cheapest plan found that puts an urgent gang in place of less urgent borrowers.

    :param workspace: id of its workspace.
    :param firm: whether the gang can't be stopped, so that homes of others are barred to it.
    :param now: time of the decision.
    """
    room = {worker: ledger.reclaimable_room(worker) for worker in ledger.rack_by_id}
    if firm:
        allowed = ledger.guarantees.firm_room
        room = {w: least(amount, allowed(workspace, w)) for w, amount in room.items()}
    plans = []
    for part in _parts_with_room(ledger, need, room):
        part_room = {worker: room[worker] for worker in part}
        plans.append(_plan(ledger, need, part_room, now, _less_urgent))
    return min((p for p in plans if p is not None), key=lambda p: p.cost(now), default=None)


def _parts_with_room(ledger: Ledger, need: Need, room: dict[str, Vector]) -> list[list[str]]:
    """Return a few parts that could hold the gang, those with most coming room first."""
    parts = [part for part in ledger.parts(need.adjacency) if first_place(need, room, [part])]
    parts.sort(key=lambda part: -sum(ledger.coming_room(worker)[3] for worker in part))
    return parts[:PARTS_TRIED]
