"""Who owns which availability zone, and how full it is, as the gossip tells."""

from typing import Any

import attrs

from mimosapoint.errors import CodecError
from mimosapoint.membership import Membership
from mimosapoint.placement import ZoneOwner
from mimosapoint.placement.digest import (
    ZONES_ATTACHMENT,
    ZoneDigest,
    from_attachment,
    to_attachment,
)
from mimosapoint.scheduling import ZoneSummary

__all__ = ["ZoneDirectory"]


@attrs.frozen
class _Heard:
    """Digests of one node as they were heard.

    :param raw: attachment that they were read from.
    :param digests_by_zone: the digests.
    """

    raw: Any
    digests_by_zone: dict[str, ZoneDigest]


class ZoneDirectory:
    """Finds the owner of a zone and the summaries of all zones.

    :param node: id of this node.
    :param address: peer address of this node.
    :param owners_by_zone: zones that this node owns.
    """

    def __init__(
        self,
        node: str,
        address: str,
        membership: Membership,
        owners_by_zone: dict[str, ZoneOwner],
    ):
        self._node = node
        self._address = address
        self._membership = membership
        self._owners_by_zone = owners_by_zone
        self._heard_by_node: dict[str, _Heard] = {}
        membership.attach(ZONES_ATTACHMENT, self._attachment)

    def _attachment(self) -> Any:
        return to_attachment(self._own_digests())

    def address_of(self, zone: str) -> str | None:
        """Return the peer address of the zone's owner, or ``None`` when none is known."""
        if zone in self._owners_by_zone:
            return self._address
        owner = self.other_owner(zone)
        return self._membership.known_nodes()[owner].address if owner else None

    def owner_of(self, zone: str) -> str | None:
        """Return the id of the node that owns the zone, or ``None`` when none is known."""
        return self._node if zone in self._owners_by_zone else self.other_owner(zone)

    def other_owner(self, zone: str) -> str | None:
        """Return the id of the other live node that owns the zone, the newest epoch first."""
        best: tuple[int, str] | None = None
        for node in self._others():
            digest = self._heard(node).digests_by_zone.get(zone)
            if digest is not None:
                best = max(best or (0, ""), (digest.epoch, node))
        return best[1] if best else None

    def summaries_by_zone(self) -> dict[str, ZoneSummary]:
        """Return the newest summary of every zone that some live node owns, with its age."""
        newest: dict[str, tuple[int, ZoneSummary]] = {}
        for zone, owner in self._owners_by_zone.items():
            summary = owner.summary()
            if summary is not None:
                newest[zone] = (owner.epoch, summary)
        for node in self._others():
            age = self._age(node)
            for zone, digest in self._heard(node).digests_by_zone.items():
                if digest.summary is not None and newest.get(zone, (0,))[0] < digest.epoch:
                    newest[zone] = (digest.epoch, attrs.evolve(digest.summary, age=age))
        return {zone: summary for zone, (_, summary) in newest.items()}

    def _age(self, node: str) -> float:
        """Return the seconds since a node was heard of; its digests held at that time."""
        silence = self._membership.silence(node)
        return silence.total_seconds() if silence is not None else float("inf")

    def epochs_by_zone(self) -> dict[str, int]:
        """Return the newest epoch of every zone that some live node owns."""
        self._forget_unknown()
        epochs = {zone: owner.epoch for zone, owner in self._owners_by_zone.items()}
        for node in self._others():
            for zone, digest in self._heard(node).digests_by_zone.items():
                epochs[zone] = max(epochs.get(zone, 0), digest.epoch)
        return epochs

    def _forget_unknown(self) -> None:
        """Drop what nodes said that the membership has forgotten."""
        for node in self._heard_by_node.keys() - self._membership.known_nodes().keys():
            del self._heard_by_node[node]

    def _own_digests(self) -> dict[str, ZoneDigest]:
        return {zone: owner.digest() for zone, owner in self._owners_by_zone.items()}

    def _others(self) -> list[str]:
        """Return the ids of the other nodes that live, leaving ones included."""
        known = self._membership.known_nodes()
        return [id for id in known if id != self._node and self._membership.alive(id)]

    def _heard(self, node: str) -> _Heard:
        """Return a node's digests, read anew only when its attachment has changed."""
        raw = self._membership.attachment(node, ZONES_ATTACHMENT)
        heard = self._heard_by_node.get(node)
        if heard is None or heard.raw is not raw:
            heard = _Heard(raw, _digests(raw))
            self._heard_by_node[node] = heard
        return heard


def _digests(raw: Any) -> dict[str, ZoneDigest]:
    """Return the digests of an attachment; none of one that this program cannot read."""
    try:
        return from_attachment(raw)
    except CodecError:
        return {}
