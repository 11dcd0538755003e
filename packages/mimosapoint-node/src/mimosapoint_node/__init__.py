"""Node program: network adapters and their composition, started by :mod:`mimosapoint_node.main`."""
