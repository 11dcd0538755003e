"""Settings of the membership."""

from datetime import timedelta

import attrs

__all__ = ["MembershipSettings"]


@attrs.frozen
class MembershipSettings:
    """Settings of the membership.

    :param interval: time between two rounds of gossip.
    :param fanout: live peers called in each round.
    :param dead_peer_interval_rounds: rounds between two calls to a peer that is not live.
    :param failure_timeout: time without progress of a heartbeat after which a node is not live.
    :param remove_unlisted_after: time after which a silent node that the list lacks is dropped.
    :param remove_listed_after: the same for a node that the list shows, so that a list which
        some nodes cannot read does not keep their views apart for good.
    :param call_timeout: timeout of one call.
    :param list_interval: time between two reads of the list of VMs.
    :param attachment_interval: time between two looks at this node's attachments.
    :param max_concurrent_broadcasts: calls at once while announcing.
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
