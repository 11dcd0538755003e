"""Binary of a node: network adapters and their composition."""

from mimosapoint_node.main import main

__all__ = ["main"]
