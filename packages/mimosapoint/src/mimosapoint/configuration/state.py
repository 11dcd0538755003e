"""Configuration state in the store and in gossip: newest version and latest patch results."""

import zlib
from datetime import datetime
from hashlib import sha256

import attrs
import orjson

from mimosapoint.codec import decode, encode
from mimosapoint.configuration.document import Configuration
from mimosapoint.configuration.patch import Patch, PatchStatus
from mimosapoint.errors import CodecError, NewerFormat

__all__ = [
    "ConfigurationState",
    "FORMAT",
    "PatchRecord",
    "decode_state",
    "patch_digest",
    "encode_state",
]

FORMAT = 1
"""Version of the storage format; a higher one was written by a newer release."""
MAGIC = b"mimosapoint-configuration "
"""Prefix of an encoded state."""


@attrs.frozen
class PatchRecord:
    """Recorded result of a patch.

    :param id: id chosen by the operator.
    :param digest: digest of its base and operations.
    :param base: version that it applied to.
    :param version: resulting version; 0 if the patch was rejected.
    :param accepted: whether the patch was committed as a version.
    :param reasons: reasons for a rejection.
    :param at: time of the decision.
    :param warnings: warnings about the resulting version.
    """

    id: str
    digest: str
    base: int
    version: int
    accepted: bool
    reasons: tuple[str, ...] = ()
    at: datetime | None = None
    warnings: tuple[str, ...] = ()

    def status(self) -> PatchStatus:
        """Return the result in the form shown to operators, without the progress over nodes."""
        return PatchStatus(
            self.id, self.accepted, self.version, self.reasons, warnings=self.warnings
        )


@attrs.frozen
class ConfigurationState:
    """The configuration with the latest patch results.

    :param format: version of the storage format.
    :param sequence: number of the write; it also increases when a patch is rejected.
    :param configuration: the newest version.
    :param patches: latest patch results, oldest first.
    """

    format: int
    sequence: int
    configuration: Configuration
    patches: tuple[PatchRecord, ...] = ()

    @property
    def order(self) -> tuple[int, int]:
        """Sort key of states; a newer state has a higher key."""
        return self.configuration.version, self.sequence

    def find_record(self, patch_id: str) -> PatchRecord | None:
        """Return the recorded result of a patch, or ``None`` if there is none."""
        return next((record for record in self.patches if record.id == patch_id), None)

    def with_patch_result(
        self, record: PatchRecord, configuration: Configuration, limit: int
    ) -> "ConfigurationState":
        """Return the next state, with the result of a patch appended.

        :param record: result of the patch.
        :param configuration: configuration after the patch.
        :param limit: maximum number of patch results to keep.
        """
        patches = (*self.patches, record)[-limit:]
        return ConfigurationState(FORMAT, self.sequence + 1, configuration, patches)


def patch_digest(patch: Patch) -> str:
    """Return the digest of the base and operations of a patch."""
    content = [patch.base, list(patch.operations)]
    return sha256(orjson.dumps(content, option=orjson.OPT_SORT_KEYS)).hexdigest()[:32]


def encode_state(state: ConfigurationState) -> bytes:
    """Encode a state as a header line with the format number and zlib-compressed JSON."""
    return MAGIC + str(state.format).encode() + b"\n" + zlib.compress(encode(state))


def _parse_format(header: bytes) -> int:
    """Return the format number in the header line.

    :raises CodecError: the line is not the header of a state.
    """
    digits = header.removeprefix(MAGIC)
    if not header.startswith(MAGIC) or not digits.isdigit():
        raise CodecError("not a configuration state: no format number")
    return int(digits)


def decode_state(data: bytes) -> ConfigurationState:
    """Decode a state.

    :raises NewerFormat: a newer release wrote the data.
    :raises CodecError: the data is not a valid state.
    """
    header, _, body = data.partition(b"\n")
    format_number = _parse_format(header)
    if format_number > FORMAT:
        raise NewerFormat(format_number)
    try:
        return decode(zlib.decompress(body), ConfigurationState)
    except zlib.error as error:
        raise CodecError(f"not a configuration state: {error}") from error
