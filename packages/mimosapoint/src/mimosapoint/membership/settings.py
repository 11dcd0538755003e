"""Settings of the membership."""

from datetime import timedelta

import attrs

__all__ = ["MembershipSettings"]


@attrs.frozen
class MembershipSettings:
    """Settings of the membership.

    :param interval: time between two rounds of gossip.
    :param fanout: number of live peers called in each round.
    :param dead_peer_interval_rounds: rounds between two calls to a node that is not live.
    :param failure_timeout: time without progress of its heartbeat after which a node is not live.
    :param remove_unlisted_after: time without progress after which the record of a node that is not
        in the VM list is removed.
    :param remove_listed_after: the same for a node in the list. It is finite, so that views do not
        differ forever when some nodes cannot read the list.
    :param call_timeout: timeout of one call.
    :param list_interval: time between two reads of the VM list.
    :param attachment_interval: time between two reads of this node's attachments.
    :param max_concurrent_broadcasts: maximum number of concurrent calls of a broadcast.
    """

    interval: timedelta = timedelta(milliseconds=500)
    fanout: int = 2
    dead_peer_interval_rounds: int = 4
    failure_timeout: timedelta = timedelta(seconds=3)
    remove_unlisted_after: timedelta = timedelta(seconds=30)
    remove_listed_after: timedelta = timedelta(minutes=5)
    call_timeout: timedelta = timedelta(seconds=1)
    list_interval: timedelta = timedelta(seconds=1)
    attachment_interval: timedelta = timedelta(seconds=1)
    max_concurrent_broadcasts: int = 16
