"""Gateway for requests of callers, on each node of a cell."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import datetime, timedelta

import trio

from mimosapoint.cell.admission_gate import AdmissionGate
from mimosapoint.cell.cancellations import submission_transaction
from mimosapoint.cell.decisions.units import Job
from mimosapoint.cell.job_canceller import JobCanceller
from mimosapoint.cell.job_lookup import JobLookup
from mimosapoint.cell.keys import BACKLOG_KEY, cancel_key, job_key
from mimosapoint.cell.operators import OperatorView
from mimosapoint.cell.outage_reads import OutageReads
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.stored_job import read_stored_job
from mimosapoint.cell.submission import Submission
from mimosapoint.errors import (
    AdmissionRefused,
    BadRequest,
    CodecError,
    IdempotencyConflict,
    MimosapointError,
    OutcomeUnknown,
    Overloaded,
    RouteNotFound,
    StoreTimeout,
    StoreUnavailable,
    Unauthenticated,
)
from mimosapoint.ports import (
    Clock,
    Entry,
    Telemetry,
    TransactionConflict,
    TransactionStore,
)
from mimosapoint.workload import (
    AcceptedJob,
    CellConfiguration,
    JobProgress,
    Phase,
    Queue,
    check_job,
)

__all__ = ["CellGateway"]

RETRY_AFTER_MIN = timedelta(seconds=1)
"""Minimum retry delay that callers are told; the header counts whole seconds."""

RETRY_AFTER_MAX = timedelta(seconds=4)
"""Maximum retry delay that callers are told; most outages of the store are shorter."""

DEFAULT_TIMEOUT = timedelta(seconds=3)
"""Time of a call whose caller states none; allows for an unanswered call to the store."""

FORWARDING_TIME = timedelta(milliseconds=2100)
"""Longest time for which another node had a request that it forwards: 0.6 s until it forwards and
1.5 s for all attempts at that."""

ATTEMPTS_IN_TIME = 3
"""Attempts that a caller should be able to make in the time for which it waits."""


class CellGateway:
    """Serves requests of callers; accepted jobs and cancellations are durable before the reply.

    :param store: the store.
    :param view: configuration and withdrawn zones.
    :param clock: clock of the node.
    :param settings: retry delay.
    :param telemetry: receives an event for each accepted request.
    :param find_job: returns a job of this node's ownership; ``None`` if there is none.
    """

    def __init__(
        self,
        store: TransactionStore,
        view: OperatorView,
        clock: Clock,
        settings: CellSettings,
        telemetry: Telemetry,
        find_job: Callable[[str], Job | None] = lambda job_id: None,
    ):
        self._store = store
        self._view = view
        self._clock = clock
        self._settings = settings
        self._telemetry = telemetry
        self._lookup = JobLookup(view, telemetry)
        self.admission = AdmissionGate(store, view, clock, settings, telemetry)
        self._canceller = JobCanceller(store, self._lookup, self.admission, telemetry)
        self.outage_reads = OutageReads(view, find_job, clock, settings, telemetry)

    @property
    def view_age(self) -> timedelta | None:
        """Time since the operators' entries were last confirmed; ``None`` before the first."""
        return self._view.age

    def configuration(self) -> CellConfiguration:
        """Return the configuration in force.

        :raises Overloaded: no configuration is fresh; the request had no effect.
        """
        if not self._view.is_fresh():
            age = self._view.age
            raise Overloaded(
                f"the configuration was confirmed {age or 'never'} ago",
                retry_after=self._retry_after(),
            )
        return self._view.configuration

    def find_queue(self, host: str, path: str) -> Queue:
        """Return the queue that serves a request.

        :param host: host that the request names.
        :param path: path of the request.
        :raises RouteNotFound: no queue matches.
        :raises Overloaded: no configuration is fresh.
        """
        queue = self.configuration().find_queue(host, path)
        if queue is None:
            raise RouteNotFound("no such queue")
        return queue

    def authenticate(self, queue: Queue, key: str | None) -> str:
        """Return the workspace of a caller; empty for a public queue.

        :param queue: queue that the caller uses.
        :param key: API key of the caller, if any.
        :raises Unauthenticated: the queue requires a key and this one is missing or unknown.
        """
        return "" if queue.public else self.workspace_of(key)

    def workspace_of(self, key: str | None) -> str:
        """Return the workspace of an API key.

        :raises Unauthenticated: the key is missing or unknown.
        """
        workspace = self.configuration().find_workspace(key) if key else None
        if workspace is None:
            raise Unauthenticated("unknown key")
        return workspace.name

    async def submit(
        self,
        queue: Queue,
        workspace: str,
        submission: Submission,
        timeout: timedelta,
        maybe_stored: bool = False,
        may_refuse: bool = True,
    ) -> None:
        """Accept a job and store it.

        :param queue: queue of the job.
        :param workspace: workspace of the caller.
        :param submission: the job.
        :param timeout: time for which the write may be repeated.
        :param maybe_stored: whether an earlier call for this request left the outcome unknown.
        :param may_refuse: whether the job may be refused for the load of the cell; not if another
            node forwarded the request.
        :raises AdmissionRefused: as below; the load of the cell is the cause.
        :raises BadRequest: no owner can handle the job.
        :raises StoreUnavailable: the job was not accepted and will never run.
        :raises OutcomeUnknown: the job may have been accepted.
        :raises IdempotencyConflict: the id belongs to a job of another workspace or with other
            content.
        """
        record = self.record_of(queue, workspace, submission)
        try:
            check_job(record)
        except CodecError as error:
            raise BadRequest(f"not a job: {error.detail}") from error
        if self._view.is_store_outage and not maybe_stored:
            # A write now would likely leave its outcome unknown; without one, the refusal is true
            # and another node can be tried at once.
            raise StoreUnavailable("the store is unavailable", retry_after=self._retry_after())
        # A forwarded request may be older than a refusal by this node.
        fence = self.admission.first_fence(record.id, maybe_stored) if may_refuse else 0
        started_at = trio.current_time()
        if may_refuse and not maybe_stored:
            with trio.move_on_after(timeout.total_seconds() / 2):
                await self.admission.check(record)
        timeout = max(timedelta(0), timeout - timedelta(seconds=trio.current_time() - started_at))
        received_at = record.accepted_at if may_refuse else record.accepted_at - FORWARDING_TIME
        outcome = await self._store_job(record, timeout, maybe_stored, fence, received_at)
        self._telemetry.event(
            "job-accepted",
            job=record.id,
            queue=queue.name,
            workspace=workspace,
            outcome=outcome,
            version=self._view.configuration.version,
            view_age=self._view.age,
        )

    def record_of(self, queue: Queue, workspace: str, submission: Submission) -> AcceptedJob:
        """Return the record of a job that would be accepted now."""
        return AcceptedJob(
            id=submission.id,
            queue=queue.name,
            tenant=workspace,
            pool=queue.pool,
            spec=submission.spec,
            steps=submission.steps,
            priority=queue.priority,
            max_attempts=queue.max_attempts,
            slack_factor=queue.slack_factor,
            target=queue.target,
            accepted_at=self._clock.now(),
            schedule=submission.schedule,
        )

    async def _store_job(
        self,
        record: AcceptedJob,
        timeout: timedelta,
        outcome_unknown: bool,
        fence: int,
        received_at: datetime,
    ) -> str:
        """Write the job, and repeat the write while its outcome is unknown.

        Repeats are idempotent because the key contains the job id. A job that was cancelled before
        it is stored is stored together with its cancellation, as if it had been cancelled then.
        """
        cancellation: Entry | None = None
        gate = self.admission
        version = self._view.configuration.version
        with trio.move_on_after(timeout.total_seconds()):
            while True:
                try:
                    conditions = gate.conditions(record.id, fence)
                    transaction = submission_transaction(record, conditions, cancellation)
                    return f"stored-{await self._store.commit(*transaction)}"
                except TransactionConflict as conflict:
                    stored = conflict.entries_by_key.get(job_key(record.id))
                    if stored is not None:
                        self._check_idempotent(stored, record)
                        return "known"
                    newest = conflict.entries_by_key.get(cancel_key(record.id))
                    if newest != cancellation:
                        cancellation = newest
                        continue
                    required = fence
                    fence = gate.next_fence(
                        record.id, required, conflict, outcome_unknown, received_at
                    )
                    if fence != required:
                        continue
                except StoreUnavailable as error:
                    if not outcome_unknown:
                        delay = self._retry_after()
                        raise StoreUnavailable(error.detail, retry_after=delay) from error
                except StoreTimeout:
                    outcome_unknown = True
                await trio.sleep(self._settings.retry_delay.total_seconds())
                if not self._view.is_fresh() or self._view.configuration.version != version:
                    # The caller's key or the queue may be gone; the caller must be checked again.
                    break
        gate.remember_unknown(record.id, fence)
        raise OutcomeUnknown("the store did not answer", retry_after=self._retry_after())

    async def phase(
        self,
        workspace: str,
        job_id: str,
        timeout: timedelta = DEFAULT_TIMEOUT,
        queue: Queue | None = None,
    ) -> Phase:
        """Return the phase of a job.

        :param timeout: time within which the store must have answered.
        :param queue: queue that the caller names; ``None`` if it names none.
        :raises JobNotFound: the workspace has no such job.
        :raises StoreUnavailable: the store did not answer; the call had no effect.
        """
        if self._view.is_store_outage:
            # Another node may reach the store, or know the phase.
            raise StoreUnavailable("the store is unavailable", retry_after=self._retry_after())
        with self._telling_retry_delay(timeout, is_read=True):
            record, progress = await read_stored_job(self._store, job_id)
        self._lookup.require(record, workspace, job_id, queue)
        if progress is None:
            return Phase.QUEUED
        phase = self._lookup.decode(progress, JobProgress).shown_phase
        if phase.ended:
            self._telemetry.event("phase-read", job=job_id, phase=phase, revision=progress.revision)
        return phase

    async def cancel(
        self,
        workspace: str,
        job_id: str,
        timeout: timedelta = DEFAULT_TIMEOUT,
        queue: Queue | None = None,
    ) -> None:
        """Cancel a job; has no effect on an ended one.

        A job that is not found is not stored afterwards either, unless as a cancelled one: a
        submission may be on its way, in a node or to the store.

        :param timeout: time within which the store must have answered.
        :param queue: queue that the caller names; ``None`` if it names none.
        :raises JobNotFound: the workspace has no such job; none with this id will run.
        :raises StoreUnavailable: the job was not cancelled.
        :raises StoreTimeout: the job may have been cancelled.
        """
        with self._telling_retry_delay(timeout):
            await self._canceller.cancel(workspace, job_id, queue)

    async def backlog(self, queue: Queue, timeout: timedelta = DEFAULT_TIMEOUT) -> int:
        """Return the number of the queue's jobs without a started task, as last published.

        :param timeout: time within which the store must have answered.
        :raises StoreUnavailable: the store did not answer.
        """
        with self._telling_retry_delay(timeout, is_read=True):
            entry = await self._store.get(BACKLOG_KEY)
        return self._lookup.decode(entry, dict[str, int]).get(queue.name, 0) if entry else 0

    def retry_delay(self, error: MimosapointError, patience: timedelta) -> timedelta | None:
        """Return after which time a caller should try again; ``None`` if it should not.

        A caller that is told to come back when it no longer waits is not served at all, so the
        delay is limited by the time for which it waits.

        :param error: error that the caller gets.
        :param patience: time for which the caller waits in total.
        """
        if error.retry_after is None:
            return None
        limit = patience / ATTEMPTS_IN_TIME
        if isinstance(error, AdmissionRefused):
            limit *= error.retry_share
        return max(RETRY_AFTER_MIN, min(error.retry_after, limit))

    @contextmanager
    def _telling_retry_delay(self, timeout: timedelta, is_read: bool = False) -> Iterator[None]:
        """Limit the time of calls to the store, and add the retry delay to their errors.

        :param timeout: time after which the calls are ended.
        :param is_read: whether the calls only read, so that an unanswered one has no effect.
        """
        try:
            with trio.move_on_after(timeout.total_seconds()) as scope:
                yield
            if scope.cancelled_caught:
                raise StoreTimeout("the store did not answer in time")
        except* (StoreUnavailable, StoreTimeout) as group:
            error = _first_error(group)
        else:
            return
        kind = StoreUnavailable if is_read else type(error)
        raise kind(error.detail, retry_after=self._retry_after()) from error

    def _check_idempotent(self, entry: Entry, record: AcceptedJob) -> None:
        stored = self._lookup.decode(entry, AcceptedJob)
        same = (stored.tenant, stored.spec, stored.steps, stored.schedule)
        if same != (record.tenant, record.spec, record.steps, record.schedule):
            raise IdempotencyConflict("the id belongs to another job")

    def _retry_after(self) -> timedelta:
        """Return the retry delay for callers.

        It grows with the age of the configuration: an outage is likely to last about as long again
        as it has lasted, and callers make a limited number of attempts.
        """
        age = self._view.age or RETRY_AFTER_MIN
        return min(max(age, RETRY_AFTER_MIN), RETRY_AFTER_MAX)


def _first_error(group: BaseExceptionGroup) -> BaseException:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
