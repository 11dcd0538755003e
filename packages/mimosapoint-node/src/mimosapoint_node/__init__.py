"""Binary of a node: network adapters and their composition, in :mod:`mimosapoint_node.main`."""
