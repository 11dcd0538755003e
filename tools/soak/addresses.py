"""Loopback addresses of node processes."""

import os
import socket

__all__ = ["free_addresses", "host_of", "proxies_host"]

ADDRESS_NAMES = (
    "callers_address",
    "probe_address",
    "metrics_address",
    "nodes_address",
    "peers_address",
)
"""Settings of a node that name the addresses at which it listens."""

PROXIES_NUMBER = 249


def host_of(number: int) -> str:
    """Return the loopback IP of a node of this process."""
    process = os.getpid()
    return f"127.{1 + process // 256 % 254}.{process % 256}.{number + 1}"


def proxies_host() -> str:
    """Return a loopback IP of this process that no node has."""
    return host_of(PROXIES_NUMBER)


def free_addresses(number: int) -> dict[str, str]:
    """Return free addresses by setting, on a loopback IP of its own for each process and node.

    Connections leave from 127.0.0.1, so that none takes a port of a node that is restarting.

    :param number: number of the node.
    """
    host = host_of(number)
    sockets = [socket.socket() for _ in ADDRESS_NAMES]
    try:
        for each in sockets:
            each.bind((host, 0))
        ports = [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()
    return {name: f"{host}:{port}" for name, port in zip(ADDRESS_NAMES, ports, strict=True)}
