"""Commit of patches by compare-and-swap of one value."""

from datetime import datetime
from typing import Protocol

import attrs

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
from mimosapoint.configuration.validation import validation_errors, warnings
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
REASONS_KEPT = 100
"""Most reasons that are kept with the verdict on a patch."""


class StateAccess(Protocol):
    """Holds the state of a node."""

    async def fetch(self) -> tuple[ConfigurationState, int]:
        """Read the store, take what it holds, and return it with its revision."""
        ...

    def install_committed(self, state: ConfigurationState, sent_at: datetime) -> None:
        """Take a state that this node has written."""
        ...


def _truncated(reasons: tuple[str, ...]) -> tuple[str, ...]:
    if len(reasons) <= REASONS_KEPT:
        return reasons
    return (*reasons[:REASONS_KEPT], f"/: {len(reasons) - REASONS_KEPT} more")


def _recorded_result(record: PatchRecord, patch: Patch) -> PatchStatus:
    """Give the recorded verdict.

    :raises PatchConflict: the record is of another patch with the same id.
    :raises ConfigurationInvalid: the patch was rejected.
    """
    if record.digest != patch_digest(patch):
        raise PatchConflict(f"patch {patch.id} was used before with another content")
    if not record.accepted:
        raise ConfigurationInvalid(reasons=record.reasons)
    return record.status()


class PatchCommitter:
    """Writes new states; one call at a time.

    :param store: the platform's key-value service.
    :param clock: clock of the node.
    :param settings: bounds of the log and of the time to settle.
    :param keeper: holds the state of this node.
    """

    def __init__(
        self, store: Store, clock: Clock, settings: ConfigurationSettings, keeper: StateAccess
    ):
        self._store = store
        self._clock = clock
        self._settings = settings
        self._keeper = keeper

    async def apply(self, patch: Patch) -> PatchStatus:
        """Commit a patch, or give the verdict that its id got before.

        :raises OutcomeUnknown: a write got no answer and the store did not tell in time.
        """
        in_doubt = False
        give_up_at = self._clock.now() + self._settings.settle_timeout
        while not in_doubt or self._clock.now() < give_up_at:
            try:
                record = await self._attempt(patch)
            except StoreTimeout:
                in_doubt = True
                await self._clock.sleep(self._settings.retry_min)
            except (StoreUnavailable, CodecError):
                if not in_doubt:
                    raise
                await self._clock.sleep(self._settings.retry_min)
            else:
                if record is not None:
                    return _recorded_result(record, patch)
        raise OutcomeUnknown(
            f"the store does not tell whether patch {patch.id} took effect",
            retry_after=self._settings.retry_max,
        )

    async def bootstrap(self, configuration: Configuration) -> bool:
        """Create version 1 unless there is a version; return whether this call did."""
        first = attrs.evolve(configuration, version=1)
        reasons = validation_errors(first)
        if reasons:
            raise ConfigurationInvalid(reasons=reasons)
        state = ConfigurationState(FORMAT, 1, first)
        sent_at = self._clock.now()
        try:
            await self._swap(state, ABSENT)
        except (CompareFailed, StoreTimeout):
            stored, _ = await self._load()
            return stored == state
        self._keeper.install_committed(state, sent_at)
        return True

    async def _attempt(self, patch: Patch) -> PatchRecord | None:
        """Try once; return the verdict, or ``None`` when another write came first."""
        state, revision = await self._load()
        record = state.record(patch.id)
        if record is not None:
            return record
        if patch.base != state.configuration.version:
            raise ConfigurationStale(state.configuration.version)
        following = self._next_state(patch, state)
        sent_at = self._clock.now()
        try:
            await self._swap(following, revision)
        except CompareFailed:
            return None
        self._keeper.install_committed(following, sent_at)
        return following.patches[-1]

    def _next_state(self, patch: Patch, state: ConfigurationState) -> ConfigurationState:
        """Return the state that follows the patch, be it accepted or rejected."""
        record = PatchRecord(
            patch.id, patch_digest(patch), patch.base, 0, False, at=self._clock.now()
        )
        configuration = state.configuration
        try:
            configuration = apply_patch(configuration, patch)
        except ConfigurationInvalid as error:
            record = attrs.evolve(record, reasons=_truncated(error.reasons))
        else:
            record = attrs.evolve(
                record,
                accepted=True,
                version=configuration.version,
                warnings=_truncated(warnings(configuration)),
            )
        return state.after(record, configuration, self._settings.patch_log)

    async def _load(self) -> tuple[ConfigurationState, int]:
        """Return the stored state and its revision.

        :raises StoreUnavailable: the store did not answer, or it is behind.
        """
        try:
            return await self._keeper.fetch()
        except (StoreTimeout, CompareFailed) as error:
            raise StoreUnavailable(error.detail, retry_after=self._settings.retry_max) from error

    async def _swap(self, state: ConfigurationState, expected: int) -> None:
        try:
            await self._store.compare_and_swap(CONFIGURATION_KEY, encode_state(state), expected)
        except ValueTooLarge as error:
            reason = "/: the configuration is larger than the store can hold"
            raise ConfigurationInvalid(reasons=(reason,)) from error
