"""Composition of a node from its components."""

from mimosapoint.node.core import Adapters, NodeCore
from mimosapoint.node.settings import ComponentSettings

__all__ = ["Adapters", "NodeCore", "ComponentSettings"]
