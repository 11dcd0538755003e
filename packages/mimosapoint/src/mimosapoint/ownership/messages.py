"""Messages about ownership between nodes."""

import attrs

from mimosapoint.jobs import Accepted
from mimosapoint.peers import peer_message

__all__ = ["TakeZone"]


@peer_message("take-zone", reply=Accepted)
@attrs.frozen
class TakeZone:
    """Asks the receiver to claim an availability zone that the sender no longer owns.

    :param zone: id of the availability zone.
    """

    zone: str
