"""Messages about ownership between nodes."""

import attrs

from mimosapoint.jobs import Accepted
from mimosapoint.peers import peer_message

__all__ = ["TakeZone"]


@peer_message("take-zone", reply=Accepted)
@attrs.frozen
class TakeZone:
    """The sender has let go of an availability zone; the receiver should claim it now.

    :param zone: id of the availability zone.
    """

    zone: str
