"""All possible outcomes of a job."""

from typing import Any

import attrs

__all__ = ["Cancelled", "Failed", "MayHaveRun", "NotRun", "Outcome", "Succeeded"]


@attrs.frozen
class Succeeded:
    """Every task succeeded.

    :param parts: output of each task, ordered by task index; JSON values.
    """

    parts: tuple[Any, ...]


@attrs.frozen
class Failed:
    """The job ran and a task failed.

    :param code: stable code of the failure.
    :param detail: human-readable description.
    """

    code: str
    detail: str = ""


@attrs.frozen
class Cancelled:
    """The caller cancelled the job.

    :param started: whether any task had started.
    """

    started: bool


@attrs.frozen
class NotRun:
    """No task of the job ran, and none will.

    :param code: stable code of the reason.
    :param detail: human-readable description.
    :param retry_after: seconds after which a retry may succeed; ``None`` when a retry is useless.
    """

    code: str
    detail: str = ""
    retry_after: float | None = None


@attrs.frozen
class MayHaveRun:
    """It is unknown whether the job ran; it will not run again.

    :param code: stable code of the reason.
    :param detail: human-readable description.
    """

    code: str
    detail: str = ""


Outcome = Succeeded | Failed | Cancelled | NotRun | MayHaveRun
