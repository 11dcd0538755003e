"""Rendezvous hashing of availability zones over nodes."""

from collections import Counter
from collections.abc import Iterable, Mapping
from hashlib import blake2b

from mimosapoint.model import Vm

__all__ = ["preferred_owner", "preferred_owners", "ranked_nodes"]

HASH_BYTES = 8
"""Length of the hash that orders nodes, in bytes."""


def preferred_owner(
    zone: str, nodes: Mapping[str, Vm], regions_by_zone: Mapping[str, str] | None = None
) -> str | None:
    """Return the id of the preferred owner of a zone, or ``None`` when there is no node.

    :param nodes: live nodes by id.
    :param regions_by_zone: region of each availability zone.
    """
    ranked = ranked_nodes(zone, nodes, regions_by_zone)
    return ranked[0] if ranked else None


def preferred_owners(
    zones: Iterable[str],
    nodes: Mapping[str, Vm],
    regions_by_zone: Mapping[str, str] | None = None,
) -> dict[str, str]:
    """Return the preferred owner of every zone, with a limit on the zones of each node.

    A node owns at most the number of zones divided by the number of nodes, rounded up. Zones are
    assigned in alphabetical order, so that every node computes the same result.
    """
    ordered_zones = sorted(zones)
    if not nodes or not ordered_zones:
        return {}
    max_zones_per_node = -(-len(ordered_zones) // len(nodes))
    zones_by_node: Counter[str] = Counter()
    owners_by_zone = {}
    for zone in ordered_zones:
        ranked = ranked_nodes(zone, nodes, regions_by_zone)
        owner = next(node for node in ranked if zones_by_node[node] < max_zones_per_node)
        owners_by_zone[zone] = owner
        zones_by_node[owner] += 1
    return owners_by_zone


def ranked_nodes(
    zone: str, nodes: Mapping[str, Vm], regions_by_zone: Mapping[str, str] | None = None
) -> list[str]:
    """Return the ids of the nodes in order of preference for a zone.

    Nodes in the zone come first, then those in its region, then the others; within each of these
    the hash of zone and id decides.
    """
    regions = regions_by_zone or {}
    region = regions.get(zone)

    def rank(id: str) -> tuple[bool, bool, bytes]:
        node_zone = nodes[id].zone
        same_region = region is not None and regions.get(node_zone) == region
        return node_zone != zone, not same_region, _hash(zone, id)

    return sorted(nodes, key=rank)


def _hash(zone: str, id: str) -> bytes:
    return blake2b(f"{zone}\0{id}".encode(), digest_size=HASH_BYTES).digest()
