"""Detection of process pauses, during which another node may have claimed the zone."""

from datetime import timedelta

from mimosapoint.errors import MimosapointError, StaleEpoch
from mimosapoint.jobs import read_header
from mimosapoint.ports import Clock, Store

__all__ = ["PauseDetector"]

TICK_INTERVAL = timedelta(milliseconds=500)

MAX_GAP_FOR_OWNERSHIP = timedelta(seconds=2)
"""Age of the last tick above which the owner no longer assumes that it owns the zone."""

MAX_GAP_FOR_STARTS = timedelta(seconds=1)
"""Age of the last tick above which the owner starts no tasks."""

VM_LIST_REFRESH_TIME = timedelta(seconds=2)
"""Time after a pause by which the VM list has been read again."""

OWNERSHIP_RECHECK_DELAY = timedelta(milliseconds=300)


class PauseDetector:
    """Detects pauses of the process, and checks in the store that this owner still owns the
    zone.

    :param key: store key of a bucket; a newer owner writes its epoch into it.
    :param epoch: epoch of the owner.
    """

    def __init__(self, store: Store, key: str, epoch: int, clock: Clock):
        self._store = store
        self._key = key
        self._epoch = epoch
        self._clock = clock
        self._last_tick_at = self._vm_list_current_at = clock.now()

    def ownership_uncertain(self) -> bool:
        """Return whether the process was paused so long that another node may own the zone."""
        return self._clock.now() - self._last_tick_at > MAX_GAP_FOR_OWNERSHIP

    def vm_list_current(self) -> bool:
        """Return whether the VM list in use was read after the last pause.

        This is taken to be so once the process has run for ``VM_LIST_REFRESH_TIME`` since the
        pause.
        """
        now = self._clock.now()
        return now >= self._vm_list_current_at and now - self._last_tick_at <= MAX_GAP_FOR_STARTS

    async def run(self) -> None:
        """Tick until cancelled; after a pause, first confirm the ownership in the store.

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
        """Return whether the store replied and the bucket is absent or carries no newer epoch.

        :raises StaleEpoch: it carries a newer epoch.
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
