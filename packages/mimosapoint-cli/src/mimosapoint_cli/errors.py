"""Exit codes and the errors that cause them."""

from enum import IntEnum
from typing import Any

from mimosapoint.errors import MimosapointError

__all__ = [
    "RETRY_CODES",
    "CliError",
    "ExitCode",
    "Refused",
    "Unreachable",
    "UsageError",
    "WaitOver",
]


class ExitCode(IntEnum):
    """Exit codes of commands."""

    OK = 0
    JOB_FAILED = 1
    BAD_INPUT = 2
    REFUSED = 3
    UNREACHABLE = 4
    WAIT_OVER = 5


class CliError(MimosapointError):
    """Error that ends a command.

    :param detail: message for the user.
    :param reasons: additional lines, such as each error of the input.
    """

    exit_code = ExitCode.REFUSED

    def __init__(self, detail: str, reasons: tuple[str, ...] = ()):
        super().__init__(detail)
        self.reasons = reasons


class UsageError(CliError):
    """The arguments or a file are malformed."""

    code = "usage"
    exit_code = ExitCode.BAD_INPUT


class Unreachable(CliError):
    """No server replied; the request may have had its effect."""

    code = "unreachable"
    exit_code = ExitCode.UNREACHABLE


class WaitOver(CliError):
    """The awaited state was not reached within the wait."""

    code = "wait-over"
    exit_code = ExitCode.WAIT_OVER


BAD_INPUT_STATUSES = (400, 408, 413)

RETRY_CODES = frozenset({"not-cell-owner", "outcome-unknown", "shutting-down"})
"""Codes of problems after which the request may be repeated on another server."""


class Refused(CliError):
    """The system refused the request.

    :param status: HTTP status.
    :param problem: JSON object of the body; empty when the body is another JSON value.
    """

    def __init__(self, status: int, problem: dict[str, Any]):
        code = problem.get("code", "unknown")
        reasons = [str(reason) for reason in problem.get("reasons", ())]
        if "retry_after" in problem:
            reasons.append(f"repeat after {problem['retry_after']} s")
        super().__init__(
            f"{code}: {problem.get('detail', f'HTTP status {status}')}", tuple(reasons)
        )
        self.status = status
        self.problem_code = code
        if status in BAD_INPUT_STATUSES:
            self.exit_code = ExitCode.BAD_INPUT
        elif code in RETRY_CODES:
            self.exit_code = ExitCode.UNREACHABLE
