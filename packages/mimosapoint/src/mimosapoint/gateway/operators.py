"""What operators may ask of any node."""

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
"""Name of the attachment that carries a node's version."""


class OperatorService:
    """Serves operators; implements :class:`~mimosapoint.ports.OperatorApi`.

    :param configuration: holder of the configuration.
    :param membership: the nodes that are live.
    :param keeper: the zones that are owned.
    """

    def __init__(
        self,
        configuration: ConfigurationService,
        membership: Membership,
        keeper: OwnershipManager,
        clock: Clock,
    ):
        self._configuration = configuration
        self._membership = membership
        self._keeper = keeper
        self._clock = clock
        self.stopping = False
        membership.attach(CONFIGURATION_ATTACHMENT, self._version)
        configuration.on_install(lambda _: membership.refresh_attachments())

    def _version(self) -> int:
        return self._configuration.current.version

    async def configuration(self, version: int | None = None) -> Configuration:
        """Return the configuration in force here, or an earlier version."""
        if version is None:
            return self._configuration.current
        return await self._configuration.read_version(version)

    async def patch(self, patch: Patch) -> PatchStatus:
        """Apply a patch, or return the verdict that its id got before."""
        return self._with_rollout(await self._configuration.apply(patch))

    async def patch_status(self, patch_id: str) -> PatchStatus:
        """Return a patch's verdict and the nodes that have it in force."""
        return self._with_rollout(await self._configuration.patch_status(patch_id))

    def history(self) -> tuple[PatchStatus, ...]:
        """Return the latest verdicts, oldest first."""
        return tuple(record.status() for record in self._configuration.history())

    def _with_rollout(self, status: PatchStatus) -> PatchStatus:
        """Add which live nodes have the patch's version in force."""
        if not status.accepted:
            return status
        in_force, pending = [], []
        for node in sorted(self._membership.live_nodes()):
            known = self._membership.attachment(node, CONFIGURATION_ATTACHMENT) or 0
            (in_force if known >= status.version else pending).append(node)
        return attrs.evolve(status, nodes_in_force=tuple(in_force), nodes_pending=tuple(pending))

    async def status(self) -> dict[str, Any]:
        """Return what this node knows of the nodes, zones and the configuration."""
        current = self._configuration.current
        directory = self._keeper.directory
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
        """Whether the node may serve callers."""
        return self._configuration.current.version > 0 and not self.stopping


def _capacity_fields(summary: ZoneSummary | None) -> dict[str, Any]:
    """Return the room and the queue of a zone; nothing when no summary is known."""
    if summary is None:
        return {}
    return {
        "queued": summary.waiting,
        "free_slots": summary.free_slots,
        "free_accelerators": summary.free_accelerators,
    }
