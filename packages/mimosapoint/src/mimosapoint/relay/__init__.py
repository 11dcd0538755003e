"""Relays orders to workers through other nodes, for an owner that is short of processor time.

See ``docs/design/relay.md``.
"""

from mimosapoint.relay.client import RelayedWorkers
from mimosapoint.relay.server import serve_relay

__all__ = ["RelayedWorkers", "serve_relay"]
