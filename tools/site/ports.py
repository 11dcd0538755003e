"""Free ports on loopback."""

import socket

__all__ = ["free_addresses"]


def free_addresses(count: int) -> list[str]:
    """Return ``127.0.0.1:port`` addresses that are free now, but are not reserved."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{each.getsockname()[1]}" for each in sockets]
    finally:
        for each in sockets:
            each.close()
