"""Versions of the configuration that a run publishes, and what requests they allow."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

import attrs
import trio
from mimosapoint.memory import MemoryTransactionStore
from mimosapoint.workload import CellConfiguration, CellWorkspace, Queue, ResourceAmounts
from mimosapoint_platform.tests.standin import configuration_entry

__all__ = [
    "CAPS",
    "HOST",
    "MAX_ATTEMPTS",
    "POOL",
    "STABLE_KEY",
    "STABLE_QUEUES",
    "WORKSPACE",
    "Configurations",
]

CONFIGURATION_KEY = "op/config"
CAPS = (16, 24, 32)
"""Caps in accelerators: below the 48 of the smallest site, and enough for the largest gang."""

WEIGHT = 2.0
"""Weight where there is a cap, in jobs per second; callers submit four and more."""

MAX_ATTEMPTS = 3
"""Failed runs of a unit at which a job of any queue fails."""

HOST = "h"
POOL = "pool"
WORKSPACE = "t"
"""Workspace whose keys and cap change."""

STABLE_KEY = "key"
STABLE_QUEUES = (
    Queue("urgent", HOST, "/urgent/", POOL, 0, MAX_ATTEMPTS, 1.5, timedelta(seconds=1)),
    Queue("low", HOST, "/low/", POOL, 2, MAX_ATTEMPTS, 3.0, timedelta(seconds=1)),
)


@attrs.frozen
class _Published:
    at: float
    entry_bytes: int
    configuration: CellConfiguration


@attrs.define
class Configurations:
    """Publishes versions and records when each was confirmed.

    :param store: the store.
    :param versions: the versions in order, with the time of their confirmation on the trio clock.
    :param cap: cap of the workspace that changes, in accelerators; 0 for none.
    :param workspaces: further workspaces, which stay as they are.
    :param retired_queues: names of queues that a version removed; they do not return.
    :param retired_keys: API keys that a version revoked; they do not return.
    """

    store: MemoryTransactionStore
    versions: list[_Published] = attrs.field(factory=list)
    cap: int = 0
    workspaces: tuple[CellWorkspace, ...] = ()
    retired_queues: list[str] = attrs.field(factory=list)
    retired_keys: list[str] = attrs.field(factory=list)

    @property
    def latest(self) -> CellConfiguration:
        """The version in force."""
        return self.versions[-1].configuration

    @property
    def keys(self) -> list[str]:
        """API keys in force of the workspace that changes."""
        return sorted(self.latest.tenants[0].keys)

    @property
    def caller_queues(self) -> list[str]:
        """Names of the queues in force that callers use."""
        return [queue.name for queue in self.latest.queues if queue.host == HOST]

    def publish(
        self, queues: Iterable[Queue] = STABLE_QUEUES, keys: Iterable[str] = (STABLE_KEY,)
    ) -> None:
        """Publish a version."""
        queues, keys = tuple(queues), frozenset(keys)
        if self.versions:
            names = {queue.name for queue in queues}
            self.retired_queues += [name for name in self.caller_queues if name not in names]
            self.retired_keys += [key for key in self.keys if key not in keys]
        number = len(self.versions) + 1
        workspace = CellWorkspace(
            WORKSPACE,
            keys,
            cap=ResourceAmounts(accelerators=self.cap),
            weight=WEIGHT if self.cap else 0.0,
        )
        configuration = CellConfiguration(number, queues, (workspace, *self.workspaces))
        entry = configuration_entry(number, configuration)
        self.store.put(CONFIGURATION_KEY, entry)
        # The store transmits values in base64.
        entry_bytes = len(entry) * 4 // 3
        self.versions.append(_Published(trio.current_time(), entry_bytes, configuration))

    def add_queues(self, count: int, host: str = HOST) -> None:
        """Publish a version with further queues.

        :param count: number of queues.
        :param host: host that their callers name.
        """
        number = len(self.versions)
        added = [
            Queue(name, host, f"/{name}/", POOL, 1, MAX_ATTEMPTS, 3.0, timedelta(seconds=1))
            for name in (f"queue-{number}-{each}" for each in range(count))
        ]
        self.publish((*self.latest.queues, *added), self.keys)

    def remove_queue(self, name: str) -> None:
        """Publish a version without a queue."""
        self.publish([q for q in self.latest.queues if q.name != name], self.keys)

    def replace_key(self, revoked: str | None, added: str) -> None:
        """Publish a version that revokes a key, if any, and adds another."""
        self.publish(self.latest.queues, {*self.keys, added} - {revoked})

    def change_cap(self, accelerators: int) -> None:
        """Publish a version with another cap of the workspace."""
        self.cap = accelerators
        self.publish(self.latest.queues, self.keys)

    def in_force(self, since: float, until: float) -> list[CellConfiguration]:
        """Return the versions that were in force at any time between two times."""
        earlier = [each for each in self.versions if each.at <= since][-1:]
        later = [each for each in self.versions if since < each.at <= until]
        return [each.configuration for each in (*earlier, *later)]

    def caps_in_force(self, workspace: str, since: float, until: float) -> list[ResourceAmounts]:
        """Return the caps of a workspace that were in force at any time between two times."""
        return [
            each.cap
            for version in self.in_force(since, until)
            for each in version.tenants
            if each.name == workspace
        ]

    def workspace_of(self, key: str) -> str:
        """Return the name of the workspace that has, or last had, a key."""
        for version in reversed(self.versions):
            if workspace := version.configuration.find_workspace(key):
                return workspace.name
        return ""

    def transfer_seconds(self, bytes_per_second: float) -> float:
        """Return how long a link needs from now on to transmit what was published.

        It transmits every version once, and the largest again to a node that has to start anew.
        """
        seconds = 0.0
        for earlier, later in zip(self.versions, self.versions[1:]):
            seconds = max(0.0, seconds - (later.at - earlier.at))
            seconds += later.entry_bytes / bytes_per_second
        seconds = max(0.0, seconds - (trio.current_time() - self.versions[-1].at))
        return seconds + max(each.entry_bytes for each in self.versions) / bytes_per_second
