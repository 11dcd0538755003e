"""Bounds on the times of the store's revisions, from what its replies say of the newest one."""

from __future__ import annotations

from collections import deque
from datetime import datetime, timedelta

import attrs

from mimosapoint.ports import Clock

__all__ = ["RevisionTimes"]

KEPT_TIME = timedelta(seconds=15)
"""Age above which a reply is forgotten; the store keeps its history of changes for longer."""


@attrs.frozen
class _Reply:
    """A reply of the store.

    :param requested_at: time at which the call was sent.
    :param received_at: time at which the reply arrived.
    :param revision: newest revision of the store at some time between the two.
    """

    requested_at: datetime
    received_at: datetime
    revision: int


class RevisionTimes:
    """When changes of the store were made, at the earliest and at the latest.

    Replies without a failed call between them only: during an outage the platform may remove
    entries by rules of its own. A reply that is behind one before its request shows that replies
    may be old, and all are forgotten.

    :param clock: clock of the node.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._replies: deque[_Reply] = deque()
        self._failed_at: datetime | None = None

    @property
    def oldest_revision(self) -> int | None:
        """Revision from which on the times are known; ``None`` if none are."""
        return self._replies[0].revision if self._replies else None

    def record(self, requested_at: datetime, revision: int) -> None:
        """Record a reply that has just arrived, unless a call has failed since its request.

        :param requested_at: time at which the call was sent.
        :param revision: newest revision of the store when it replied.
        """
        if self._failed_at is not None and requested_at <= self._failed_at:
            return
        if any(
            each.received_at <= requested_at and each.revision > revision for each in self._replies
        ):
            self._replies.clear()
            return
        now = self._clock.now()
        self._replies.append(_Reply(requested_at, now, revision))
        while now - self._replies[0].received_at > KEPT_TIME:
            self._replies.popleft()

    def record_failure(self) -> None:
        """Forget the replies before a call that failed."""
        self._failed_at = self._clock.now()
        self._replies.clear()

    def longest_between(self, first: int, second: int) -> timedelta | None:
        """Return the longest time that may lie between two changes; ``None`` if not known.

        :param first: revision of the earlier change.
        :param second: revision of the later change.
        """
        before = [each.requested_at for each in self._replies if each.revision < first]
        after = [each.received_at for each in self._replies if each.revision >= second]
        return min(after) - max(before) if before and after else None
