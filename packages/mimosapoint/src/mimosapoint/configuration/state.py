"""What the store holds and nodes exchange: a version and the latest verdicts on patches."""

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
"""Number of the stored format; a higher one belongs to a newer program."""
MAGIC = b"mimosapoint-configuration "
"""Start of a stored state."""


@attrs.frozen
class PatchRecord:
    """The verdict on a patch.

    :param id: operator's id of the patch.
    :param digest: digest of its base and operations.
    :param base: version that it applied to.
    :param version: version that it made; 0 when it was rejected.
    :param accepted: whether it became a version.
    :param reasons: why it was rejected.
    :param at: time of the verdict.
    :param warnings: what its version leaves wanting.
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
        """Return the verdict as operators see it."""
        return PatchStatus(
            self.id, self.accepted, self.version, self.reasons, warnings=self.warnings
        )


@attrs.frozen
class ConfigurationState:
    """The configuration with the latest verdicts.

    :param format: number of the stored format.
    :param sequence: number of the write; it rises with rejections, too.
    :param configuration: the newest version.
    :param patches: latest verdicts, oldest first.
    """

    format: int
    sequence: int
    configuration: Configuration
    patches: tuple[PatchRecord, ...] = ()

    @property
    def order(self) -> tuple[int, int]:
        """Rank among states: the higher one is the newer one."""
        return self.configuration.version, self.sequence

    def record(self, patch_id: str) -> PatchRecord | None:
        """Return the verdict on a patch, ``None`` when it is not kept."""
        return next((record for record in self.patches if record.id == patch_id), None)

    def after(
        self, record: PatchRecord, configuration: Configuration, limit: int
    ) -> "ConfigurationState":
        """Return the state that follows a verdict.

        :param limit: most verdicts that are kept.
        """
        patches = (*self.patches, record)[-limit:]
        return ConfigurationState(FORMAT, self.sequence + 1, configuration, patches)


def patch_digest(patch: Patch) -> str:
    """Return the digest of what a patch asks for."""
    content = [patch.base, list(patch.operations)]
    return sha256(orjson.dumps(content, option=orjson.OPT_SORT_KEYS)).hexdigest()[:32]


def encode_state(state: ConfigurationState) -> bytes:
    """Encode a state for the store: a line with the format number, then compressed JSON."""
    return MAGIC + str(state.format).encode() + b"\n" + zlib.compress(encode(state))


def _format_number(head: bytes) -> int:
    """Return the number in the first line.

    :raises CodecError: the line is not that of a state.
    """
    number = head.removeprefix(MAGIC)
    if not head.startswith(MAGIC) or not number.isdigit():
        raise CodecError("not a configuration state: no format number")
    return int(number)


def decode_state(data: bytes) -> ConfigurationState:
    """Decode a stored state.

    :raises NewerFormat: a newer program wrote it.
    :raises CodecError: the bytes are not a state.
    """
    head, _, body = data.partition(b"\n")
    found = _format_number(head)
    if found > FORMAT:
        raise NewerFormat(found)
    try:
        return decode(zlib.decompress(body), ConfigurationState)
    except zlib.error as error:
        raise CodecError(f"not a configuration state: {error}") from error
