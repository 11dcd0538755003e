"""Archive of earlier configuration versions, written to the store after each commit."""

import attrs
import trio

from mimosapoint.configuration.document import Configuration
from mimosapoint.configuration.state import ConfigurationState, decode_state, encode_state
from mimosapoint.errors import CompareFailed, MimosapointError, PatchNotFound
from mimosapoint.ports.store import ABSENT, Store
from mimosapoint.ports.telemetry import Telemetry

__all__ = ["Archive", "version_key"]

VERSIONS_PREFIX = "configuration/versions/"
MAX_PENDING_WRITES = 100
"""Maximum number of versions queued for writing."""


def version_key(version: int) -> str:
    """Return the store key of an archived version."""
    return f"{VERSIONS_PREFIX}{version}"


class Archive:
    """Archive of a bounded number of earlier versions.

    Archiving is best effort: a failed write of a version is not retried. A failed deletion of an
    old one is repeated after the next write, until the process ends.

    :param store: the platform's key-value store.
    :param telemetry: sink for log events.
    :param retention: number of earlier versions to keep; 0 disables the archive.
    """

    def __init__(self, store: Store, telemetry: Telemetry, retention: int):
        self._store = store
        self._telemetry = telemetry
        self._retention = retention
        self._sender, self._receiver = trio.open_memory_channel[ConfigurationState](
            MAX_PENDING_WRITES
        )
        self._versions_to_prune: set[int] = set()

    def enqueue(self, state: ConfigurationState) -> None:
        """Queue a version for writing; drop it if :data:`MAX_PENDING_WRITES` are queued."""
        if self._retention == 0:
            return
        try:
            self._sender.send_nowait(attrs.evolve(state, patches=()))
        except trio.WouldBlock:
            version = state.configuration.version
            self._telemetry.event("configuration-not-archived", version=version)

    async def run(self) -> None:
        """Write queued versions one at a time and delete those past the retention."""
        async for state in self._receiver:
            version = state.configuration.version
            try:
                await self._write(state)
            except MimosapointError as error:
                self._telemetry.event(
                    "configuration-not-archived", version=version, code=error.code
                )
            if version > self._retention:
                self._versions_to_prune.add(version - self._retention)
            await self._prune_all()

    async def read(self, version: int) -> Configuration:
        """Return an earlier version.

        :raises PatchNotFound: the version is not in the archive.
        """
        entry = await self._store.get(version_key(version))
        if entry is None:
            raise PatchNotFound(f"version {version} is not kept")
        return decode_state(entry.value).configuration

    async def _write(self, state: ConfigurationState) -> None:
        key = version_key(state.configuration.version)
        try:
            await self._store.compare_and_swap(key, encode_state(state), ABSENT)
        except CompareFailed:
            pass  # the version is already archived

    async def _prune_all(self) -> None:
        """Delete the versions past the retention; keep those that fail for the next time."""
        for version in sorted(self._versions_to_prune):
            try:
                await self._prune(version)
            except MimosapointError as error:
                self._telemetry.event("configuration-not-pruned", version=version, code=error.code)
                return
            self._versions_to_prune.discard(version)

    async def _prune(self, version: int) -> None:
        entry = await self._store.get(version_key(version))
        if entry is not None:
            await self._store.delete(entry.key, entry.revision)
