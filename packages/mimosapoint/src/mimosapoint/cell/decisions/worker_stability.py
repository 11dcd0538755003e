"""Recent disturbances of a worker: silences, restarts, refused and unanswered starts."""

from collections import deque
from datetime import datetime, timedelta

import attrs

from mimosapoint.cell.settings import CellSettings

__all__ = ["WorkerStability"]

RECENT_LEASES = 2
"""Number of worker leases for which a worker counts as recently disturbed. With the leases that
the platform's bounds give (3.3 s) this is the run time of a large gang (6.8 to 7.2 s): a worker
that is disturbed again as quickly would end the gang."""

FLAPPING_LEASES = 8
"""Number of worker leases within which :data:`FLAPPING_EPISODES` episodes make a worker flapping.
Two episodes in 26 s are one in 13 s; a gang of 7 s on such a worker is hit with a probability of
1 - exp(-7/13), or 0.4."""

FLAPPING_EPISODES = 2
"""Number of episodes from which a worker counts as flapping."""

EPISODE_GAP = timedelta(seconds=1)
"""Disturbances that follow one another within this time are one episode: the start window, in
which the starts of one gang on one worker are refused or remain unanswered."""

MAX_EPISODES = 8
"""Number of episodes that are kept."""


@attrs.define
class WorkerStability:
    """Disturbances of one worker, over its incarnations.

    :param lease: duration of the worker's lease.
    """

    lease: timedelta = CellSettings().worker_lease
    _episodes: deque[datetime] = attrs.field(factory=lambda: deque(maxlen=MAX_EPISODES))
    _disturbed_at: datetime | None = None
    _is_silent: bool = False

    def record_disturbance(self, now: datetime) -> bool:
        """Record a restart or a refused or unanswered start.

        :return: whether the worker has become flapping.
        """
        was_flapping = self.is_flapping(now)
        is_ongoing = self._is_silent or (
            self._disturbed_at is not None and now - self._disturbed_at < EPISODE_GAP
        )
        if not is_ongoing:
            self._episodes.append(now)
        self._disturbed_at = now
        return not was_flapping and self.is_flapping(now)

    def record_silence(self, now: datetime) -> bool:
        """Record that the worker has stopped replying; return whether it has become flapping."""
        has_become_flapping = self.record_disturbance(now)
        self._is_silent = True
        return has_become_flapping

    def record_return(self, now: datetime) -> None:
        """Record that the worker replies again."""
        self._is_silent = False
        self._disturbed_at = now

    def is_flapping(self, now: datetime) -> bool:
        """Return whether the worker had several episodes of disturbances in a short time."""
        since = now - FLAPPING_LEASES * self.lease
        return sum(episode > since for episode in self._episodes) >= FLAPPING_EPISODES

    def instability(self, now: datetime) -> int:
        """Return 0 for a stable worker, 1 for a recently disturbed and 2 for a flapping one."""
        if self._disturbed_at is None:
            return 0
        if self.is_flapping(now):
            return 2
        return int(now - self._disturbed_at < RECENT_LEASES * self.lease)
