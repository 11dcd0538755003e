"""How long the parts of a take-over take."""

from __future__ import annotations

from datetime import timedelta

from mimosapoint.ports import Clock, Telemetry

__all__ = ["TakeOverTimes"]


class TakeOverTimes:
    """Logs each part of a take-over once, with the time since the claim.

    :param epoch: epoch of the ownership.
    :param clock: clock of the owner.
    :param telemetry: receives an event and a sample for each part.
    """

    def __init__(self, epoch: int, clock: Clock, telemetry: Telemetry):
        self._epoch = epoch
        self._clock = clock
        self._telemetry = telemetry
        self._claimed_at = clock.now()
        self._recorded: set[str] = set()

    def record(self, part: str, **fields: object) -> None:
        """Record that a part is complete.

        :param part: name of the part, such as ``first-start``.
        :param fields: further fields of the log line.
        """
        if part in self._recorded:
            return
        self._recorded.add(part)
        seconds = (self._clock.now() - self._claimed_at) / timedelta(seconds=1)
        self._telemetry.event(
            "take-over", epoch=self._epoch, part=part, seconds=round(seconds, 3), **fields
        )
        self._telemetry.observe("cell_take_over_seconds", seconds, part=part)
