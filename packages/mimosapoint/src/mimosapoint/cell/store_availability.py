"""Availability of the store as seen by one component, logged on each change."""

from mimosapoint.cell.keys import EPOCH_KEY
from mimosapoint.cell.overlapping_calls import call_until_reply
from mimosapoint.cell.settings import CellSettings
from mimosapoint.errors import MimosapointError
from mimosapoint.ports import Telemetry, TransactionStore

__all__ = ["StoreAvailability"]

FAILURES_OF_OUTAGE = 2
"""Consecutive failures that show an outage; a single one may be a lost reply."""


class StoreAvailability:
    """Availability of the store, judged by the last call of one component.

    Each change is logged, and every failure is counted. Of repeated failures the second, the
    fourth, the eighth and so on are logged.

    :param part: name of the component.
    :param telemetry: logs and metrics.
    """

    def __init__(self, part: str, telemetry: Telemetry):
        self._part = part
        self._telemetry = telemetry
        self._failures = 0

    @property
    def is_available(self) -> bool:
        """Whether the last call succeeded; true before the first."""
        return not self._failures

    @property
    def is_outage(self) -> bool:
        """Whether several calls have failed in a row."""
        return self._failures >= FAILURES_OF_OUTAGE

    async def wait_reply(self, store: TransactionStore, settings: CellSettings) -> None:
        """Wait until the store replies again, if the last call has failed.

        It is asked for a small entry: overlapping transfers of large ones would delay each other
        on a slow link.

        :param store: the store.
        :param settings: interval of the calls, and how many may be outstanding.
        :raises StoreUnavailable: the store refused the call.
        :raises StoreTimeout: the store gave no usable reply.
        """
        if not self.is_available:
            await call_until_reply(lambda: store.get(EPOCH_KEY), settings, self.record_failure)

    def record_failure(self, error: MimosapointError, **fields: object) -> None:
        """Record a failed call.

        :param error: error of the call.
        :param fields: further fields of the log line.
        """
        self._telemetry.count("cell_store_failures", part=self._part, error=error.code)
        self._failures += 1
        if self._failures == 1:
            self._telemetry.event(
                "store-lost", part=self._part, error=error.code, detail=error.detail, **fields
            )
        elif self._failures.bit_count() == 1:
            self._telemetry.event(
                "store-still-lost",
                part=self._part,
                failures=self._failures,
                error=error.code,
                detail=error.detail,
                **fields,
            )

    def record_success(self) -> None:
        """Record a successful call."""
        if self._failures:
            self._failures = 0
            self._telemetry.event("store-regained", part=self._part)
