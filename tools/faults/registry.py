"""Registry of the fault cases."""

from collections.abc import Awaitable, Callable

import attrs

from tools.faults.case_run import CaseRun

__all__ = ["Case", "case", "cases_by_name"]

CaseFunction = Callable[[CaseRun], Awaitable[None]]


@attrs.frozen
class Case:
    """Fault case.

    :param name: name on the command line and in the table.
    :param execute: injects the fault and clears it.
    :param combined: whether the case injects several faults at once.
    """

    name: str
    execute: CaseFunction
    combined: bool = False


cases_by_name: dict[str, Case] = {}


def case(name: str, *, combined: bool = False) -> Callable[[CaseFunction], CaseFunction]:
    """Return a decorator that registers the function of a fault case.

    :param name: name of the case.
    :param combined: whether the case injects several faults at once.
    """

    def register(function: CaseFunction) -> CaseFunction:
        cases_by_name[name] = Case(name, function, combined)
        return function

    return register
