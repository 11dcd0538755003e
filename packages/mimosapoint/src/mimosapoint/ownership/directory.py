"""Who owns which availability zone, and how full it is, as the gossip tells."""

from typing import Any

import attrs

from mimosapoint.errors import CodecError
from mimosapoint.membership import Membership
from mimosapoint.placement import ZoneOwner
from mimosapoint.placement.zone_status import (
    ZONES_ATTACHMENT,
    ZoneStatus,
    decode_statuses,
    encode_statuses,
)
from mimosapoint.scheduling import ZoneSummary

__all__ = ["ZoneDirectory"]


@attrs.frozen
class _DecodedAttachment:
    """Digests of one node as they were heard.

    :param raw: attachment that they were read from.
    :param digests_by_zone: the digests.
    """

    raw: Any
    digests_by_zone: dict[str, ZoneStatus]


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
        self._decoded_by_node: dict[str, _DecodedAttachment] = {}
        membership.attach(ZONES_ATTACHMENT, self._attachment)

    def _attachment(self) -> Any:
        return encode_statuses(self._own_statuses())

    def address_of(self, zone: str) -> str | None:
        """Return the peer address of the zone's owner, or ``None`` when none is known."""
        if zone in self._owners_by_zone:
            return self._address
        owner = self.remote_owner(zone)
        return self._membership.known_nodes()[owner].address if owner else None

    def owner_of(self, zone: str) -> str | None:
        """Return the id of the node that owns the zone, or ``None`` when none is known."""
        return self._node if zone in self._owners_by_zone else self.remote_owner(zone)

    def remote_owner(self, zone: str) -> str | None:
        """Return the id of the other live node that owns the zone, the newest epoch first."""
        best: tuple[int, str] | None = None
        for node in self._other_live_nodes():
            digest = self._decoded_attachment(node).digests_by_zone.get(zone)
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
        for node in self._other_live_nodes():
            age = self._status_age(node)
            for zone, digest in self._decoded_attachment(node).digests_by_zone.items():
                if digest.summary is not None and newest.get(zone, (0,))[0] < digest.epoch:
                    newest[zone] = (digest.epoch, attrs.evolve(digest.summary, age=age))
        return {zone: summary for zone, (_, summary) in newest.items()}

    def _status_age(self, node: str) -> float:
        """Return the seconds since a node was heard of; its digests held at that time."""
        silence = self._membership.time_since_heartbeat(node)
        return silence.total_seconds() if silence is not None else float("inf")

    def epochs_by_zone(self) -> dict[str, int]:
        """Return the newest epoch of every zone that some live node owns."""
        self._remove_unknown_nodes()
        epochs = {zone: owner.epoch for zone, owner in self._owners_by_zone.items()}
        for node in self._other_live_nodes():
            for zone, digest in self._decoded_attachment(node).digests_by_zone.items():
                epochs[zone] = max(epochs.get(zone, 0), digest.epoch)
        return epochs

    def _remove_unknown_nodes(self) -> None:
        """Drop what nodes said that the membership has forgotten."""
        for node in self._decoded_by_node.keys() - self._membership.known_nodes().keys():
            del self._decoded_by_node[node]

    def _own_statuses(self) -> dict[str, ZoneStatus]:
        return {zone: owner.status() for zone, owner in self._owners_by_zone.items()}

    def _other_live_nodes(self) -> list[str]:
        """Return the ids of the other nodes that live, leaving ones included."""
        known = self._membership.known_nodes()
        return [id for id in known if id != self._node and self._membership.alive(id)]

    def _decoded_attachment(self, node: str) -> _DecodedAttachment:
        """Return a node's digests, read anew only when its attachment has changed."""
        raw = self._membership.attachment(node, ZONES_ATTACHMENT)
        heard = self._decoded_by_node.get(node)
        if heard is None or heard.raw is not raw:
            heard = _DecodedAttachment(raw, _decode_or_empty(raw))
            self._decoded_by_node[node] = heard
        return heard


def _decode_or_empty(raw: Any) -> dict[str, ZoneStatus]:
    """Return the digests of an attachment; none of one that this program cannot read."""
    try:
        return decode_statuses(raw)
    except CodecError:
        return {}
