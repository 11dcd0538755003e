"""Addresses with ports below the ephemeral range, which outgoing connections do not use."""

import os
import socket
from itertools import count

__all__ = ["reserved_addresses"]

FIRST_PORT = 10_000 + os.getpid() * 1_000 % 20_000
"""Lowest port of this process; it depends on the process id to separate concurrent runs."""

_ports = count(FIRST_PORT)


def reserved_addresses(amount: int) -> list[str]:
    """Return ``127.0.0.1:port`` addresses that were free when checked; none is returned twice."""
    found: list[str] = []
    while len(found) < amount:
        port = next(_ports)
        if _free(port):
            found.append(f"127.0.0.1:{port}")
    return found


def _free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
