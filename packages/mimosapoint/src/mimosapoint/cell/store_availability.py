"""Whether a reader or writer of the store reaches it, logged once for each change."""

from mimosapoint.errors import MimosapointError
from mimosapoint.ports import Telemetry

__all__ = ["StoreAvailability"]


class StoreAvailability:
    """What one part of a node knows of the store's availability.

    :param part: name of the part.
    :param telemetry: told of each change, and counts every failure.
    """

    def __init__(self, part: str, telemetry: Telemetry):
        self._part = part
        self._telemetry = telemetry
        self._reached = True

    @property
    def is_available(self) -> bool:
        """Whether the last call was answered."""
        return self._reached

    def record_failure(self, error: MimosapointError, **fields: object) -> None:
        """Note a failed call."""
        self._telemetry.count("cell_store_failures", part=self._part, error=error.code)
        if self._reached:
            self._reached = False
            self._telemetry.event(
                "store-lost", part=self._part, error=error.code, detail=error.detail, **fields
            )

    def record_success(self) -> None:
        """Note an answer."""
        if not self._reached:
            self._reached = True
            self._telemetry.event("store-regained", part=self._part)
