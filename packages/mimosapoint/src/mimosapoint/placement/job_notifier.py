"""Who waits for the end of which job."""

from collections.abc import Iterable
from datetime import datetime, timedelta

import trio

from mimosapoint.errors import MimosapointError
from mimosapoint.jobs import JobsChanged
from mimosapoint.model import JobView
from mimosapoint.ports import Clock, Peers

__all__ = ["JobNotifier"]

WATCH_TTL = timedelta(seconds=10)
SEND_TIMEOUT = timedelta(seconds=1)
OUTBOX_LIMIT = 20_000


class JobNotifier:
    """Tells nodes when a job that their callers wait for has ended or moved.

    A lost message is made good by the watcher, which asks again now and then.
    """

    def __init__(self, peers: Peers, clock: Clock):
        self._peers = peers
        self._clock = clock
        self._expiry_by_address_by_job: dict[str, dict[str, datetime]] = {}
        self._outbox: list[tuple[str, JobView]] = []
        self._ready = trio.Event()

    def watch(self, job_id: str, address: str) -> None:
        """Tell the address when the job ends, for a while."""
        expiry = self._clock.now() + WATCH_TTL
        self._expiry_by_address_by_job.setdefault(job_id, {})[address] = expiry

    def notify(self, view: JobView) -> None:
        """Queue the news of a job that has ended or moved."""
        addresses = self._expiry_by_address_by_job.pop(view.id, {})
        now = self._clock.now()
        for address, expiry in addresses.items():
            if expiry > now and len(self._outbox) < OUTBOX_LIMIT:
                self._outbox.append((address, view))
        if self._outbox:
            self._ready.set()

    def expire_watches(self) -> None:
        """Forget watches that have run out."""
        now = self._clock.now()
        for job_id, expiries in list(self._expiry_by_address_by_job.items()):
            kept = {address: expiry for address, expiry in expiries.items() if expiry > now}
            if kept:
                self._expiry_by_address_by_job[job_id] = kept
            else:
                del self._expiry_by_address_by_job[job_id]

    async def run(self) -> None:
        """Send the news, all that is due to one address in one message."""
        while True:
            await self._ready.wait()
            self._ready = trio.Event()
            batch, self._outbox = self._outbox, []
            views_by_address: dict[str, list[JobView]] = {}
            for address, view in batch:
                views_by_address.setdefault(address, []).append(view)
            async with trio.open_nursery() as nursery:
                for address, views in views_by_address.items():
                    nursery.start_soon(self._send, address, views)

    async def _send(self, address: str, views: Iterable[JobView]) -> None:
        try:
            await self._peers.call(address, JobsChanged(tuple(views)), SEND_TIMEOUT)
        except MimosapointError:
            return
