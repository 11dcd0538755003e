"""Check of the ownership in the store after a worker has refused a fencing token."""

import trio

from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.election import Ownership
from mimosapoint.cell.keys import EPOCH_KEY
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.store_availability import StoreAvailability
from mimosapoint.errors import StoreTimeout, StoreUnavailable

__all__ = ["OwnershipCheck"]


class OwnershipCheck:
    """Reads in the store whether this node still owns the cell.

    A worker refuses a token when it has seen a higher one, of a newer epoch or of this one. Only
    the store tells which. ``is_pending`` tells whether a check has been requested and not answered.

    :param ownership: the ownership.
    :param dependencies: store, clock and telemetry.
    :param settings: delay before a failed read is repeated.
    """

    def __init__(
        self, ownership: Ownership, dependencies: CellOwnerDependencies, settings: CellSettings
    ):
        self.is_pending = False
        self._ownership = ownership
        self._store = dependencies.store
        self._clock = dependencies.clock
        self._settings = settings
        self._telemetry = dependencies.telemetry
        self._requested = trio.Event()

    def request(self, token: int) -> None:
        """Request a check.

        :param token: token that the worker has seen, or a lower bound of it, for the log.
        """
        if self.is_pending:
            return
        self.is_pending = True
        has_expired = self._clock.now() >= self._ownership.valid_until
        self._telemetry.event(
            "owner-deposed" if has_expired else "token-refused",
            epoch=self._ownership.epoch,
            by=token,
        )
        self._requested.set()

    async def run(self) -> None:
        """Make the requested checks until cancelled.

        :raises StaleEpoch: another node has claimed the cell.
        """
        availability = StoreAvailability("ownership-check", self._telemetry)
        while True:
            await self._requested.wait()
            try:
                self._ownership.raise_if_superseded(await self._store.get(EPOCH_KEY))
            except (StoreUnavailable, StoreTimeout) as error:
                availability.record_failure(error, epoch=self._ownership.epoch)
                await trio.sleep(self._settings.retry_delay.total_seconds())
                continue
            availability.record_success()
            self._telemetry.event("ownership-confirmed", epoch=self._ownership.epoch)
            self._requested = trio.Event()
            self.is_pending = False
