"""Orders to workers by way of other nodes, for an owner that is short of processor.

See ``docs/design/relay.md``.
"""

from mimosapoint.relay.client import RelayedWorkers
from mimosapoint.relay.server import serve_relay

__all__ = ["RelayedWorkers", "serve_relay"]
