"""Directory of zone owners and zone summaries, from the statuses in the gossip."""

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
    """Decoded zone statuses of one node.

    :param raw: attachment that they were decoded from.
    :param statuses_by_zone: the decoded statuses.
    """

    raw: Any
    statuses_by_zone: dict[str, ZoneStatus]


class ZoneDirectory:
    """Finds the owner of a zone and the summaries of all zones.

    :param node: id of this node.
    :param address: peer address of this node.
    :param owners_by_zone: owners on this node, by zone.
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
        """Return the peer address of the zone's owner, or ``None`` if none is known."""
        if zone in self._owners_by_zone:
            return self._address
        owner = self.remote_owner(zone)
        return self._membership.known_nodes()[owner].address if owner else None

    def owner_of(self, zone: str) -> str | None:
        """Return the id of the node that owns the zone, or ``None`` if none is known."""
        return self._node if zone in self._owners_by_zone else self.remote_owner(zone)

    def remote_owner(self, zone: str) -> str | None:
        """Return the id of the other live node that owns the zone, or ``None`` if none is known.

        If several nodes state that they own it, the highest epoch wins.
        """
        newest: tuple[int, str] | None = None
        for node in self._other_live_nodes():
            status = self._decoded_attachment(node).statuses_by_zone.get(zone)
            if status is not None:
                newest = max(newest or (0, ""), (status.epoch, node))
        return newest[1] if newest else None

    def summaries_by_zone(self) -> dict[str, ZoneSummary]:
        """Return the newest known summary, with its age, of every zone with a live owner."""
        newest: dict[str, tuple[int, ZoneSummary]] = {}
        for zone, owner in self._owners_by_zone.items():
            summary = owner.summary()
            if summary is not None:
                newest[zone] = (owner.epoch, summary)
        for node in self._other_live_nodes():
            age = self._status_age(node)
            for zone, status in self._decoded_attachment(node).statuses_by_zone.items():
                if status.summary is not None and newest.get(zone, (0,))[0] < status.epoch:
                    newest[zone] = (status.epoch, attrs.evolve(status.summary, age=age))
        return {zone: summary for zone, (_, summary) in newest.items()}

    def _status_age(self, node: str) -> float:
        """Return the seconds since a node last showed progress, used as the age of its statuses."""
        age = self._membership.time_since_progress(node)
        return age.total_seconds() if age is not None else float("inf")

    def epochs_by_zone(self) -> dict[str, int]:
        """Return the highest epoch of every zone with a live owner."""
        self._remove_unknown_nodes()
        epochs = {zone: owner.epoch for zone, owner in self._owners_by_zone.items()}
        for node in self._other_live_nodes():
            for zone, status in self._decoded_attachment(node).statuses_by_zone.items():
                epochs[zone] = max(epochs.get(zone, 0), status.epoch)
        return epochs

    def _remove_unknown_nodes(self) -> None:
        """Drop decoded attachments of nodes that are no longer in the membership."""
        for node in self._decoded_by_node.keys() - self._membership.known_nodes().keys():
            del self._decoded_by_node[node]

    def _own_statuses(self) -> dict[str, ZoneStatus]:
        return {zone: owner.status() for zone, owner in self._owners_by_zone.items()}

    def _other_live_nodes(self) -> list[str]:
        """Return the ids of the other live nodes, including leaving ones."""
        known = self._membership.known_nodes()
        return [id for id in known if id != self._node and self._membership.is_alive(id)]

    def _decoded_attachment(self, node: str) -> _DecodedAttachment:
        """Return a node's decoded attachment; decode it only if it has changed."""
        raw = self._membership.attachment(node, ZONES_ATTACHMENT)
        decoded = self._decoded_by_node.get(node)
        if decoded is None or decoded.raw is not raw:
            decoded = _DecodedAttachment(raw, _decode_or_empty(raw))
            self._decoded_by_node[node] = decoded
        return decoded


def _decode_or_empty(raw: Any) -> dict[str, ZoneStatus]:
    """Return the statuses in an attachment, or an empty dict if it cannot be decoded."""
    try:
        return decode_statuses(raw)
    except CodecError:
        return {}
