"""Cell configuration: queues, workspaces and their API keys."""

from datetime import timedelta

import attrs

from mimosapoint.workload.core import AcceptedJob, ResourceAmounts

__all__ = ["URGENT_PRIORITY", "CellConfiguration", "Queue", "CellWorkspace"]

URGENT_PRIORITY = 0
"""Highest priority; its jobs may preempt others, and guarantees apply to them."""


@attrs.frozen
class Queue:
    """Queue that callers submit jobs to, with the limits of its jobs.

    :param name: name of the queue.
    :param host: host name in the requests of callers.
    :param prefix: prefix of the path in the requests of callers.
    :param pool: service whose workers run the tasks.
    :param priority: 0 is the highest; it may preempt work of other priorities.
    :param max_attempts: number of failed runs of a unit at which its job fails.
    :param slack_factor: allowed completion time as a multiple of a job's critical path.
    :param target: completion time allowed in addition.
    :param timeout: timeout of one request.
    :param public: whether callers may submit without a key.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 1
    max_attempts: int = 1
    slack_factor: float = 1.0
    target: timedelta = timedelta(0)
    timeout: timedelta = timedelta(seconds=3)
    public: bool = False


@attrs.frozen
class CellWorkspace:
    """A workspace, its guaranteed capacity and its limits.

    :param name: name of the workspace.
    :param keys: API keys of its callers.
    :param guaranteed_accelerators: accelerators guaranteed to its jobs of priority 0.
    :param cap: most that it may have running on all workers; 0 in a dimension for no limit.
    :param weight: jobs per second that are within its share when capacity is short; 0 if none is
        stated.
    """

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int = 0
    cap: ResourceAmounts = ResourceAmounts()
    weight: float = 0.0

    @property
    def is_capped(self) -> bool:
        """Whether the cap limits at least one dimension."""
        return self.cap != ResourceAmounts()


@attrs.frozen
class CellConfiguration:
    """One version of the cell configuration.

    :param version: number of the version.
    :param queues: the queues.
    :param tenants: the workspaces.
    :param body_bytes: limit of a request's body, in bytes.
    :param header_bytes: limit of a request's head, in bytes.
    :param idle: time after which an idle connection is closed.
    :param capped_workspaces: workspaces with a cap, by name.
    :param weights_by_workspace: weights of the workspaces that state one, by name.
    """

    version: int
    queues: tuple[Queue, ...]
    tenants: tuple[CellWorkspace, ...]
    body_bytes: int = 262_144
    header_bytes: int = 16_384
    idle: timedelta = timedelta(seconds=15)
    queues_by_name: dict[str, Queue] = attrs.field(init=False, repr=False)
    capped_workspaces: dict[str, CellWorkspace] = attrs.field(init=False, repr=False)
    weights_by_workspace: dict[str, float] = attrs.field(init=False, repr=False)
    _workspace_by_key: dict[str, CellWorkspace] = attrs.field(init=False, repr=False)
    _queues_by_host: dict[str, list[Queue]] = attrs.field(init=False, repr=False)

    def __attrs_post_init__(self) -> None:
        by_host: dict[str, list[Queue]] = {}
        for queue in self.queues:
            by_host.setdefault(queue.host, []).append(queue)
        for queues in by_host.values():
            queues.sort(key=lambda queue: len(queue.prefix), reverse=True)
        workspace_by_key = {key: tenant for tenant in self.tenants for key in tenant.keys}
        capped = {tenant.name: tenant for tenant in self.tenants if tenant.is_capped}
        weights = {tenant.name: tenant.weight for tenant in self.tenants if tenant.weight > 0}
        for name, value in (
            ("capped_workspaces", capped),
            ("weights_by_workspace", weights),
            ("queues_by_name", {queue.name: queue for queue in self.queues}),
            ("_workspace_by_key", workspace_by_key),
            ("_queues_by_host", by_host),
        ):
            object.__setattr__(self, name, value)

    def pool_of(self, record: AcceptedJob) -> str:
        """Return the service for a job: that of its queue, or as accepted if the queue is gone."""
        queue = self.queues_by_name.get(record.queue)
        return queue.pool if queue else record.pool

    def priority_of(self, record: AcceptedJob) -> int:
        """Return the priority of a job: that of its queue, or as accepted if the queue is gone."""
        queue = self.queues_by_name.get(record.queue)
        return queue.priority if queue else record.priority

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of the host with the longest matching path prefix, or ``None``."""
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def find_workspace(self, key: str) -> CellWorkspace | None:
        """Return the workspace that a key belongs to, or ``None``."""
        return self._workspace_by_key.get(key)
