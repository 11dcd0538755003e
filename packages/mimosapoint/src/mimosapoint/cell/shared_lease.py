"""A lease of the store that many entries share."""

from datetime import timedelta

import trio

from mimosapoint.ports import Clock, TransactionStore

__all__ = ["SharedLease"]


class SharedLease:
    """Lease for entries that are written within some time; later entries get another one.

    It is not renewed, so that each entry stays for its time to live less that time, at least.

    :param store: the store.
    :param clock: clock of the node.
    :param ttl: time to live of the lease.
    :param use: time for which the lease is used for new entries.
    """

    def __init__(self, store: TransactionStore, clock: Clock, ttl: timedelta, use: timedelta):
        self._store = store
        self._clock = clock
        self._ttl = ttl
        self._use = use
        self._lease = 0
        self._granting = trio.Lock()
        self._granted_at = clock.now() - use

    async def get(self) -> int:
        """Return the id of the lease for an entry that is written now.

        :raises StoreUnavailable: the store refused to grant a lease.
        :raises StoreTimeout: the store gave no usable reply.
        """
        async with self._granting:
            now = self._clock.now()
            if now - self._granted_at >= self._use:
                self._lease = await self._store.grant_lease(self._ttl)
                self._granted_at = now
            return self._lease

    def discard(self) -> None:
        """Use another lease from now on, as the store does not know this one."""
        self._granted_at -= self._use
