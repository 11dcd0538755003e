"""Pauses of the process, after which an owner may have been replaced without knowing it."""

from datetime import timedelta

from mimosapoint.errors import MimosapointError, StaleEpoch
from mimosapoint.jobs import read_header
from mimosapoint.ports import Clock, Store

__all__ = ["PauseWatch"]

BEAT_INTERVAL = timedelta(milliseconds=500)

PAUSE_BOUND = timedelta(seconds=2)
"""Longest time without a beat after which the owner still trusts that it owns the zone."""

STEADY_GAP = timedelta(seconds=1)
"""Longest time without a beat after which the owner still starts tasks."""

STEADY_AFTER = timedelta(seconds=2)
"""Time after a pause until the list of VMs has been read anew."""

DOUBT_PAUSE = timedelta(milliseconds=300)


class PauseWatch:
    """Notices that the process was paused, and asks the store whether it still owns the zone.

    :param key: store key of a value that a newer owner fences.
    :param epoch: epoch of the owner.
    """

    def __init__(self, store: Store, key: str, epoch: int, clock: Clock):
        self._store = store
        self._key = key
        self._epoch = epoch
        self._clock = clock
        self._beat_at = self._steady_at = clock.now()

    def doubtful(self) -> bool:
        """Whether the process was paused for so long that another node may own the zone."""
        return self._clock.now() - self._beat_at > PAUSE_BOUND

    def steady(self) -> bool:
        """Whether the list of VMs was followed without a pause."""
        now = self._clock.now()
        return now >= self._steady_at and now - self._beat_at <= STEADY_GAP

    async def run(self) -> None:
        """Beat until cancelled; after a pause, only once the store shows no newer owner.

        :raises StaleEpoch: a newer owner has fenced this one.
        """
        while True:
            await self._clock.sleep(BEAT_INTERVAL)
            if self._clock.now() - self._beat_at > STEADY_GAP:
                self._steady_at = self._clock.now() + STEADY_AFTER
            while self.doubtful() and not await self._still_owner():
                await self._clock.sleep(DOUBT_PAUSE)
            self._beat_at = self._clock.now()

    async def _still_owner(self) -> bool:
        """Whether the store could be asked, and this owner's fence is the newest.

        :raises StaleEpoch: it is not.
        """
        try:
            entry = await self._store.get(self._key)
        except MimosapointError:
            return False
        header = read_header(entry.value) if entry is not None else None
        if header is None:
            return entry is None
        if header.epoch > self._epoch:
            raise StaleEpoch(header.epoch)
        return True
