"""Configuration of a node: version in force, freshness and commit of patches."""

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

MAX_POLL_JITTER = 0.5
"""Maximum random extension of the poll interval, as a fraction of it."""
MAX_BACKOFF_DOUBLINGS = 10
"""Number of failed reads after which the maximum retry delay stops doubling."""


class ConfigurationService:
    """Follows the configuration in the store, commits patches and provides the version in force.

    :param node_id: id of the node.
    :param store: the platform's key-value store.
    :param clock: clock of the node.
    :param telemetry: sink for log events and metrics.
    :param settings: freshness bound, polling and retention.
    :param random: source of jitter; by default seeded with the node id.
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
        self._current_configuration = CurrentConfiguration(clock, telemetry)
        self._archive = Archive(store, telemetry, settings.versions_kept)
        self._committer = PatchCommitter(store, clock, settings, self)
        self._commit_lock = trio.Lock()
        self._last_decoded_state = EMPTY_STATE
        self._last_decoded_bytes = b""
        self._consecutive_failures = 0
        self._has_read = False
        self._unsettled_write_at: datetime | None = None
        self._newer_version_known = trio.Event()
        self._last_read_at = clock.now()
        self._poll_interval = settings.poll_after

    @property
    def current(self) -> Configuration:
        """The newest version known to this node; version 0 before the first load."""
        return self._current_configuration.current

    @property
    def state(self) -> ConfigurationState:
        """The newest version with the latest patch results, as exchanged between nodes."""
        return self._current_configuration.state

    @property
    def confirmed_at(self) -> datetime | None:
        """Latest time at which no version newer than ``current`` is known to have existed."""
        return self._current_configuration.confirmed_at

    def is_fresh(self, now: datetime) -> bool:
        """Return whether every version newer than ``current`` is younger than the freshness bound.

        :param now: the time by this node's clock.
        """
        return self._current_configuration.is_fresh(now, self._settings.freshness_bound)

    @property
    def cut_off(self) -> bool:
        """Whether the last read of the store failed and this node has no commit in progress.

        A commit in progress may have written a version that no node has seen, and so may one
        that ended without an outcome and was not read back. The same holds for an earlier
        incarnation of this node, so the value is false until the first successful read.
        """
        may_have_written = self._commit_lock.locked() or self._unsettled_write_at is not None
        return self._has_read and self._consecutive_failures > 0 and not may_have_written

    def on_install(self, callback: Callable[[Configuration], None]) -> None:
        """Register a callback for each version that comes into force on this node."""
        self._current_configuration.on_install(callback)

    async def wait_for(self, version: int, timeout: timedelta) -> bool:
        """Wait until the version or a higher one is in force on this node; return whether it is."""
        return await self._current_configuration.wait_for(version, timeout)

    def install_if_newer(
        self, state: ConfigurationState, confirmed_at: datetime | None = None
    ) -> bool:
        """Install the state of a peer if it is newer.

        :param state: state received from the peer.
        :param confirmed_at: time by this node's clock at which the peer's version was current.
        :returns: whether a higher version came into force.
        """
        installed = self._current_configuration.install(state)
        if confirmed_at is not None:
            self.accept_confirmation(state.configuration.version, confirmed_at)
        return installed

    def accept_confirmation(self, version: int, confirmed_at: datetime) -> None:
        """Record a peer's confirmation that a version was current.

        :param version: the version confirmed by the peer.
        :param confirmed_at: time of the confirmation by this node's clock, or an earlier time.
        """
        if self._current_configuration.note_version(version):
            self._newer_version_known.set()
        if version == self.current.version:
            self._current_configuration.confirm(confirmed_at)

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Load the configuration and follow it; report started after the first successful read."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._archive.run)
            while not await self._read_store():
                await self._wait(self._backoff())
            task_status.started()
            while True:
                await self._wait(self._time_until_poll())
                if self._time_until_poll() <= timedelta() and not await self._read_store():
                    await self._wait(self._backoff())

    async def bootstrap(self, configuration: Configuration) -> bool:
        """Create version 1 in a store that has no configuration yet.

        :returns: whether the stored state is version 1 of the given configuration.
        :raises ConfigurationInvalid: the configuration is invalid.
        """
        async with self._commit_lock:
            return await self._committer.bootstrap(configuration)

    async def apply(self, patch: Patch) -> PatchStatus:
        """Commit a patch, or return the result already recorded under its id.

        :raises ConfigurationStale: the base is not the current version.
        :raises ConfigurationInvalid: the result would be invalid; lists all reasons.
        :raises PatchConflict: the id was used before with another content.
        :raises OutcomeUnknown: a write got no answer and could not be read back in time.
        :raises StoreUnavailable: the store is unavailable; the patch had no effect.
        """
        async with self._commit_lock:
            return await self._committer.apply(patch)

    async def patch_status(self, patch_id: str) -> PatchStatus:
        """Return the result of a patch.

        :raises PatchNotFound: no result of the patch is recorded.
        :raises StoreUnavailable: this node knows no result and the store is unavailable.
        """
        if self.state.find_record(patch_id) is None and not await self._read_store():
            raise StoreUnavailable(
                f"no result of patch {patch_id} is known and the store is unavailable"
            )
        record = self.state.find_record(patch_id)
        if record is None:
            raise PatchNotFound(f"no patch {patch_id} is kept")
        return record.status()

    def history(self) -> tuple[PatchRecord, ...]:
        """Return the latest patch results, oldest first."""
        return self.state.patches

    async def read_version(self, version: int) -> Configuration:
        """Return the current version or an earlier one.

        :raises PatchNotFound: the version is not in the archive.
        """
        if version == self.current.version:
            return self.current
        return await self._archive.read(version)

    async def fetch(self) -> tuple[ConfigurationState, int]:
        """Read the state from the store and install it if it is newer.

        :returns: the stored state and its revision.
        :raises NewerFormat: a newer release wrote the state.
        :raises StoreUnavailable: the store is unavailable, or holds an older version than the one
            in force before the read.
        """
        sent_at = self._clock.now()
        version_in_force = self.current.version
        entry = await self._store.get(CONFIGURATION_KEY)
        revision = ABSENT if entry is None else entry.revision
        stored = self._decode_entry(entry)
        if stored.configuration.version < version_in_force:
            await self._restore_version_in_force(stored, revision)
        self._current_configuration.install(stored)
        self._current_configuration.confirm(sent_at)
        if self._unsettled_write_at is not None and sent_at >= self._unsettled_write_at:
            self._unsettled_write_at = None
        return stored, revision

    def install_committed(self, state: ConfigurationState, sent_at: datetime) -> None:
        """Install a state that this node has committed and archive the previous one."""
        previous = self.state
        if self._current_configuration.install(state) and previous.configuration.version > 0:
            self._archive.enqueue(previous)
        self._current_configuration.confirm(sent_at)

    def record_unsettled_write(self) -> None:
        """Record that a write ended that may have had its effect, or may still have it."""
        self._unsettled_write_at = self._clock.now()

    def _decode_entry(self, entry: Entry | None) -> ConfigurationState:
        """Return the state in a store entry; decode it only if it differs from the last one."""
        if entry is None:
            return EMPTY_STATE
        if entry.value != self._last_decoded_bytes:
            self._last_decoded_state = decode_state(entry.value)
            self._last_decoded_bytes = entry.value
        return self._last_decoded_state

    async def _restore_version_in_force(self, stored: ConfigurationState, revision: int) -> None:
        """Overwrite an older version in the store with the version in force.

        The configuration never reverts to an older version.

        :raises StoreUnavailable: always, since the store held an older version.
        """
        version = self.current.version
        stored_version = stored.configuration.version
        self._telemetry.event("configuration-store-behind", stored=stored_version, current=version)
        await self._store.compare_and_swap(CONFIGURATION_KEY, encode_state(self.state), revision)
        self._telemetry.event("configuration-restored", version=version)
        raise StoreUnavailable(
            f"the store held version {stored_version}; version {version} is in force"
        )

    async def _read_store(self) -> bool:
        """Read the store once; return whether it answered with the newest known version."""
        self._last_read_at = self._clock.now()
        jitter_factor = 1 + MAX_POLL_JITTER * self._random.random()
        self._poll_interval = self._settings.poll_after * jitter_factor
        try:
            await self.fetch()
        except MimosapointError as error:
            self._consecutive_failures += 1
            self._telemetry.event("configuration-read-failed", code=error.code)
            return False
        self._consecutive_failures = 0
        self._has_read = True
        return not self._current_configuration.is_outdated

    def _backoff(self) -> timedelta:
        """Return a random retry delay whose maximum doubles with each failed read."""
        growth_factor = 2 ** min(self._consecutive_failures, MAX_BACKOFF_DOUBLINGS)
        max_delay = min(self._settings.retry_max, self._settings.retry_min * growth_factor)
        return max_delay * self._random.random()

    def _time_until_poll(self) -> timedelta:
        """Return the time until the next read of the store.

        Confirmations from peers postpone it, unless the last read failed.
        """
        if self._current_configuration.is_outdated:
            return timedelta()
        last_checked_at = self._last_read_at
        if self._consecutive_failures == 0 and self.confirmed_at is not None:
            last_checked_at = max(last_checked_at, self.confirmed_at)
        return last_checked_at + self._poll_interval - self._clock.now()

    async def _wait(self, duration: timedelta) -> None:
        """Wait for the duration or until a peer reports a higher version."""
        self._newer_version_known = trio.Event()
        with trio.move_on_after(max(0.0, duration.total_seconds())):
            await self._newer_version_known.wait()
