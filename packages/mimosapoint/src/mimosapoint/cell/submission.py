"""A job as a caller submits it."""

import attrs

from mimosapoint.workload import Schedule, Step

__all__ = ["Submission"]


@attrs.frozen
class Submission:
    """A job as a caller submits it.

    :param id: id of the job, chosen by the caller.
    :param spec: text that is passed to the tasks.
    :param steps: steps of the job.
    :param schedule: due times of its occurrences; ``None`` to run once, immediately.
    """

    id: str
    spec: str
    steps: tuple[Step, ...]
    schedule: Schedule | None = None
