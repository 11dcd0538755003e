"""Refusals of jobs that come too late to be of use, which stay true whatever happens later."""

from datetime import datetime, timedelta

import attrs
import trio

from mimosapoint.cell.cancellations import Cancellation
from mimosapoint.cell.decisions.admission import (
    AdmissionDecision,
    AdmissionReason,
    decide_admission,
    find_exemption,
)
from mimosapoint.cell.keys import cancel_key, job_key, refused_key
from mimosapoint.cell.load_summary import LoadSummaryReader
from mimosapoint.cell.operators import OperatorView
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.shared_lease import SharedLease
from mimosapoint.codec import decode, encode
from mimosapoint.errors import (
    AdmissionRefused,
    CodecError,
    LeaseLost,
    StoreTimeout,
    StoreUnavailable,
)
from mimosapoint.ports import Clock, Entry, Telemetry, TransactionConflict, TransactionStore, Write
from mimosapoint.workload import AcceptedJob

__all__ = ["AdmissionGate", "RefusalMark"]

REFUSAL_TIMEOUT = timedelta(milliseconds=300)
"""Time for the write that makes a refusal true; after it the job is admitted. It leaves half of
the 600 ms after which a submission is forwarded."""

MARK_TTL = timedelta(seconds=30)
"""Lease of the marks of refused jobs. A write whose reply is lost takes effect within seconds."""

MARK_LEASE_USE = timedelta(seconds=10)
"""Time for which one lease is used for new marks; each mark stays for 20 s at least."""

MAX_LEASE_TTL = timedelta(minutes=10)
"""Longest lease that the store grants, as documented by the platform."""

CANCEL_ATTEMPTS = 3
"""Attempts to cancel a job that is not stored: the first may find a mark or a lease that has
changed, and the second one that changes in between."""

RETURN_MARGIN = timedelta(milliseconds=500)
"""Least time between a refusal and a request that comes back after it. Callers are told to wait
for a second at least; half of it is left for differences between the clocks of nodes."""

MAX_REMEMBERED_MARKS = 1000
"""Marks whose revisions a node remembers; without one, accepting the job takes one more call."""


@attrs.frozen
class RefusalMark:
    """Content of the mark of a job that was refused, or cancelled before it was stored.

    :param time: time of the refusal or cancellation, on the clock of the node.
    """

    time: datetime


class AdmissionGate:
    """Decides on submissions, and writes a mark for each job that may not be stored any more.

    A job is accepted by a write on condition that its mark is unchanged. A refusal, or the
    cancellation of a job that is not stored, changes the mark, on condition that the job is not
    stored. So a write of an earlier attempt that is still on its way can no longer take effect
    after it. Nodes heed marks also without admission, as cancellations write them.

    :param store: the store.
    :param view: configuration with the guarantees.
    :param clock: clock of the node.
    :param settings: whether admission is enabled, and the age above which a summary is stale.
    :param telemetry: receives an event and a count for each refusal.
    """

    def __init__(
        self,
        store: TransactionStore,
        view: OperatorView,
        clock: Clock,
        settings: CellSettings,
        telemetry: Telemetry,
    ):
        self._store = store
        self._view = view
        self._clock = clock
        self._settings = settings
        self._telemetry = telemetry
        self._reader = LoadSummaryReader(store, clock, settings, telemetry)
        self._revisions_by_job: dict[str, int] = {}
        self._unknown_revisions_by_job: dict[str, int] = {}
        self._refusal_lease = SharedLease(store, clock, MARK_TTL, MARK_LEASE_USE)
        # As long as a cancelled job that was stored in time is kept, as far as the store lets it.
        ttl = min(settings.retention, MAX_LEASE_TTL)
        self._cancellation_lease = SharedLease(store, clock, ttl, MARK_LEASE_USE)

    async def decide(self, record: AcceptedJob) -> AdmissionDecision:
        """Decide on a job by the published load; it is not refused yet.

        :param record: the job as it would be accepted.
        """
        if not self._settings.admission:
            return AdmissionDecision(True, AdmissionReason.DISABLED)
        guaranteed = sum(
            workspace.guaranteed_accelerators
            for workspace in self._view.configuration.tenants
            if workspace.name == record.tenant
        )
        exempt = find_exemption(record, guaranteed)
        if exempt is not None:
            return AdmissionDecision(True, exempt)
        summary = await self._reader.read()
        return decide_admission(
            record,
            summary,
            self._clock.now(),
            self._settings.load_summary_max_age,
            self._reader.newest_epoch,
            guaranteed,
        )

    async def check(self, record: AcceptedJob) -> None:
        """Return if the job is admitted or was accepted before.

        :raises AdmissionRefused: the job is refused and was not accepted by any earlier attempt.
        """
        decision = await self.decide(record)
        if decision.admitted or not await self._mark_refused(record.id):
            return
        load = decision.load
        self._telemetry.event(
            "job-refused",
            job=record.id,
            queue=record.queue,
            workspace=record.tenant,
            priority=record.priority,
            reason=decision.reason.value,
            waiting=load.waiting,
            starts=load.starts,
            seconds=load.seconds,
            oldest=load.oldest_seconds,
            least_wait=load.least_wait,
            critical_path=record.critical_path(),
            useful_time=decision.useful_time,
            retry_after=decision.retry_after,
            epoch=self._reader.newest_epoch,
        )
        self._telemetry.count("cell_jobs_refused", reason=decision.reason.value, queue=record.queue)
        least_wait = load.least_wait.total_seconds()
        raise AdmissionRefused(
            f"{load.waiting} jobs are ahead in {record.queue} and take {least_wait:.1f} s at least;"
            f" the result is of use for {decision.useful_time.total_seconds():.1f} s",
            retry_after=decision.retry_after,
            retry_share=decision.retry_share,
        )

    def first_fence(self, job_id: str, maybe_stored: bool) -> int:
        """Return the revision of the mark from which a request starts.

        :param maybe_stored: whether an earlier write of this request got no reply; then it is the
            revision that this write required, which no refusal since then changes.
        """
        revisions = self._unknown_revisions_by_job if maybe_stored else self._revisions_by_job
        return revisions.get(job_id, 0)

    def conditions(self, job_id: str, fence: int) -> dict[str, int]:
        """Return the conditions, besides that on the job itself, under which it may be stored."""
        return {refused_key(job_id): fence}

    def next_fence(
        self,
        job_id: str,
        fence: int,
        conflict: TransactionConflict,
        outcome_unknown: bool,
        received_at: datetime,
    ) -> int:
        """Return the revision of the mark that kept a job from being stored.

        :param fence: revision that the write required.
        :param outcome_unknown: whether an earlier write of the same request got no reply.
        :param received_at: earliest time at which a node received the request.
        :raises AdmissionRefused: the job was refused since then; the write has no effect now.
        """
        mark = conflict.entries_by_key.get(refused_key(job_id))
        if mark is None:
            return 0
        is_changed = outcome_unknown and mark.revision != fence
        if is_changed or self._is_later(mark, received_at):
            raise AdmissionRefused(
                "refused since this request began", retry_after=timedelta(seconds=1)
            )
        return mark.revision

    def remember_unknown(self, job_id: str, fence: int) -> None:
        """Remember the revision that a write of unknown outcome required."""
        _remember(self._unknown_revisions_by_job, job_id, fence)

    async def cancel_unstored(self, job_id: str, workspace: str) -> bool:
        """Cancel a job that is not stored; return whether that is still so.

        The mark keeps submissions that have begun from taking effect, also at nodes of earlier
        versions. Later submissions, at any node, find the cancellation.

        :param workspace: workspace of the caller; jobs of others are not cancelled.
        :raises StoreUnavailable: the cancellation is not stored.
        :raises StoreTimeout: the cancellation may be stored.
        """
        key, mark = job_key(job_id), refused_key(job_id)
        revision = self._revisions_by_job.get(job_id, 0)
        for _ in range(CANCEL_ATTEMPTS):
            lease = await self._cancellation_lease.get()
            writes = (
                Write(mark, encode(RefusalMark(self._clock.now())), lease),
                Write(cancel_key(job_id), encode(Cancellation(workspace)), lease),
            )
            try:
                await self._store.commit({key: 0, mark: revision}, writes)
            except TransactionConflict as conflict:
                if key in conflict.entries_by_key:
                    return False
                entry = conflict.entries_by_key.get(mark)
                revision = entry.revision if entry else 0
            except LeaseLost:
                self._cancellation_lease.discard()
            else:
                self._telemetry.event("unstored-job-cancelled", job=job_id, workspace=workspace)
                return True
        raise StoreTimeout(f"{mark}: changed by others at each attempt")

    def _is_later(self, mark: Entry, received_at: datetime) -> bool:
        """Return whether a job was refused after a request for it was received.

        A mark by a clock that differs by more than a summary's greatest age is not heeded, as it
        would keep the job out for as long as it lasts.
        """
        try:
            refused_at = decode(mark.value, RefusalMark).time
        except CodecError:
            return False
        if refused_at.tzinfo is None:
            return False
        is_from_wrong_clock = refused_at - self._clock.now() > self._settings.load_summary_max_age
        return not is_from_wrong_clock and refused_at > received_at - RETURN_MARGIN

    async def _mark_refused(self, job_id: str) -> bool:
        """Keep writes of earlier attempts from taking effect; return whether that is certain."""
        key, mark = job_key(job_id), refused_key(job_id)
        with trio.move_on_after(REFUSAL_TIMEOUT.total_seconds()):
            try:
                lease = await self._refusal_lease.get()
                for _ in range(2):
                    revision = self._revisions_by_job.get(job_id, 0)
                    try:
                        content = encode(RefusalMark(self._clock.now()))
                        write = Write(mark, content, lease)
                        revision = await self._store.commit({key: 0, mark: revision}, [write])
                    except TransactionConflict as conflict:
                        if key in conflict.entries_by_key:
                            return False
                        entry = conflict.entries_by_key.get(mark)
                        revision = entry.revision if entry else 0
                        _remember(self._revisions_by_job, job_id, revision)
                    else:
                        _remember(self._revisions_by_job, job_id, revision)
                        return True
            except (LeaseLost, StoreUnavailable, StoreTimeout) as error:
                if isinstance(error, LeaseLost):
                    self._refusal_lease.discard()
                self._telemetry.event("refusal-not-stored", job=job_id, error=error.code)
        return False


def _remember(revisions_by_job: dict[str, int], job_id: str, revision: int) -> None:
    revisions_by_job.pop(job_id, None)
    revisions_by_job[job_id] = revision
    if len(revisions_by_job) > MAX_REMEMBERED_MARKS:
        del revisions_by_job[next(iter(revisions_by_job))]
