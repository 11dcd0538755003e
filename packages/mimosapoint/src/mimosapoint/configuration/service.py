"""A node's configuration: the version in force, how fresh it is, and how it changes."""

from collections.abc import Callable
from datetime import datetime, timedelta
from random import Random

import trio

from mimosapoint.configuration._archive import Archive
from mimosapoint.configuration._commit import CONFIGURATION_KEY, PatchCommitter
from mimosapoint.configuration._current import EMPTY_STATE, CurrentConfiguration
from mimosapoint.configuration.document import Configuration
from mimosapoint.configuration.patch import Patch, PatchStatus
from mimosapoint.configuration.state import (
    ConfigurationState,
    PatchRecord,
    decode_state,
    encode_state,
)
from mimosapoint.errors import (
    MimosapointError,
    PatchNotFound,
    StoreUnavailable,
)
from mimosapoint.ports.clock import Clock
from mimosapoint.ports.store import ABSENT, Entry, Store
from mimosapoint.ports.telemetry import Telemetry
from mimosapoint.settings.sections import ConfigurationSettings

__all__ = ["ConfigurationService"]

POLL_JITTER = 0.5
"""Largest share by which a poll comes later than its due time."""
BACKOFF_DOUBLINGS = 10
"""Number of failed reads after which the bound of the pause stops growing."""


class ConfigurationService:
    """Follows, commits and hands out the configuration.

    :param node_id: id of the node.
    :param store: the platform's key-value service.
    :param clock: clock of the node.
    :param telemetry: where events go.
    :param settings: freshness bound, polling and retention.
    :param random: source of jitter.
    """

    def __init__(
        self,
        node_id: str,
        store: Store,
        clock: Clock,
        telemetry: Telemetry,
        settings: ConfigurationSettings,
        random: Random | None = None,
    ):
        self.node_id = node_id
        self._store = store
        self._clock = clock
        self._telemetry = telemetry
        self._settings = settings
        self._random = random or Random(node_id)
        self._holder = CurrentConfiguration(clock, telemetry)
        self._archive = Archive(store, telemetry, settings.versions_kept)
        self._committer = PatchCommitter(store, clock, settings, self)
        self._applying = trio.Lock()
        self._last_decoded = EMPTY_STATE
        self._seen_bytes = b""
        self._failures = 0
        self._has_read = False
        self._wake = trio.Event()
        self._checked_at = clock.now()
        self._poll_age = settings.poll_after

    @property
    def current(self) -> Configuration:
        """The newest version that this node knows; version 0 before the first load."""
        return self._holder.current

    @property
    def state(self) -> ConfigurationState:
        """The newest version with the latest verdicts; what peers exchange."""
        return self._holder.state

    @property
    def confirmed_at(self) -> datetime | None:
        """Latest time at which no version newer than ``current`` is known to have existed."""
        return self._holder.confirmed_at

    def is_fresh(self, now: datetime) -> bool:
        """Tell whether every version newer than ``current`` is younger than the bound.

        :param now: the time by this node's clock.
        """
        return self._holder.is_fresh(now, self._settings.freshness_bound)

    @property
    def cut_off(self) -> bool:
        """Whether the store is out of reach, and no write of this node can be in it unseen.

        A node that has never read the store cannot know what its earlier run has written.
        """
        return self._has_read and self._failures > 0 and not self._applying.locked()

    def on_install(self, callback: Callable[[Configuration], None]) -> None:
        """Call back with every version that comes into force here."""
        self._holder.on_install(callback)

    async def wait_for(self, version: int, timeout: timedelta) -> bool:
        """Wait until the version or a higher one is in force here; return whether it is."""
        return await self._holder.wait_for(version, timeout)

    def install_if_newer(
        self, state: ConfigurationState, confirmed_at: datetime | None = None
    ) -> bool:
        """Install a peer's state if it is newer.

        :param confirmed_at: time by this node's clock at which the peer's version was current.
        :returns: whether a higher version came into force.
        """
        installed = self._holder.install(state)
        if confirmed_at is not None:
            self.accept_confirmation(state.configuration.version, confirmed_at)
        return installed

    def accept_confirmation(self, version: int, confirmed_at: datetime) -> None:
        """Take a peer's knowledge that a version was the current one.

        :param confirmed_at: time by this node's clock, no later than the real one.
        """
        if self._holder.note_version(version):
            self._wake.set()
        if version == self.current.version:
            self._holder.confirm(confirmed_at)

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Load the configuration, then follow it; started once the store has answered."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._archive.run)
            while not await self._read():
                await self._pause(self._backoff())
            task_status.started()
            while True:
                await self._pause(self._until_poll())
                if self._until_poll() <= timedelta() and not await self._read():
                    await self._pause(self._backoff())

    async def bootstrap(self, configuration: Configuration) -> bool:
        """Create version 1 in a store that has no configuration yet.

        :returns: whether this call created it.
        :raises ConfigurationInvalid: the configuration has problems.
        """
        async with self._applying:
            return await self._committer.bootstrap(configuration)

    async def apply(self, patch: Patch) -> PatchStatus:
        """Commit a patch, or return the verdict that its id got before.

        :raises ConfigurationStale: the base is not the current version.
        :raises ConfigurationInvalid: the result would be invalid; every reason is listed.
        :raises PatchConflict: the id was used before with another content.
        :raises OutcomeUnknown: the store does not tell whether the write took effect.
        :raises StoreUnavailable: the store is out; the patch had no effect.
        """
        async with self._applying:
            return await self._committer.apply(patch)

    async def patch_status(self, patch_id: str) -> PatchStatus:
        """Return what became of a patch.

        :raises PatchNotFound: no such patch is kept.
        :raises StoreUnavailable: it is not known here and the store is out.
        """
        if self.state.record(patch_id) is None and not await self._read():
            raise StoreUnavailable(f"patch {patch_id} is not known here and the store is out")
        record = self.state.record(patch_id)
        if record is None:
            raise PatchNotFound(f"no patch {patch_id} is kept")
        return record.status()

    def history(self) -> tuple[PatchRecord, ...]:
        """Return the latest verdicts, oldest first."""
        return self.state.patches

    async def read_version(self, version: int) -> Configuration:
        """Return the current version or an earlier one.

        :raises PatchNotFound: that version is not kept.
        """
        if version == self.current.version:
            return self.current
        return await self._archive.read(version)

    async def fetch(self) -> tuple[ConfigurationState, int]:
        """Read the store and take what it holds.

        :returns: the stored state and its revision.
        :raises NewerFormat: a newer program wrote it.
        :raises StoreUnavailable: the store has lost or hides a version that was in force.
        """
        sent_at = self._clock.now()
        in_force = self.current.version
        entry = await self._store.get(CONFIGURATION_KEY)
        revision = ABSENT if entry is None else entry.revision
        stored = self._decoded(entry)
        if stored.configuration.version < in_force:
            await self._restore(stored, revision)
        self._holder.install(stored)
        self._holder.confirm(sent_at)
        return stored, revision

    def install_committed(self, state: ConfigurationState, sent_at: datetime) -> None:
        """Take a state that this node has written."""
        previous = self.state
        if self._holder.install(state) and previous.configuration.version > 0:
            self._archive.enqueue(previous)
        self._holder.confirm(sent_at)

    def _decoded(self, entry: Entry | None) -> ConfigurationState:
        """Return the stored state; the bytes that were seen last are not decoded again."""
        if entry is None:
            return EMPTY_STATE
        if entry.value != self._seen_bytes:
            self._last_decoded = decode_state(entry.value)
            self._seen_bytes = entry.value
        return self._last_decoded

    async def _restore(self, stored: ConfigurationState, revision: int) -> None:
        """Write the version in force over an older one, so that it never reverts.

        :raises StoreUnavailable: always, since the store is behind.
        """
        version = self.current.version
        behind = stored.configuration.version
        self._telemetry.event("configuration-store-behind", stored=behind, current=version)
        await self._store.compare_and_swap(CONFIGURATION_KEY, encode_state(self.state), revision)
        self._telemetry.event("configuration-restored", version=version)
        raise StoreUnavailable(f"the store held version {behind}; version {version} is in force")

    async def _read(self) -> bool:
        """Read the store once; return whether it answered with the newest version."""
        self._checked_at = self._clock.now()
        share = 1 + POLL_JITTER * self._random.random()
        self._poll_age = self._settings.poll_after * share
        try:
            await self.fetch()
        except MimosapointError as error:
            self._failures += 1
            self._telemetry.event("configuration-read-failed", code=error.code)
            return False
        self._failures = 0
        self._has_read = True
        return not self._holder.outdated

    def _backoff(self) -> timedelta:
        """Return a random pause whose bound doubles with each failed read."""
        growth = 2 ** min(self._failures, BACKOFF_DOUBLINGS)
        bound = min(self._settings.retry_max, self._settings.retry_min * growth)
        return bound * self._random.random()

    def _until_poll(self) -> timedelta:
        """Return the time left until this node reads the store itself."""
        if self._holder.outdated:
            return timedelta()
        latest = self._checked_at
        if self._failures == 0 and self.confirmed_at is not None:
            latest = max(latest, self.confirmed_at)
        return latest + self._poll_age - self._clock.now()

    async def _pause(self, duration: timedelta) -> None:
        """Wait for the duration, or until a peer knows a higher version."""
        self._wake = trio.Event()
        with trio.move_on_after(max(0.0, duration.total_seconds())):
            await self._wake.wait()
