"""Transfer of queued jobs to other availability zones."""

from collections.abc import Callable
from datetime import timedelta

import attrs
import trio

from mimosapoint.errors import MimosapointError
from mimosapoint.jobs import AdoptJob
from mimosapoint.model import JobRecord, JobState, JobView
from mimosapoint.placement.indexed_job_table import IndexedJobTable
from mimosapoint.ports import Clock, Peers, Telemetry

__all__ = ["JobMover"]

SEND_TIMEOUT = timedelta(seconds=3)
RETRY_DELAY = timedelta(milliseconds=300)
MAX_CONCURRENT_SENDS = 16


class JobMover:
    """Moves queued jobs: the state "moved" becomes durable before the destination adopts the job.

    So there are never two live records of a job. An interrupted transfer is repeated, after a
    change of owner by the next one; the destination adopts each move number once.

    :param address_of: returns the peer address of a zone's owner, or ``None``.
    :param on_moved: called with the view of each job that its destination has adopted.
    """

    def __init__(
        self,
        indexed_table: IndexedJobTable,
        peers: Peers,
        *,
        clock: Clock,
        telemetry: Telemetry,
        address_of: Callable[[str], str | None],
        on_moved: Callable[[JobView], None],
    ):
        self._indexed_table = indexed_table
        self._peers = peers
        self._clock = clock
        self._telemetry = telemetry
        self._address_of = address_of
        self._on_moved = on_moved
        self._limiter = trio.CapacityLimiter(MAX_CONCURRENT_SENDS)
        self._pending: dict[str, JobRecord] = {}
        self._ready = trio.Event()
        for record in indexed_table.records():
            if record.state is JobState.MOVED and not record.adopted:
                self._enqueue(record)

    def _enqueue(self, record: JobRecord) -> None:
        self._pending[record.id] = record
        self._ready.set()

    def move(self, job_id: str, zone: str) -> None:
        """Move a queued job to another availability zone.

        Nothing happens if the job is no longer queued or its cancellation was requested.
        """
        record = self._indexed_table.get(job_id)
        if record.state is not JobState.QUEUED or record.cancel_requested:
            return
        moved = attrs.evolve(
            record,
            state=JobState.MOVED,
            moves=record.moves + 1,
            moved_to=zone,
            moved_at=self._clock.now(),
            adopted=False,
        )
        self._indexed_table.put(moved)
        self._telemetry.event("job-moved", job=job_id, zone=zone, moves=moved.moves)
        self._enqueue(moved)

    async def run(self) -> None:
        """Transfer moved jobs until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._ready.wait()
                self._ready = trio.Event()
                pending, self._pending = self._pending, {}
                for record in pending.values():
                    nursery.start_soon(self._transfer, record)

    async def _transfer(self, record: JobRecord) -> None:
        await self._indexed_table.latest_change(record.id).wait_durable()
        while not await self._send(record):
            await self._clock.sleep(RETRY_DELAY)
        current = self._indexed_table.find(record.id)
        if (
            current is not None
            and current.state is JobState.MOVED
            and current.moves == record.moves
        ):
            self._indexed_table.put(attrs.evolve(current, adopted=True))
            self._on_moved(self._indexed_table.view(current))

    async def _send(self, record: JobRecord) -> bool:
        address = self._address_of(record.moved_to)
        if address is None:
            return False
        queued = attrs.evolve(record, state=JobState.QUEUED, moved_to=None, adopted=False)
        try:
            async with self._limiter:
                await self._peers.call(address, AdoptJob(record.moved_to, queued), SEND_TIMEOUT)
        except MimosapointError:
            return False
        return True
