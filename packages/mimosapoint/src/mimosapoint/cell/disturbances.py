"""Record of what disturbs a worker, with a log line when it counts as unstable."""

from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.ports import Clock, Telemetry

__all__ = ["Disturbances"]


class Disturbances:
    """Records the silences, restarts and failed starts of one worker.

    :param worker: the worker, whose stability is updated.
    :param clock: clock of the owner.
    :param telemetry: receives an event when the worker counts as unstable.
    """

    def __init__(self, worker: Worker, clock: Clock, telemetry: Telemetry):
        self._worker = worker
        self._clock = clock
        self._telemetry = telemetry

    def record(self, cause: str) -> None:
        """Record a restart, a replacement or a start that was refused or not answered."""
        if self._worker.stability.record_disturbance(self._clock.now()):
            self._report_flapping(cause)

    def record_silence(self) -> None:
        """Record that the worker does not reply."""
        if self._worker.stability.record_silence(self._clock.now()):
            self._report_flapping("silence")

    def record_return(self) -> None:
        """Record that the worker replies again."""
        self._worker.stability.record_return(self._clock.now())

    def _report_flapping(self, cause: str) -> None:
        self._telemetry.event("worker-unstable", worker=self._worker.id, cause=cause)
        self._telemetry.count("cell_workers_unstable")
