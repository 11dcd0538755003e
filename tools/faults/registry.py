"""Registry of the fault cases."""

from collections.abc import Awaitable, Callable

import attrs

from tools.faults.case_run import CaseRun

__all__ = ["Case", "case", "cases_by_name"]

CaseFunction = Callable[[CaseRun], Awaitable[None]]


@attrs.frozen
class Case:
    """One fault, or some at once.

    :param name: name on the command line and in the table.
    :param execute: brings the fault about and lifts it.
    :param combined: whether it consists of several faults at once.
    """

    name: str
    execute: CaseFunction
    combined: bool = False


cases_by_name: dict[str, Case] = {}


def case(name: str, *, combined: bool = False) -> Callable[[CaseFunction], CaseFunction]:
    """Register a function that plays a case."""

    def register(play: CaseFunction) -> CaseFunction:
        cases_by_name[name] = Case(name, play, combined)
        return play

    return register
