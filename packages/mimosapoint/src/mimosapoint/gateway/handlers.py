"""Handles messages about jobs in the availability zones that this node owns."""

from collections.abc import Callable

from mimosapoint.errors import NotOwner
from mimosapoint.jobs import (
    Accepted,
    AdoptJob,
    CancelJob,
    GetJob,
    JobReply,
    JobsReply,
    ListJobs,
    SubmitJob,
    WatchJob,
)
from mimosapoint.peers import Dispatcher
from mimosapoint.placement import ZoneOwner
from mimosapoint.ports import Telemetry

__all__ = ["OwnerHandlers"]


class OwnerHandlers:
    """Passes messages to the :class:`ZoneOwner` of the zone that they name.

    :param owner_of: returns the owner of a zone, or ``None`` when this node does not own it.
    """

    def __init__(
        self,
        owner_of: Callable[[str], ZoneOwner | None],
        dispatcher: Dispatcher,
        telemetry: Telemetry,
    ):
        self._owner_of = owner_of
        self._telemetry = telemetry
        dispatcher.handle(SubmitJob, self._submit)
        dispatcher.handle(GetJob, self._get)
        dispatcher.handle(WatchJob, self._watch)
        dispatcher.handle(CancelJob, self._cancel)
        dispatcher.handle(ListJobs, self._list)
        dispatcher.handle(AdoptJob, self._adopt)

    def _require_owner(self, zone: str) -> ZoneOwner:
        owner = self._owner_of(zone)
        if owner is None:
            raise NotOwner(zone)
        return owner

    async def _submit(self, message: SubmitJob) -> JobReply:
        owner = self._require_owner(message.zone)
        with self._telemetry.span("owner-submit", message.trace) as span:
            span.set("job", message.job_id)
            return await owner.submit(message.job_id, message.request, span.context)

    async def _get(self, message: GetJob) -> JobReply:
        return self._require_owner(message.zone).get(message.workspace, message.job_id)

    async def _watch(self, message: WatchJob) -> JobReply:
        owner = self._require_owner(message.zone)
        return owner.watch(message.workspace, message.job_id, message.address)

    async def _cancel(self, message: CancelJob) -> JobReply:
        return await self._require_owner(message.zone).cancel(message.workspace, message.job_id)

    async def _list(self, message: ListJobs) -> JobsReply:
        return JobsReply(self._require_owner(message.zone).jobs(message.workspace))

    async def _adopt(self, message: AdoptJob) -> Accepted:
        await self._require_owner(message.zone).adopt(message.record)
        return Accepted()
