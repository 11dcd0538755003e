"""Pauses of the process, after which an owner may have been replaced without knowing it."""

from datetime import timedelta

from mimosapoint.errors import MimosapointError, StaleEpoch
from mimosapoint.jobs import read_header
from mimosapoint.ports import Clock, Store

__all__ = ["PauseDetector"]

TICK_INTERVAL = timedelta(milliseconds=500)

MAX_GAP_FOR_OWNERSHIP = timedelta(seconds=2)
"""Longest time without a beat after which the owner still trusts that it owns the zone."""

MAX_GAP_FOR_STARTS = timedelta(seconds=1)
"""Longest time without a beat after which the owner still starts tasks."""

VM_LIST_REFRESH_TIME = timedelta(seconds=2)
"""Time after a pause until the list of VMs has been read anew."""

OWNERSHIP_RECHECK_DELAY = timedelta(milliseconds=300)


class PauseDetector:
    """Notices that the process was paused, and asks the store whether it still owns the zone.

    :param key: store key of a value that a newer owner fences.
    :param epoch: epoch of the owner.
    """

    def __init__(self, store: Store, key: str, epoch: int, clock: Clock):
        self._store = store
        self._key = key
        self._epoch = epoch
        self._clock = clock
        self._last_tick_at = self._vm_list_current_at = clock.now()

    def ownership_uncertain(self) -> bool:
        """Whether the process was paused for so long that another node may own the zone."""
        return self._clock.now() - self._last_tick_at > MAX_GAP_FOR_OWNERSHIP

    def vm_list_current(self) -> bool:
        """Whether the list of VMs was followed without a pause."""
        now = self._clock.now()
        return now >= self._vm_list_current_at and now - self._last_tick_at <= MAX_GAP_FOR_STARTS

    async def run(self) -> None:
        """Beat until cancelled; after a pause, only once the store shows no newer owner.

        :raises StaleEpoch: a newer owner has fenced this one.
        """
        while True:
            await self._clock.sleep(TICK_INTERVAL)
            if self._clock.now() - self._last_tick_at > MAX_GAP_FOR_STARTS:
                self._vm_list_current_at = self._clock.now() + VM_LIST_REFRESH_TIME
            while self.ownership_uncertain() and not await self._still_owner():
                await self._clock.sleep(OWNERSHIP_RECHECK_DELAY)
            self._last_tick_at = self._clock.now()

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
