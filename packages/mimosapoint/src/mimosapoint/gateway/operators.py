"""Serves requests of operators on any node."""

from typing import Any

import attrs

from mimosapoint.configuration import Configuration, Patch, PatchStatus
from mimosapoint.configuration.service import ConfigurationService
from mimosapoint.membership import Membership
from mimosapoint.ownership import OwnershipManager
from mimosapoint.ports import Clock
from mimosapoint.scheduling import ZoneSummary

__all__ = ["CONFIGURATION_ATTACHMENT", "OperatorService"]

CONFIGURATION_ATTACHMENT = "configuration"
"""Name of the membership attachment with the number of a node's configuration version."""


class OperatorService:
    """Serves operators; implements :class:`~mimosapoint.ports.OperatorApi`.

    :param configuration: configuration service of this node.
    :param membership: membership view of this node.
    :param ownership_manager: zone ownership as known to this node.
    """

    def __init__(
        self,
        configuration: ConfigurationService,
        membership: Membership,
        ownership_manager: OwnershipManager,
        clock: Clock,
    ):
        self._configuration = configuration
        self._membership = membership
        self._ownership_manager = ownership_manager
        self._clock = clock
        self.stopping = False
        membership.attach(CONFIGURATION_ATTACHMENT, self._version)
        configuration.on_install(lambda _: membership.refresh_attachments())

    def _version(self) -> int:
        return self._configuration.current.version

    async def configuration(self, version: int | None = None) -> Configuration:
        """Return the configuration in force on this node, or the given version."""
        if version is None:
            return self._configuration.current
        return await self._configuration.read_version(version)

    async def patch(self, patch: Patch) -> PatchStatus:
        """Apply a patch; if its id is known, return the earlier result."""
        return self._with_rollout(await self._configuration.apply(patch))

    async def patch_status(self, patch_id: str) -> PatchStatus:
        """Return the result of a patch and the nodes on which it is in force."""
        return self._with_rollout(await self._configuration.patch_status(patch_id))

    def patch_history(self) -> tuple[PatchStatus, ...]:
        """Return the latest patch results, oldest first."""
        return tuple(record.status() for record in self._configuration.history())

    def _with_rollout(self, status: PatchStatus) -> PatchStatus:
        """Add the live nodes on which the patch is in force, and those on which it is pending."""
        if not status.accepted:
            return status
        in_force, pending = [], []
        for node in sorted(self._membership.live_nodes()):
            node_version = self._membership.attachment(node, CONFIGURATION_ATTACHMENT) or 0
            (in_force if node_version >= status.version else pending).append(node)
        return attrs.evolve(status, nodes_in_force=tuple(in_force), nodes_pending=tuple(pending))

    async def status(self) -> dict[str, Any]:
        """Return the state of the nodes, zones and configuration as known to this node."""
        current = self._configuration.current
        directory = self._ownership_manager.directory
        epochs, summaries = directory.epochs_by_zone(), directory.summaries_by_zone()
        live = self._membership.live_nodes()
        return {
            "version": current.version,
            "fresh": self._configuration.is_fresh(self._clock.now()),
            "nodes": {
                id: {"zone": vm.zone, "address": vm.address, "live": id in live}
                for id, vm in sorted(self._membership.known_nodes().items())
            },
            "zones": {
                id: {
                    "mode": zone.mode.value,
                    "owner": directory.owner_of(id),
                    "epoch": epochs.get(id, 0),
                    **_capacity_fields(summaries.get(id)),
                }
                for id, zone in sorted(current.zones_by_id.items())
            },
        }

    def ready(self) -> bool:
        """Return whether the node may serve callers: configured and not stopping."""
        return self._configuration.current.version > 0 and not self.stopping


def _capacity_fields(summary: ZoneSummary | None) -> dict[str, Any]:
    """Return the queue length and free capacity of a zone; empty without a summary."""
    if summary is None:
        return {}
    return {
        "queued": summary.waiting,
        "free_slots": summary.free_slots,
        "free_accelerators": summary.free_accelerators,
    }
