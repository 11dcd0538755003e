"""The job table of one availability zone, in memory and split into buckets."""

import hashlib
from collections.abc import Iterator

import attrs

from mimosapoint.errors import JobNotFound
from mimosapoint.jobs.bucket import Bucket
from mimosapoint.model import JobRecord

__all__ = ["Change", "JobTable"]

DIGEST_BYTES = 4
OUTCOME_BUCKET_BYTES_LIMIT = 950_000
"""Size above which no answer is added to a bucket, in bytes; the rest is for other changes."""


@attrs.frozen
class Change:
    """A change of the table that the store may not have yet.

    :param bucket: bucket of the record.
    :param number: number of the change in that bucket.
    """

    bucket: Bucket
    number: int

    @property
    def durable(self) -> bool:
        """Whether the store has the change."""
        return self.bucket.durable_change_count >= self.number

    async def wait_durable(self) -> None:
        """Wait until the store has the change."""
        await self.bucket.wait_durable(self.number)


class JobTable:
    """Every job record of an availability zone.

    :param zone: id of the availability zone.
    :param bucket_count: number of buckets; fixed for the life of the zone.
    """

    def __init__(self, zone: str, bucket_count: int):
        self.zone = zone
        self.buckets = [Bucket(zone, index) for index in range(bucket_count)]
        self._records_by_id: dict[str, JobRecord] = {}
        self._change_by_id: dict[str, int] = {}

    def bucket_of(self, job_id: str) -> Bucket:
        """Return the bucket that a job belongs to."""
        digest = hashlib.blake2b(job_id.encode(), digest_size=DIGEST_BYTES).digest()
        return self.buckets[int.from_bytes(digest) % len(self.buckets)]

    def can_grow(self, job_id: str, size: int) -> bool:
        """Whether the job's bucket can grow by a number of bytes."""
        return self.bucket_of(job_id).size_bytes + size <= OUTCOME_BUCKET_BYTES_LIMIT

    def load(self, bucket: Bucket, records: list[JobRecord], revision: int) -> None:
        """Take over the records of a bucket that the store has."""
        for job_id in bucket.ids() - {record.id for record in records}:
            self._records_by_id.pop(job_id, None)
        bucket.load(records, revision)
        self._records_by_id.update({record.id: record for record in records})

    @property
    def writes_failing(self) -> bool:
        """Whether a write of some bucket has failed and has not succeeded since."""
        return any(bucket.writes_failing for bucket in self.buckets)

    def find(self, job_id: str) -> JobRecord | None:
        """Return a record, or ``None``."""
        return self._records_by_id.get(job_id)

    def get(self, job_id: str) -> JobRecord:
        """Return a record.

        :raises JobNotFound: the table has no such job.
        """
        record = self._records_by_id.get(job_id)
        if record is None:
            raise JobNotFound(f"no job {job_id}")
        return record

    def put(self, record: JobRecord) -> Change:
        """Set a record."""
        self._records_by_id[record.id] = record
        bucket = self.bucket_of(record.id)
        self._change_by_id[record.id] = bucket.put(record)
        return self.latest_change(record.id)

    def remove(self, job_id: str) -> Change:
        """Drop a record."""
        self._records_by_id.pop(job_id, None)
        self._change_by_id.pop(job_id, None)
        bucket = self.bucket_of(job_id)
        return Change(bucket, bucket.remove(job_id))

    def latest_change(self, job_id: str) -> Change:
        """Return the newest change of the job's record."""
        return Change(self.bucket_of(job_id), self._change_by_id.get(job_id, 0))

    def __iter__(self) -> Iterator[JobRecord]:
        return iter(list(self._records_by_id.values()))

    def __len__(self) -> int:
        return len(self._records_by_id)
