"""Ports that outgoing connections don't take: those below the ephemeral range."""

import os
import socket
from itertools import count

__all__ = ["reserved_addresses"]

FIRST_PORT = 10_000 + os.getpid() * 1_000 % 20_000
"""Lowest port of this process, so that two runs at once keep apart."""

_ports = count(FIRST_PORT)


def reserved_addresses(amount: int) -> list[str]:
    """Return ``127.0.0.1:port`` addresses that were free a moment ago, each given once."""
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
