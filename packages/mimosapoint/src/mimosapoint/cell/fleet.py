"""Workers of a cell, as known from their registrations and from the stored roster."""

from collections.abc import Callable, Collection, Iterator
from datetime import datetime, timedelta

import trio

from mimosapoint.cell.decisions.departures import LeavingWorker
from mimosapoint.cell.decisions.durations import Durations
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.cell.decisions.worker_loss import WorkerLoss
from mimosapoint.cell.departure_proof import DepartureProver
from mimosapoint.cell.dependencies import CellOwnerDependencies
from mimosapoint.cell.election import Ownership
from mimosapoint.cell.freshness import Freshness
from mimosapoint.cell.keys import ROSTER_KEY
from mimosapoint.cell.owned_entry import OwnedEntry
from mimosapoint.cell.recovery.inherited_workers import InheritedWorkers, log_without_report
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.store_availability import StoreAvailability
from mimosapoint.cell.worker_lease import unknown_lease_time
from mimosapoint.cell.worker_session import WorkerSession
from mimosapoint.codec import decode, encode, from_value
from mimosapoint.errors import CodecError, StoreTimeout, StoreUnavailable
from mimosapoint.ports import Telemetry, WorkerRegistration

__all__ = ["Fleet"]

MAX_SLOW_WORKERS_SHARE = 1 / 3
"""Largest share of the usable workers that are excluded for being slow; the faults that the
platform documents slow down a seventh of the workers."""

PASSING_REASONS = ("put-aside", "unhealthy")
"""Reasons for which a worker in contact gets no new work for some seconds."""

MAX_HISTORIES_PER_POLL = 20
"""Most histories of absent workers that are read in a row, so that the loss of many workers does
not take the calls to the store that all nodes may make together."""

GAP = None
"""Item of the roster that names no worker: there may be runs on workers that it does not list."""


class Fleet:
    """Sessions with the workers.

    A worker gets work only once the stored roster lists its incarnation and address, so that the
    next owner knows every worker that may have runs, including one whose own entry has expired.

    ``first_generation`` is the generation of the fencing token with which a new session begins. It
    is above those of all earlier sessions, as their workers may appear again under their ids.

    :param ownership: the ownership.
    :param dependencies: store, decoder of the workers' entries, clock and telemetry.
    :param settings: settings of the cell.
    """

    def __init__(
        self, ownership: Ownership, dependencies: CellOwnerDependencies, settings: CellSettings
    ):
        self.sessions_by_id: dict[str, WorkerSession] = {}
        self.first_generation = 1
        self._store = dependencies.store
        self._decoder = dependencies.worker_decoder
        self._clock = dependencies.clock
        self._settings = settings
        self._telemetry = dependencies.telemetry
        self._freshness = Freshness(self._clock, settings)
        self._roster_entry = OwnedEntry(self._store, ROSTER_KEY, ownership)
        self._departures = DepartureProver(dependencies, settings)
        self._revision_times = dependencies.view.revision_times
        self._roster: tuple[WorkerRegistration, ...] = ()
        self._is_roster_known = True
        self._has_gap = False
        self.inherited = InheritedWorkers()
        self.unlisted_runs_until = self._clock.now()
        self._missing_since: dict[str, datetime] = {}
        self._unreadable_revisions_by_key: dict[str, int] = {}
        self._revisions_by_worker: dict[str, int] = {}
        self._open_session: Callable[[WorkerRegistration], WorkerSession] | None = None

    def is_fresh(self) -> bool:
        """Return whether the workers' entries were read within the freshness bound."""
        return self._freshness.is_fresh()

    def resolve_inherited(self, now: datetime) -> datetime | None:
        """Resolve the workers of earlier owners whose runs are known by now.

        Before the registrations are read, what replies at a stored address may not be the worker.

        :return: time by which the runs on the next one will be known; ``None`` if all are.
        """
        inherited = self.inherited
        if not inherited or self._freshness.age is None:
            return None
        if now >= self.unlisted_runs_until:
            inherited.resolve_unlisted()
        candidates = self.sessions_by_id if inherited.has_unlisted else inherited.capacity_by_id
        for worker_id in list(candidates):
            session = self.sessions_by_id[worker_id]
            if session.runs_known(now):
                self._resolve(session, now)
        times = [self.runs_known_by(worker) for worker in inherited.capacity_by_id]
        if inherited.has_unlisted:
            times.append(self.unlisted_runs_until)
        return min(times, default=None)

    def _resolve(self, session: WorkerSession, now: datetime) -> None:
        """Resolve a worker whose runs are known, if it is one of earlier owners."""
        if session.id not in self.inherited:
            return
        self.inherited.resolve(session.id)
        # The first report has an event of its own, with what it lists.
        if not session.synced:
            log_without_report(session, now, self._telemetry)

    def runs_known_by(self, worker_id: str) -> datetime:
        """Return the time at which the lease of a worker of earlier owners has expired."""
        return self.sessions_by_id[worker_id].lease.expires_at

    def usable_sessions(self, withdrawn_zones: Collection[str]) -> list[WorkerSession]:
        """Return the sessions of the workers that may get new work.

        Workers in withdrawn zones are left out, and slow workers unless too many are slow.
        """
        now = self._clock.now()
        usable = [
            session
            for session in self.sessions_by_id.values()
            if session.is_usable(now) and session.registration.zone not in withdrawn_zones
        ]
        slow = sum(session.worker.slow_detector.is_slow(now) for session in usable)
        # If many workers are slow, the cause is their work or the measurement.
        if not slow or slow > MAX_SLOW_WORKERS_SHARE * len(usable):
            return usable
        return [session for session in usable if not session.worker.slow_detector.is_slow(now)]

    def service_workers(self) -> list[Worker]:
        """Return the workers that make up the services: the usable ones and those put aside."""
        now = self._clock.now()
        return [
            session.worker
            for session in self.sessions_by_id.values()
            if session.unusable_reason(now) in ("", *PASSING_REASONS)
        ]

    def losses(self) -> Iterator[WorkerLoss]:
        """Yield the present or last loss of each worker that has one."""
        for session in self.sessions_by_id.values():
            loss = session.loss_watch.loss or session.loss_watch.last_loss
            if loss is not None:
                yield loss

    def registrations(self) -> Iterator[WorkerRegistration]:
        """Yield the registrations of all workers."""
        return (session.registration for session in self.sessions_by_id.values())

    def leaving_workers(self, durations: Durations) -> Iterator[LeavingWorker]:
        """Yield the draining workers whose end is known, with what their runs need.

        :param durations: expected run times.
        """
        now = self._clock.now()
        for session in self.sessions_by_id.values():
            leaves_in = session.leaves_in
            if leaves_in is not None:
                runs = session.task_runs_by_key.values()
                yield LeavingWorker(leaves_in, {run: durations.remaining(run, now) for run in runs})

    async def read_roster(self, telemetry: Telemetry) -> None:
        """Read the roster that the previous owner stored.

        If a part of it cannot be read, there may be runs on workers that are not known. They count
        as ended when every lease that an earlier owner may have renewed has expired.
        """
        entry = await self._roster_entry.read()
        if entry is None:
            return
        self._roster, errors = _decode_roster(entry.value)
        self._has_gap = bool(errors)
        self.inherited = InheritedWorkers(
            {each.id: each.capacity for each in self._roster}, has_unlisted=bool(errors)
        )
        if errors:
            self.unlisted_runs_until = self._clock.now() + unknown_lease_time(self._settings)
            telemetry.event(
                "roster-unreadable",
                revision=entry.revision,
                error=errors[0],
                errors=len(errors),
                workers=len(self._roster),
                until=self.unlisted_runs_until,
            )
            telemetry.count("cell_unreadable_entries", prefix=ROSTER_KEY)

    async def open_roster_sessions(
        self, open_session: Callable[[WorkerRegistration], WorkerSession]
    ) -> None:
        """Open sessions with the workers of the roster.

        :param open_session: opens a session with a worker.
        """
        self._open_session = open_session
        for registration in self._roster:
            await trio.lowlevel.checkpoint()
            session = open_session(registration)
            session.presence.is_registered = False
            session.on_roster = True
            self.sessions_by_id[registration.id] = session

    async def run(self, telemetry: Telemetry, on_changed: Callable[[], None]) -> None:
        """Poll the workers' entries and update the roster until cancelled.

        :param telemetry: logs and metrics.
        :param on_changed: called after each poll.
        :raises StaleEpoch: another node has claimed the cell.
        """
        availability = StoreAvailability("workers", telemetry)
        while True:
            try:
                await availability.wait_reply(self._store, self._settings)
                await self._read_registrations(telemetry)
                # No other call comes between, so that no start uses a changed registration before
                # the roster has it.
                await self._write_roster(telemetry)
                on_changed()
                availability.record_success()
            except (StoreUnavailable, StoreTimeout) as error:
                availability.record_failure(error)
                self._revision_times.record_failure()
            pause = self._settings.registration_poll
            if not availability.is_available:
                pause = self._settings.retry_delay
            await trio.sleep(pause.total_seconds())

    async def find_departures(self) -> None:
        """Find out which absent workers of earlier owners have left, until all runs are known.

        The registrations are polled meanwhile, as the histories of many workers take long.
        """
        availability = StoreAvailability("departures", self._telemetry)
        while self.inherited:
            try:
                for session in self._unexplained_absences()[:MAX_HISTORIES_PER_POLL]:
                    absence = session.presence.absence
                    has_left = await self._departures.has_left(session.registration)
                    session.presence.record_history(has_left, absence)
                    availability.record_success()
            except (StoreUnavailable, StoreTimeout) as error:
                availability.record_failure(error)
                self._revision_times.record_failure()
            await trio.sleep(self._settings.registration_poll.total_seconds())

    def _unexplained_absences(self) -> list[WorkerSession]:
        """Return the sessions whose worker is absent and unheard, and its history not read."""
        return [
            session
            for worker in self.inherited.capacity_by_id
            if not (session := self.sessions_by_id[worker]).synced
            and session.presence.is_absent
            and not session.presence.is_history_known
        ]

    async def run_session(self, session: WorkerSession) -> None:
        """Run a session until its worker can be removed."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(session.run)
            # Before the first read, no worker of the roster is known to have a registration.
            while self._freshness.age is None or not session.is_removable(self._clock.now()):
                await trio.sleep(self._settings.registration_poll.total_seconds())
            # Removed before the session ends, so that no decision uses a session that ends.
            del self.sessions_by_id[session.id]
            self._resolve(session, self._clock.now())
            self._revisions_by_worker.pop(session.id, None)
            self.first_generation = max(self.first_generation, session.tokens.generation + 1)
            nursery.cancel_scope.cancel()

    async def _read_registrations(self, telemetry: Telemetry) -> None:
        requested_at = self._clock.now()
        scan = await self._store.scan(self._decoder.prefix)
        found: dict[str, WorkerRegistration] = {}
        for entry in scan.entries:
            try:
                registration = self._decoder.decode(entry)
            except CodecError as error:
                self._record_unreadable(entry.key, entry.revision, str(error), telemetry)
                continue
            # A read of a replica that lags must not undo a departure.
            if entry.revision < self._revisions_by_worker.get(registration.id, 0):
                registration = self.sessions_by_id[registration.id].registration
            else:
                self._revisions_by_worker[registration.id] = entry.revision
            found[registration.id] = registration
        self._freshness.confirm(requested_at)
        for registration in found.values():
            self._update_session(registration, telemetry)
        self._mark_missing(found, telemetry)

    def _update_session(self, registration: WorkerRegistration, telemetry: Telemetry) -> None:
        self._missing_since.pop(registration.id, None)
        session = self.sessions_by_id.get(registration.id)
        if session is None:
            session = self._open_session(registration)
            self.sessions_by_id[registration.id] = session
            telemetry.event(
                "worker-found",
                worker=registration.id,
                address=registration.address,
                zone=registration.zone,
                rack=registration.rack,
                pool=registration.pool,
            )
        else:
            session.update_registration(registration)
        session.presence.record_found()

    def _mark_missing(self, found: dict[str, WorkerRegistration], telemetry: Telemetry) -> None:
        now = self._clock.now()
        for worker, session in self.sessions_by_id.items():
            session.presence.is_absent = worker not in found
            if worker in found or not session.presence.is_registered:
                continue
            since = self._missing_since.setdefault(worker, now)
            if now - since >= self._settings.missing_grace:
                session.presence.is_registered = False
                telemetry.event(
                    "worker-missing",
                    worker=worker,
                    missing=round((now - since) / timedelta(seconds=1), 3),
                    assignments=len(session.task_runs_by_key),
                )

    def _record_unreadable(self, key: str, revision: int, error: str, telemetry: Telemetry) -> None:
        """Count and log an unreadable entry, once for each revision."""
        if self._unreadable_revisions_by_key.get(key) != revision:
            self._unreadable_revisions_by_key[key] = revision
            telemetry.event("worker-entry-unreadable", key=key, revision=revision, error=error)
            telemetry.count("cell_unreadable_entries", prefix=self._decoder.prefix)

    async def _write_roster(self, telemetry: Telemetry) -> None:
        """Store the roster and mark its workers, which may then get work.

        :raises StaleEpoch: another node has claimed the cell.
        """
        sessions = [session for session in self.sessions_by_id.values() if not session.is_drained]
        wanted = tuple(session.registration for session in sessions)
        wanted_incarnations = {_incarnation(each) for each in wanted}
        stored_incarnations = {_incarnation(each) for each in self._roster}
        has_gap = self.inherited.has_unlisted
        is_changed = wanted_incarnations != stored_incarnations or has_gap != self._has_gap
        if not self._is_roster_known or is_changed:
            # Without a reply, the write may have its effect until the next one succeeds.
            self._is_roster_known = False
            listed = wanted_incarnations & stored_incarnations
            for session in self.sessions_by_id.values():
                is_listed = _incarnation(session.registration) in listed
                session.on_roster = session.on_roster and is_listed
            # An unreadable item keeps the next owner waiting for the workers that this one awaits.
            items = (*wanted, GAP) if has_gap else wanted
            revision = await self._roster_entry.write(encode(items))
            self._roster, self._has_gap, self._is_roster_known = wanted, has_gap, True
            telemetry.event("roster-stored", workers=len(wanted), revision=revision)
        # A session may have changed while the roster was being stored.
        stored_incarnations = {_incarnation(each) for each in self._roster}
        for session in self.sessions_by_id.values():
            is_listed = _incarnation(session.registration) in stored_incarnations
            session.on_roster = is_listed and not session.is_drained


def _incarnation(registration: WorkerRegistration) -> tuple[str, str, int]:
    """Return what the next owner needs to know a worker's incarnation whose entry has expired."""
    return registration.id, registration.address, registration.born


def _decode_roster(value: bytes) -> tuple[tuple[WorkerRegistration, ...], list[str]]:
    """Return the readable workers of a roster, and the errors of the others."""
    try:
        items = decode(value, list)
    except CodecError as error:
        return (), [error.detail]
    workers, errors = {}, []
    for item in items:
        try:
            worker = from_value(item, WorkerRegistration)
        except CodecError as error:
            errors.append(error.detail)
        else:
            workers[worker.id] = worker
    return tuple(workers.values()), errors
