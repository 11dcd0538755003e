"""Search for the jobs whose decision fails with an unexpected error."""

from collections.abc import Callable, Sequence

from mimosapoint.cell.decisions.units import Unit

__all__ = ["find_faulty_jobs"]


def find_faulty_jobs(
    units: Sequence[Unit], decide: Callable[[Sequence[Unit]], object]
) -> dict[str, Exception]:
    """Return the jobs whose units alone let a decision fail, with the error, by job id.

    It halves the units, so that one faulty job among many costs a logarithmic number of decisions.

    :param units: units whose joint decision failed.
    :param decide: makes a decision about units, without effect.
    """
    try:
        decide(units)
        return {}
    except Exception as error:
        jobs = sorted({unit.id.job for unit in units})
        if len(jobs) == 1:
            return {jobs[0]: error}
    first = frozenset(jobs[: len(jobs) // 2])
    halves: tuple[list[Unit], list[Unit]] = ([], [])
    for unit in units:
        halves[unit.id.job not in first].append(unit)
    return find_faulty_jobs(halves[0], decide) | find_faulty_jobs(halves[1], decide)
