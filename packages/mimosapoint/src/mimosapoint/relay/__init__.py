"""Orders to workers by way of other nodes, for an owner that is short of processor.

See ``docs/design/relay.md``.
"""

from mimosapoint.relay.carrier import carry
from mimosapoint.relay.core import Relay

__all__ = ["Relay", "carry"]
