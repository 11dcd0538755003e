"""Queues, workspaces and their keys, as one version of the operators' configuration has them."""

from datetime import timedelta

import attrs

from mimosapoint.workload.core import AcceptedJob

__all__ = ["URGENT_PRIORITY", "CellConfiguration", "Queue", "CellWorkspace"]

URGENT_PRIORITY = 0
"""Priority before all others: its jobs may stop others, and guarantees are for them."""


@attrs.frozen
class Queue:
    """Where jobs of one kind wait.

    :param name: name of the queue.
    :param host: host that callers address.
    :param prefix: beginning of the path that callers address.
    :param pool: service whose workers run the tasks.
    :param priority: 0 before all others; it may stop work of other priorities.
    :param max_attempts: failed runs of a unit after which its job has failed.
    :param slack_factor: allowed multiple of a job's longest chain of work.
    :param target: time allowed beyond that.
    :param timeout: time that one request may take.
    :param public: whether callers need no key.
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
    """A workspace.

    :param name: name of the workspace.
    :param keys: keys that its callers show.
    :param guaranteed_accelerators: accelerators that belong to its jobs of priority 0.
    """

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int = 0


@attrs.frozen
class CellConfiguration:
    """One version of the configuration.

    :param version: number of the version.
    :param queues: the queues.
    :param tenants: the workspaces.
    :param body_bytes: largest body of a request.
    :param header_bytes: largest head of a request.
    :param idle: time after which an idle connection is closed.
    """

    version: int
    queues: tuple[Queue, ...]
    tenants: tuple[CellWorkspace, ...]
    body_bytes: int = 262_144
    header_bytes: int = 16_384
    idle: timedelta = timedelta(seconds=15)
    queues_by_name: dict[str, Queue] = attrs.field(init=False, repr=False)
    _tenant_by_key: dict[str, CellWorkspace] = attrs.field(init=False, repr=False)
    _queues_by_host: dict[str, list[Queue]] = attrs.field(init=False, repr=False)

    def __attrs_post_init__(self) -> None:
        by_host: dict[str, list[Queue]] = {}
        for queue in self.queues:
            by_host.setdefault(queue.host, []).append(queue)
        for queues in by_host.values():
            queues.sort(key=lambda queue: len(queue.prefix), reverse=True)
        tenant_by_key = {key: tenant for tenant in self.tenants for key in tenant.keys}
        for name, value in (
            ("queues_by_name", {queue.name: queue for queue in self.queues}),
            ("_tenant_by_key", tenant_by_key),
            ("_queues_by_host", by_host),
        ):
            object.__setattr__(self, name, value)

    def pool_of(self, record: AcceptedJob) -> str:
        """Return the service whose workers run a job now."""
        queue = self.queues_by_name.get(record.queue)
        return queue.pool if queue else record.pool

    def priority_of(self, record: AcceptedJob) -> int:
        """Return a job's priority as it is configured now."""
        queue = self.queues_by_name.get(record.queue)
        return queue.priority if queue else record.priority

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of the path, or ``None``."""
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def find_workspace(self, key: str) -> CellWorkspace | None:
        """Return the workspace that a key belongs to, or ``None``."""
        return self._tenant_by_key.get(key)
