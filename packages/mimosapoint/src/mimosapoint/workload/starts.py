"""Recorded start of a unit."""

import attrs

__all__ = ["UnitStart"]


@attrs.frozen
class UnitStart:
    """Start of a unit, which is stored before it is ordered.

    :param run: number of the run.
    :param workers: id of the worker of each task.
    :param born: start of the incarnation of each of these workers, in milliseconds of its clock;
        empty unless a task of the unit is suspected of crashing its workers.
    :param is_sole: whether no run of another unit that might crash a worker was on them.
    """

    run: int
    workers: tuple[str, ...]
    born: tuple[int, ...] = ()
    is_sole: bool = False
