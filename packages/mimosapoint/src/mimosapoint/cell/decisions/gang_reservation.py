"""Reservation of capacity for a waiting gang, so that smaller units do not starve it."""

from collections.abc import Callable

from mimosapoint.cell.decisions.expected_end_reservation import Reservations
from mimosapoint.cell.decisions.placement_state import CandidateWorker
from mimosapoint.cell.decisions.units import Unit
from mimosapoint.workload import ResourceAmounts

__all__ = [
    "GangReservation",
    "find_gang_reservation",
    "gang_reservation",
    "gang_reservation_names",
]

GangReservation = Callable[[Reservations, Unit, str, bool, Callable[[Unit], bool]], None]
"""Reserves capacity for a waiting gang, which belongs to a service and may need a single rack; the
last argument returns whether another unit has a lower priority than the gang."""

_reservations_by_name: dict[str, GangReservation] = {}


def gang_reservation(name: str) -> Callable[[GangReservation], GangReservation]:
    """Register a reservation of gangs under a name that settings may state."""

    def register(reservation: GangReservation) -> GangReservation:
        _reservations_by_name[name] = reservation
        return reservation

    return register


def gang_reservation_names() -> tuple[str, ...]:
    """Return the names of all reservations of gangs."""
    return tuple(sorted(_reservations_by_name))


def find_gang_reservation(name: str) -> GangReservation:
    """Return the reservation of gangs with a name.

    :raises KeyError: there is none.
    """
    return _reservations_by_name[name]


@gang_reservation("expected-end")
def reserve_by_expected_end(
    reservations: Reservations,
    unit: Unit,
    pool: str,
    single_rack: bool,
    is_lower_priority: Callable[[Unit], bool],
) -> None:
    """Reserve the workers that present runs are expected to free first; units may pass."""
    reservations.reserve(unit, pool, single_rack)


@gang_reservation("current-fit")
def reserve_by_current_fit(
    reservations: Reservations,
    unit: Unit,
    pool: str,
    single_rack: bool,
    is_lower_priority: Callable[[Unit], bool],
) -> None:
    """Reserve the workers on which most tasks of the unit fit now.

    The demand of the unit is subtracted from the free capacity of these workers. The result may
    be negative, so that nothing else is placed on them.

    :param reservations: capacity that is available in this decision.
    :param unit: the waiting gang.
    :param pool: service whose workers may run the gang.
    :param single_rack: whether the gang must be placed within one rack.
    :param is_lower_priority: whether another unit has a lower priority than the gang;
        workers that suffice once only runs of such units have ended are tried first.
    """
    placement_state = reservations.placement_state
    domains = (
        list(placement_state.candidates_by_rack.values())
        if single_rack
        else [placement_state.candidates]
    )
    hosts_by_domain = [
        _GangHosts([candidate for candidate in domain if candidate.accepts(unit, pool)], unit)
        for domain in domains
    ]
    for counts_as_free in (
        lambda unit: unit is None or is_lower_priority(unit),
        lambda unit: True,
    ):
        # Domains are sorted by the tasks that fit now, so the first sufficient one is the best.
        for hosts in sorted(hosts_by_domain, key=lambda each: each.current_fit_count, reverse=True):
            chosen = hosts.choose(unit, counts_as_free)
            if chosen is not None:
                placement_state.deduct(chosen, unit)
                return


class _GangHosts:
    """Workers of one topology domain, sorted by how many tasks of the unit fit now.

    :param candidates: workers that accept the unit.
    :param unit: the waiting gang.
    """

    def __init__(self, candidates: list[CandidateWorker], unit: Unit):
        fit_count_by_candidate = {candidate: candidate.fit_count(unit) for candidate in candidates}
        self.current_fit_count = sum(fit_count_by_candidate.values())
        self._candidates = sorted(candidates, key=fit_count_by_candidate.__getitem__, reverse=True)

    def choose(
        self, unit: Unit, counts_as_free: Callable[[Unit | None], bool]
    ) -> list[CandidateWorker] | None:
        """Return a worker for each task, or ``None`` if the unit will not fit.

        :param counts_as_free: whether the capacity that a unit occupies counts as free.
        """
        chosen: list[CandidateWorker] = []
        for candidate in self._candidates:
            fit_count = candidate.fit_count(unit, _future_free(candidate, counts_as_free))
            chosen += [candidate] * min(fit_count, unit.size - len(chosen))
            if len(chosen) == unit.size:
                return chosen
        return None


def _future_free(
    candidate: CandidateWorker, counts_as_free: Callable[[Unit | None], bool]
) -> ResourceAmounts:
    free = candidate.free
    for task_run in candidate.worker.task_runs_by_key.values():
        if counts_as_free(task_run.unit):
            free += task_run.amounts
    for unit in candidate.started_units:
        if counts_as_free(unit):
            free += unit.step.amounts
    return free
