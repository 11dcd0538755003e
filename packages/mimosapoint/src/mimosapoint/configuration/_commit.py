"""Commit of configuration patches by compare-and-swap on one store entry."""

from datetime import datetime
from typing import Protocol

import attrs
import trio

from mimosapoint.configuration.document import Configuration
from mimosapoint.configuration.operations import apply_patch
from mimosapoint.configuration.patch import Patch, PatchStatus
from mimosapoint.configuration.state import (
    FORMAT,
    ConfigurationState,
    PatchRecord,
    encode_state,
    patch_digest,
)
from mimosapoint.configuration.validation import configuration_warnings, validation_errors
from mimosapoint.errors import (
    CodecError,
    CompareFailed,
    ConfigurationInvalid,
    ConfigurationStale,
    OutcomeUnknown,
    PatchConflict,
    StoreTimeout,
    StoreUnavailable,
    ValueTooLarge,
)
from mimosapoint.ports.clock import Clock
from mimosapoint.ports.store import ABSENT, Store
from mimosapoint.settings.sections import ConfigurationSettings

__all__ = ["CONFIGURATION_KEY", "PatchCommitter", "StateAccess"]

CONFIGURATION_KEY = "configuration"
MAX_RECORDED_REASONS = 100
"""Maximum number of reasons recorded with the result of a patch."""


class StateAccess(Protocol):
    """Access to the configuration state of a node."""

    async def fetch(self) -> tuple[ConfigurationState, int]:
        """Read the state from the store, install it, and return it with its revision."""
        ...

    def install_committed(self, state: ConfigurationState, sent_at: datetime) -> None:
        """Install a state that this node has committed."""
        ...

    def record_unsettled_write(self) -> None:
        """Record that a write ended that may have had its effect, or may still have it."""
        ...


def _truncate_reasons(reasons: tuple[str, ...]) -> tuple[str, ...]:
    if len(reasons) <= MAX_RECORDED_REASONS:
        return reasons
    return (*reasons[:MAX_RECORDED_REASONS], f"/: {len(reasons) - MAX_RECORDED_REASONS} more")


def _recorded_result(record: PatchRecord, patch: Patch) -> PatchStatus:
    """Return the recorded result of a patch.

    :raises PatchConflict: the record belongs to a different patch with the same id.
    :raises ConfigurationInvalid: the patch was rejected.
    """
    if record.digest != patch_digest(patch):
        raise PatchConflict(f"patch {patch.id} was used before with another content")
    if not record.accepted:
        raise ConfigurationInvalid(reasons=record.reasons)
    return record.status()


class PatchCommitter:
    """Commits patches and the first version. Calls must not overlap.

    :param store: the platform's key-value store.
    :param clock: clock of the node.
    :param settings: limit on recorded results, retry delays and time to resolve an unknown outcome.
    :param state_access: configuration state of this node.
    """

    def __init__(
        self, store: Store, clock: Clock, settings: ConfigurationSettings, state_access: StateAccess
    ):
        self._store = store
        self._clock = clock
        self._settings = settings
        self._state_access = state_access

    async def apply(self, patch: Patch) -> PatchStatus:
        """Commit a patch, or return the result already recorded under its id.

        After a write without an answer, the state is read back, and the patch is retried if it
        is not recorded.

        :raises OutcomeUnknown: a write got no answer and could not be read back in time.
        """
        outcome_unknown = False
        deadline = self._clock.now() + self._settings.settle_timeout
        while not outcome_unknown or self._clock.now() < deadline:
            try:
                record = await self._attempt(patch)
            except StoreTimeout:
                outcome_unknown = True
                await self._clock.sleep(self._settings.retry_min)
            except (StoreUnavailable, CodecError):
                if not outcome_unknown:
                    raise
                await self._clock.sleep(self._settings.retry_min)
            else:
                if record is not None:
                    return _recorded_result(record, patch)
        raise OutcomeUnknown(
            f"could not read back whether patch {patch.id} took effect",
            retry_after=self._settings.retry_max,
        )

    async def bootstrap(self, configuration: Configuration) -> bool:
        """Create version 1 if the store has no configuration.

        :returns: whether the stored state is version 1 of the given configuration.
        :raises ConfigurationInvalid: the configuration is invalid.
        """
        first_version = attrs.evolve(configuration, version=1)
        reasons = validation_errors(first_version)
        if reasons:
            raise ConfigurationInvalid(reasons=reasons)
        state = ConfigurationState(FORMAT, 1, first_version)
        sent_at = self._clock.now()
        try:
            await self._swap(state, ABSENT)
        except (CompareFailed, StoreTimeout):
            stored, _ = await self._load()
            return stored == state
        self._state_access.install_committed(state, sent_at)
        return True

    async def _attempt(self, patch: Patch) -> PatchRecord | None:
        """Try once to commit a patch.

        :returns: the recorded result, or ``None`` if a concurrent write came first.
        """
        state, revision = await self._load()
        record = state.find_record(patch.id)
        if record is not None:
            return record
        if patch.base != state.configuration.version:
            raise ConfigurationStale(state.configuration.version)
        next_state = self._next_state(patch, state)
        sent_at = self._clock.now()
        try:
            await self._swap(next_state, revision)
        except CompareFailed:
            return None
        self._state_access.install_committed(next_state, sent_at)
        return next_state.patches[-1]

    def _next_state(self, patch: Patch, state: ConfigurationState) -> ConfigurationState:
        """Return the next state, with the patch recorded as accepted or rejected."""
        record = PatchRecord(
            patch.id, patch_digest(patch), patch.base, 0, False, at=self._clock.now()
        )
        configuration = state.configuration
        try:
            configuration = apply_patch(configuration, patch)
        except ConfigurationInvalid as error:
            record = attrs.evolve(record, reasons=_truncate_reasons(error.reasons))
        else:
            record = attrs.evolve(
                record,
                accepted=True,
                version=configuration.version,
                warnings=_truncate_reasons(configuration_warnings(configuration)),
            )
        return state.with_patch_result(record, configuration, self._settings.patch_log)

    async def _load(self) -> tuple[ConfigurationState, int]:
        """Return the stored state and its revision.

        :raises StoreUnavailable: the store did not answer or holds an outdated version.
        """
        try:
            return await self._state_access.fetch()
        except (StoreTimeout, CompareFailed) as error:
            raise StoreUnavailable(error.detail, retry_after=self._settings.retry_max) from error

    async def _swap(self, state: ConfigurationState, expected: int) -> None:
        try:
            await self._store.compare_and_swap(CONFIGURATION_KEY, encode_state(state), expected)
        except (StoreTimeout, trio.Cancelled):
            self._state_access.record_unsettled_write()
            raise
        except ValueTooLarge as error:
            reason = "/: the configuration is larger than the store can hold"
            raise ConfigurationInvalid(reasons=(reason,)) from error
