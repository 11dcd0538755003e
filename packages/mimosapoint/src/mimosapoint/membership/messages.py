"""Gossip messages between nodes."""

from typing import Any

import attrs

from mimosapoint.peers import peer_message

__all__ = [
    "ConfigurationPart",
    "ConfigurationPartReply",
    "Gossip",
    "GossipReply",
    "NodeState",
]


@attrs.frozen
class NodeState:
    """State that a node publishes about itself.

    :param id: id of the node.
    :param incarnation: number of the node process, higher after each restart.
    :param heartbeat: counter that rises in each gossip round and is raised to the number of rounds
        since 1970 at least, so that the heartbeats of all nodes differ by small numbers only.
    :param revision: counter incremented when any other part of the state changes.
    :param zone: its availability zone.
    :param address: ``IP:port`` at which peers reach the node.
    :param leaving: whether the node announced a planned stop.
    :param attachments: JSON values that other components of the node publish, by name.
    """

    id: str
    incarnation: int
    heartbeat: int
    revision: int
    zone: str
    address: str
    leaving: bool = False
    attachments: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class GossipReply:
    """Reply with the states and the configuration that the caller may lack.

    :param node: id of the callee.
    :param incarnation: incarnation of the callee.
    :param roster: digest of the ids and incarnations that the callee knows.
    :param newer: how far each heartbeat at the callee is ahead of the caller's, in the order of
        the roster; empty when the rosters differ.
    :param states: states with a higher revision than the caller's; all states when the rosters
        differ.
    :param version: configuration version in force at the callee.
    :param confirmed_age: seconds since that version was confirmed as current; ``None`` when it
        never was.
    :param configuration: the encoded configuration, when the caller's version is lower; ``None``
        when it is large.
    """

    node: str
    incarnation: int
    roster: str
    newer: tuple[int, ...] = ()
    states: tuple[NodeState, ...] = ()
    version: int = 0
    confirmed_age: float | None = None
    configuration: bytes | None = None


@peer_message("gossip", reply=GossipReply)
@attrs.frozen
class Gossip:
    """Request with the heartbeats and revisions that the caller knows.

    The request does not carry the age of the caller's configuration. Only a reply carries an
    age: the caller knows when it sent the request, and subtracts the age from that time to get a
    lower bound of the confirmation time without comparing clocks.

    :param node: id of the caller.
    :param incarnation: incarnation of the caller.
    :param roster: digest of the ids and incarnations that the caller knows.
    :param heartbeat: heartbeat of the caller.
    :param lags: how far each known heartbeat is behind the caller's own, in the order of the
        roster.
    :param revisions: known revisions, in the order of the roster.
    :param state: state of the caller; ``None`` when the callee has acknowledged it.
    :param version: configuration version in force at the caller.
    :param configuration: the encoded configuration, when the callee is known to have a lower
        version; ``None`` when it is large.
    """

    node: str
    incarnation: int
    roster: str
    heartbeat: int = 0
    lags: tuple[int, ...] = ()
    revisions: tuple[int, ...] = ()
    state: NodeState | None = None
    version: int = 0
    configuration: bytes | None = None

    def heartbeats(self) -> tuple[int, ...]:
        """Return the known heartbeats in the order of the roster."""
        return tuple(self.heartbeat - lag for lag in self.lags)


@attrs.frozen
class ConfigurationPartReply:
    """Part of an encoded configuration.

    :param digest: digest of the whole; another one than the caller's when a transfer begins anew.
    :param size: size of the whole, in bytes; 0 when the callee has no newer version.
    :param offset: place of the part.
    :param part: the bytes.
    """

    digest: str = ""
    size: int = 0
    offset: int = 0
    part: bytes = b""


@peer_message("configuration-part", reply=ConfigurationPartReply)
@attrs.frozen
class ConfigurationPart:
    """Asks for the next part of a configuration that is too large for the gossip.

    :param node: id of the caller.
    :param version: configuration version in force at the caller.
    :param digest: digest of the configuration of which the caller has a part; empty for none.
    :param offset: size of that part.
    """

    node: str
    version: int
    digest: str = ""
    offset: int = 0
