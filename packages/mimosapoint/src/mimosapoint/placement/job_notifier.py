"""Notifications of ended and moved jobs to the nodes that watch them."""

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
MAX_QUEUED_NOTIFICATIONS = 20_000


class JobNotifier:
    """Notifies nodes when a job that their callers wait for has ended or moved.

    Notifications are sent once: the watching node also polls, which covers lost messages.
    """

    def __init__(self, peers: Peers, clock: Clock):
        self._peers = peers
        self._clock = clock
        self._expiry_by_address_by_job: dict[str, dict[str, datetime]] = {}
        self._outbox: list[tuple[str, JobView]] = []
        self._ready = trio.Event()

    def watch(self, job_id: str, address: str) -> None:
        """Notify the address when the job ends or moves within ``WATCH_TTL``."""
        expiry = self._clock.now() + WATCH_TTL
        self._expiry_by_address_by_job.setdefault(job_id, {})[address] = expiry

    def notify(self, view: JobView) -> None:
        """Queue the notifications of a job that has ended or moved."""
        addresses = self._expiry_by_address_by_job.pop(view.id, {})
        now = self._clock.now()
        for address, expiry in addresses.items():
            if expiry > now and len(self._outbox) < MAX_QUEUED_NOTIFICATIONS:
                self._outbox.append((address, view))
        if self._outbox:
            self._ready.set()

    def expire_watches(self) -> None:
        """Remove expired watches."""
        now = self._clock.now()
        for job_id, expiries in list(self._expiry_by_address_by_job.items()):
            remaining = {address: expiry for address, expiry in expiries.items() if expiry > now}
            if remaining:
                self._expiry_by_address_by_job[job_id] = remaining
            else:
                del self._expiry_by_address_by_job[job_id]

    async def run(self) -> None:
        """Send queued notifications, batched into one message for each address."""
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
