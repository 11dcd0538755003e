"""Buckets: partitions of a zone's job table, each stored under one key."""

from typing import Any

import attrs
import cattrs
import orjson
import trio

from mimosapoint.codec import converter, encode
from mimosapoint.errors import CodecError, NewerFormat
from mimosapoint.model import JobRecord
from mimosapoint.ports import ABSENT

__all__ = ["BUCKET_FORMAT", "Bucket", "BucketHeader", "bucket_key", "decode_bucket", "read_header"]

BUCKET_FORMAT = 1
"""Version of the stored format; a bucket of a higher version is never overwritten."""


@attrs.frozen
class BucketHeader:
    """Header of a stored bucket; it identifies the write.

    :param zone: id of the availability zone.
    :param index: number of the bucket.
    :param epoch: epoch of the owner that wrote it.
    :param writer: id of the node and its incarnation.
    :param sequence: number of the write, counted by the writer in this epoch.
    :param format: version of the stored format.
    """

    zone: str
    index: int
    epoch: int
    writer: str
    sequence: int
    format: int = BUCKET_FORMAT


def bucket_key(zone: str, index: int) -> str:
    """Return the store key of a bucket."""
    return f"zones/{zone}/buckets/{index:03d}"


def _parse(data: bytes) -> dict[str, Any]:
    """Parse a stored bucket and check its format version."""
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise CodecError(f"bucket is not JSON: {error}") from error
    if not isinstance(value, dict):
        raise CodecError("bucket is not an object")
    found = value.get("format", 0)
    if isinstance(found, int) and found > BUCKET_FORMAT:
        raise NewerFormat(found)
    return value


def decode_bucket(data: bytes) -> tuple[BucketHeader, list[JobRecord]]:
    """Decode a stored bucket.

    :raises NewerFormat: the bucket was written by a newer version of the program.
    :raises CodecError: the bytes are not a bucket.
    """
    value = _parse(data)
    try:
        header = converter.structure(value["header"], BucketHeader)
        records = converter.structure(value["jobs"], list[JobRecord])
    except (cattrs.BaseValidationError, KeyError, TypeError, ValueError) as error:
        raise CodecError(f"not a bucket: {'; '.join(cattrs.transform_error(error))}") from error
    return header, records


def read_header(data: bytes) -> BucketHeader | None:
    """Return the header of a stored bucket, or ``None`` for an unreadable reply of the store.

    :raises NewerFormat: the bucket was written by a newer version of the program.
    """
    try:
        header, _ = decode_bucket(data)
    except NewerFormat:
        raise
    except CodecError:
        return None
    return header


class Bucket:
    """Records of one bucket in memory, and which changes to them are durable.

    :param zone: id of the availability zone.
    :param index: number of the bucket.
    """

    def __init__(self, zone: str, index: int):
        self.zone = zone
        self.index = index
        self.revision = ABSENT
        self.sequence = 0
        self.change_count = 0
        self.durable_change_count = 0
        self.writes_failing = False
        self.size_bytes = 0
        self._encoded_by_id: dict[str, bytes] = {}
        self._changed = trio.Event()
        self._durable = trio.Event()

    @property
    def key(self) -> str:
        """Store key of the bucket."""
        return bucket_key(self.zone, self.index)

    def ids(self) -> set[str]:
        """Return the ids of the records."""
        return set(self._encoded_by_id)

    def load(self, records: list[JobRecord], revision: int) -> None:
        """Replace the records by those read from the store.

        :param revision: revision of the bucket in the store.
        """
        self._encoded_by_id = {record.id: encode(record) for record in records}
        self.size_bytes = sum(map(len, self._encoded_by_id.values()))
        self.revision = revision

    def put(self, record: JobRecord) -> int:
        """Insert or replace a record; return the number of the change."""
        data = encode(record)
        self.size_bytes += len(data) - len(self._encoded_by_id.get(record.id, b""))
        self._encoded_by_id[record.id] = data
        return self._mark_changed()

    def remove(self, job_id: str) -> int:
        """Remove a record; return the number of the change."""
        self.size_bytes -= len(self._encoded_by_id.pop(job_id, b""))
        return self._mark_changed()

    def _mark_changed(self) -> int:
        self.change_count += 1
        self._changed.set()
        return self.change_count

    def encode(self, epoch: int, writer: str) -> bytes:
        """Encode the bucket for a write with the next sequence number."""
        self.sequence += 1
        header = BucketHeader(self.zone, self.index, epoch, writer, self.sequence)
        fragments = [orjson.Fragment(data) for data in self._encoded_by_id.values()]
        value = {
            "format": BUCKET_FORMAT,
            "header": converter.unstructure(header),
            "jobs": fragments,
        }
        return orjson.dumps(value)

    async def wait_changed(self) -> None:
        """Wait until there is a change that is not durable."""
        while self.change_count == self.durable_change_count:
            self._changed = trio.Event()
            await self._changed.wait()

    async def wait_change_after(self, changes: int) -> None:
        """Wait until there is a change after the one with a number."""
        while self.change_count <= changes:
            self._changed = trio.Event()
            await self._changed.wait()

    def mark_durable(self, changes: int, revision: int) -> None:
        """Mark all changes up to a number as durable.

        :param changes: number of the last change in the write.
        :param revision: revision of the bucket in the store after the write.
        """
        self.writes_failing = False
        self.durable_change_count = max(self.durable_change_count, changes)
        self.revision = revision
        self._durable.set()
        self._durable = trio.Event()

    async def wait_durable(self, changes: int) -> None:
        """Wait until the change with a number is durable."""
        while self.durable_change_count < changes:
            await self._durable.wait()
