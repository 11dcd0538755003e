"""Serves job requests of callers on any node by calling the owner of a zone."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import trio

from mimosapoint.configuration import Configuration
from mimosapoint.errors import JobNotFound, MimosapointError, Overloaded
from mimosapoint.gateway.admission import check_request, find_workspace
from mimosapoint.gateway.router import ZoneRouter
from mimosapoint.gateway.settings import GatewaySettings
from mimosapoint.gateway.waiters import JobWaiters
from mimosapoint.jobs import (
    CancelJob,
    GetJob,
    JobReply,
    ListJobs,
    SubmitJob,
    WatchJob,
    home_zone_of_job,
    make_job_id,
)
from mimosapoint.model import JobRequest, JobView
from mimosapoint.ports import Clock, Telemetry
from mimosapoint.resilience import Deadline

__all__ = ["JobGateway"]

MAX_MOVES_FOLLOWED = 8
MAX_CONCURRENT_RESUBMITS = 32
OVERLOAD_RETRY_AFTER = timedelta(seconds=5)


class JobGateway:
    """Serves callers; implements :class:`~mimosapoint.ports.JobApi`.

    :param address: peer address of this node.
    :param configuration: returns the configuration in force on this node.
    :param router: routes messages to zone owners.
    :param waiters: callers of this node that wait for a job to end.
    """

    def __init__(
        self,
        address: str,
        configuration: Callable[[], Configuration],
        router: ZoneRouter,
        waiters: JobWaiters,
        *,
        clock: Clock,
        telemetry: Telemetry,
        settings: GatewaySettings,
    ):
        self._address = address
        self._configuration = configuration
        self._router = router
        self._waiters = waiters
        self._clock = clock
        self._telemetry = telemetry
        self._settings = settings
        self._non_durable_by_job: dict[str, SubmitJob] = {}

    async def submit(self, request: JobRequest, trace: str | None = None) -> JobView:
        """Accept a job; see :class:`~mimosapoint.ports.JobApi`."""
        configuration = self._configuration()
        check_request(configuration, request)
        if len(self._non_durable_by_job) >= self._settings.max_non_durable_jobs:
            raise Overloaded("the store is out of reach", retry_after=OVERLOAD_RETRY_AFTER)
        region = configuration.workspaces_by_id[request.workspace].region
        zones = configuration.home_zones(region)
        job_id = make_job_id(request.workspace, request.idempotency_key, zones)
        with self._telemetry.span("entry-submit", trace) as span:
            span.set("job", job_id)
            message = SubmitJob(home_zone_of_job(job_id), job_id, request, span.context)
            return await self._submit(message)

    async def _submit(self, message: SubmitJob) -> JobView:
        reply = await self._router.call(message.zone, message, self._deadline())
        if reply.view.durable:
            self._non_durable_by_job.pop(message.job_id, None)
        else:
            self._non_durable_by_job[message.job_id] = message
        if reply.moved_to is None:
            return reply.view
        return await self.job(message.request.workspace, message.job_id)

    async def job(self, workspace: str, job_id: str) -> JobView:
        """Return a job; see :class:`~mimosapoint.ports.JobApi`."""
        find_workspace(self._configuration(), workspace)
        reply = await self._call_record_owner(job_id, lambda zone: GetJob(zone, workspace, job_id))
        return reply.view

    async def wait_for_outcome(self, workspace: str, job_id: str, wait: timedelta) -> JobView:
        """Return the job once it has ended or the wait is over.

        See :class:`~mimosapoint.ports.JobApi`.
        """
        find_workspace(self._configuration(), workspace)
        deadline = Deadline.after(self._clock, wait)
        with self._waiters.waiting(job_id) as waiter:
            while True:
                changed = waiter.changed
                view = await self._watch(workspace, job_id)
                if view.outcome is not None or deadline.expired:
                    return view
                timeout = deadline.remaining_up_to(self._settings.watch_interval)
                with trio.move_on_after(timeout.total_seconds()):
                    await changed.wait()
                if waiter.view is not None and waiter.view.workspace == workspace:
                    return waiter.view

    async def _watch(self, workspace: str, job_id: str) -> JobView:
        reply = await self._call_record_owner(
            job_id, lambda zone: WatchJob(zone, workspace, job_id, self._address)
        )
        return reply.view

    async def cancel(self, workspace: str, job_id: str) -> JobView:
        """Cancel a job; see :class:`~mimosapoint.ports.JobApi`."""
        find_workspace(self._configuration(), workspace)
        deadline = self._deadline()
        while True:
            reply = await self._call_record_owner(
                job_id, lambda zone: CancelJob(zone, workspace, job_id)
            )
            if reply.moved_to is None:
                return reply.view
            if deadline.expired:
                raise Overloaded("the job is being moved", retry_after=OVERLOAD_RETRY_AFTER)
            await self._clock.sleep(timedelta(milliseconds=100))

    async def jobs(self, workspace: str) -> tuple[JobView, ...]:
        """Return the jobs of a workspace; see :class:`~mimosapoint.ports.JobApi`.

        :raises MimosapointError: the first error of a zone; the calls to the others are cancelled.
        """
        configuration = self._configuration()
        region = find_workspace(configuration, workspace).region
        views: list[JobView] = []
        errors: list[MimosapointError] = []

        async def list_zone(zone: str) -> None:
            try:
                reply = await self._router.call(zone, ListJobs(zone, workspace), self._deadline())
            except MimosapointError as error:
                errors.append(error)
                nursery.cancel_scope.cancel()
                return
            views.extend(reply.views)

        async with trio.open_nursery() as nursery:
            for zone in configuration.zones_of(region):
                nursery.start_soon(list_zone, zone)
        if errors:
            raise errors[0]
        return tuple(sorted(views, key=lambda view: (view.submitted_at, view.id)))

    async def _call_record_owner(self, job_id: str, make_message: Callable[[str], Any]) -> JobReply:
        """Call the owner of the job's home zone, and follow moves to other zones.

        The reply still names a move if the job is not found at its target, or after
        :data:`MAX_MOVES_FOLLOWED` calls.
        """
        zone = home_zone_of_job(job_id)
        if zone not in self._configuration().zones_by_id:
            raise JobNotFound(f"no job {job_id}")
        reply: JobReply | None = None
        for _ in range(MAX_MOVES_FOLLOWED):
            try:
                next_reply = await self._router.call(zone, make_message(zone), self._deadline())
            except JobNotFound:
                if reply is None:
                    raise
                return reply
            reply = next_reply
            if reply.moved_to is None:
                return reply
            zone = reply.moved_to
        return reply

    def _deadline(self) -> Deadline:
        return Deadline.after(self._clock, self._settings.request_timeout)

    async def run(self) -> None:
        """Resubmit accepted jobs that are not durable until they are; run until cancelled."""
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_RESUBMITS)
        while True:
            await self._clock.sleep(self._settings.resubmit_interval)
            async with trio.open_nursery() as nursery:
                for message in list(self._non_durable_by_job.values()):
                    nursery.start_soon(self._resubmit, message, limiter)

    async def _resubmit(self, message: SubmitJob, limiter: trio.CapacityLimiter) -> None:
        try:
            async with limiter:
                await self._submit(message)
        except MimosapointError as error:
            self._telemetry.event("resubmit-failed", job=message.job_id, code=error.code)
