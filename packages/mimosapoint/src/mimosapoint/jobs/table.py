"""In-memory job table of one availability zone, partitioned into buckets."""

import hashlib
from collections.abc import Iterator

import attrs

from mimosapoint.errors import JobNotFound
from mimosapoint.jobs.bucket import Bucket
from mimosapoint.model import JobRecord

__all__ = ["PLACEMENT_BYTES_PER_TASK", "Change", "JobTable"]

DIGEST_BYTES = 4
OUTCOME_BUCKET_BYTES_LIMIT = 950_000
"""Bucket size up to which outcomes may be added; the space above is left for other changes."""

PLACEMENT_BUCKET_BYTES_LIMIT = 900_000
"""Bucket size up to which placements may be added; the space above is left for the outcomes."""

PLACEMENT_BYTES_PER_TASK = 256
"""Size of a task's worker id, incarnation and checkpoint in a job record, in bytes."""


@attrs.frozen
class Change:
    """A change of the table that may not be durable yet.

    :param bucket: bucket of the record.
    :param number: number of the change in that bucket.
    """

    bucket: Bucket
    number: int

    @property
    def durable(self) -> bool:
        """Whether the change is durable."""
        return self.bucket.durable_change_count >= self.number

    async def wait_durable(self) -> None:
        """Wait until the change is durable."""
        await self.bucket.wait_durable(self.number)


class JobTable:
    """Job records of an availability zone.

    :param zone: id of the availability zone.
    :param bucket_count: number of buckets; fixed when the zone is first claimed.
    """

    def __init__(self, zone: str, bucket_count: int):
        self.zone = zone
        self.buckets = [Bucket(zone, index) for index in range(bucket_count)]
        self._records_by_id: dict[str, JobRecord] = {}
        self._change_by_id: dict[str, int] = {}

    def bucket_of(self, job_id: str) -> Bucket:
        """Return the bucket of a job."""
        digest = hashlib.blake2b(job_id.encode(), digest_size=DIGEST_BYTES).digest()
        return self.buckets[int.from_bytes(digest) % len(self.buckets)]

    def has_space_for_outcome(self, job_id: str, size: int) -> bool:
        """Return whether the job's bucket may grow by ``size`` bytes for an outcome."""
        return self.bucket_of(job_id).size_bytes + size <= OUTCOME_BUCKET_BYTES_LIMIT

    def has_space_for_placement(self, job_id: str, gang: int) -> bool:
        """Return whether the job's bucket may grow by the placement of a gang."""
        size = self.bucket_of(job_id).size_bytes + gang * PLACEMENT_BYTES_PER_TASK
        return size <= PLACEMENT_BUCKET_BYTES_LIMIT

    @property
    def any_bucket_half_full(self) -> bool:
        """Whether a bucket is so large that a placement might not fit."""
        return any(b.size_bytes > PLACEMENT_BUCKET_BYTES_LIMIT / 2 for b in self.buckets)

    def load(self, bucket: Bucket, records: list[JobRecord], revision: int) -> None:
        """Replace the records of a bucket by those read from the store.

        :param revision: revision of the bucket in the store.
        """
        for job_id in bucket.ids() - {record.id for record in records}:
            self._records_by_id.pop(job_id, None)
        bucket.load(records, revision)
        self._records_by_id.update({record.id: record for record in records})

    @property
    def writes_failing(self) -> bool:
        """Whether a write of some bucket has failed and has not succeeded since."""
        return any(bucket.writes_failing for bucket in self.buckets)

    def find(self, job_id: str) -> JobRecord | None:
        """Return the record of a job, or ``None`` if the table has no such job."""
        return self._records_by_id.get(job_id)

    def get(self, job_id: str) -> JobRecord:
        """Return the record of a job.

        :raises JobNotFound: the table has no such job.
        """
        record = self._records_by_id.get(job_id)
        if record is None:
            raise JobNotFound(f"no job {job_id}")
        return record

    def put(self, record: JobRecord) -> Change:
        """Insert or replace a record."""
        self._records_by_id[record.id] = record
        bucket = self.bucket_of(record.id)
        self._change_by_id[record.id] = bucket.put(record)
        return self.latest_change(record.id)

    def remove(self, job_id: str) -> Change:
        """Remove a record."""
        self._records_by_id.pop(job_id, None)
        self._change_by_id.pop(job_id, None)
        bucket = self.bucket_of(job_id)
        return Change(bucket, bucket.remove(job_id))

    def latest_change(self, job_id: str) -> Change:
        """Return the latest change of the job's record."""
        return Change(self.bucket_of(job_id), self._change_by_id.get(job_id, 0))

    def __iter__(self) -> Iterator[JobRecord]:
        return iter(list(self._records_by_id.values()))

    def __len__(self) -> int:
        return len(self._records_by_id)
