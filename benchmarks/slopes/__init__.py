"""How the cost of a node grows, measured on real processes over loopback."""
