"""A node's parts put together."""

from mimosapoint.node.core import Adapters, NodeCore
from mimosapoint.node.settings import ComponentSettings

__all__ = ["Adapters", "NodeCore", "ComponentSettings"]
