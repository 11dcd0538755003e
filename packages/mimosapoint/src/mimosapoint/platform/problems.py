"""Conversion between typed errors and problems on the wire."""

from mimosapoint import errors
from mimosapoint.errors import CompareFailed, MimosapointError, StaleEpoch
from mimosapoint.platform.messages import Problem

__all__ = ["error_from_problem", "problem_from_error"]

ERRORS_WITH_CURRENT = (CompareFailed, StaleEpoch)

ERRORS_BY_CODE = {
    kind.code: kind
    for kind in (
        errors.BadRequest,
        errors.LeaseLost,
        errors.StoreTimeout,
        errors.StoreUnavailable,
        errors.ValueTooLarge,
        errors.VmListUnavailable,
        errors.WorkerRefused,
        errors.WorkerUnreachable,
        *ERRORS_WITH_CURRENT,
    )
}


def problem_from_error(error: MimosapointError) -> Problem:
    """Return the problem that represents an error."""
    current = error.current if isinstance(error, ERRORS_WITH_CURRENT) else None
    return Problem(error.code, error.detail, current)


def error_from_problem(problem: Problem) -> MimosapointError | None:
    """Return the error that a problem represents.

    ``None`` stands for an unknown code and for a problem that lacks its ``current`` value.
    """
    kind = ERRORS_BY_CODE.get(problem.code)
    if kind not in ERRORS_WITH_CURRENT:
        return kind(problem.detail) if kind else None
    return None if problem.current is None else kind(problem.current)
