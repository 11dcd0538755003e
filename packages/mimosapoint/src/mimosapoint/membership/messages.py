"""Messages by which nodes learn of each other."""

from typing import Any

import attrs

from mimosapoint.peers import peer_message

__all__ = ["Gossip", "GossipReply", "NodeState"]


@attrs.frozen
class NodeState:
    """What a node says of itself.

    :param id: id of the node.
    :param incarnation: number of the process's start, rising with each restart.
    :param heartbeat: counter that rises in each round, near to the rounds since 1970, so that the
        heartbeats of all nodes differ by small numbers only.
    :param revision: counter that rises when anything else changes.
    :param zone: its availability zone.
    :param address: ``IP:port`` at which peers reach it.
    :param leaving: whether it announced its planned stop.
    :param attachments: values attached by other parts of the node, by name; JSON values.
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
    """What the callee knows and the caller may not.

    :param node: id of the callee.
    :param incarnation: incarnation of the callee.
    :param roster: digest of the ids and incarnations that the callee knows.
    :param newer: how much the callee's heartbeats are ahead of the caller's, in the order of the
        roster; empty when the rosters differ.
    :param states: states that are newer than the caller's; all when the rosters differ.
    :param version: configuration version in force at the callee.
    :param confirmed_age: seconds since that version was known to be the current one.
    :param configuration: the encoded configuration, when the caller's version is lower.
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
    """What the caller knows.

    Nothing in it tells how fresh the caller's configuration is: only the callee of a call can vouch
    for a time, since the caller knows when it asked.

    :param node: id of the caller.
    :param incarnation: incarnation of the caller.
    :param roster: digest of the ids and incarnations that the caller knows.
    :param heartbeat: heartbeat of the caller.
    :param lags: how far every heartbeat is behind the caller's, in the order of the roster.
    :param revisions: revisions in the order of the roster.
    :param state: state of the caller, when the callee may lack it.
    :param version: configuration version in force at the caller.
    :param configuration: the encoded configuration, when the callee's version is lower.
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
        """Return the heartbeats in the order of the roster."""
        return tuple(self.heartbeat - lag for lag in self.lags)
