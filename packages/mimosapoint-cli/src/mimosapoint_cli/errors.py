"""Exit codes, and the failures that lead to them."""

from enum import IntEnum
from typing import Any

from mimosapoint.errors import MimosapointError

__all__ = [
    "REPEAT_CODES",
    "CliError",
    "ExitCode",
    "Refused",
    "Unreachable",
    "UsageError",
    "WaitOver",
]


class ExitCode(IntEnum):
    """What scripts learn from the exit of a command."""

    OK = 0
    JOB_FAILED = 1
    BAD_INPUT = 2
    REFUSED = 3
    UNREACHABLE = 4
    WAIT_OVER = 5


class CliError(MimosapointError):
    """Ends a command.

    :param detail: what happened, for people.
    :param reasons: further lines, such as each fault of the input.
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
    """No server answered; the effect of the request may be unknown."""

    code = "unreachable"
    exit_code = ExitCode.UNREACHABLE


class WaitOver(CliError):
    """What was waited for has not happened in time."""

    code = "wait-over"
    exit_code = ExitCode.WAIT_OVER


BAD_INPUT_STATUSES = (400, 408, 413)

REPEAT_CODES = frozenset({"not-cell-owner", "outcome-unknown", "shutting-down"})
"""Problems after which another server may be asked the same thing."""


class Refused(CliError):
    """The system refused the request.

    :param status: HTTP status.
    :param problem: body of the reply.
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
        elif code in REPEAT_CODES:
            self.exit_code = ExitCode.UNREACHABLE
