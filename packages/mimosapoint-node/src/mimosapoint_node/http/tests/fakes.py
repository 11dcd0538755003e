"""Fakes of the ports of the HTTP interface, and a fixture that serves them."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, contextmanager
from datetime import datetime, timedelta, timezone
from typing import Any

import attrs
import httpcore
import orjson
import trio
from mimosapoint.configuration import Configuration, PatchStatus
from mimosapoint.errors import JobNotFound, PatchNotFound
from mimosapoint.model import JobState, JobView, NotRun

from mimosapoint_node.http import HttpLimits, make_app, serve

NOW = datetime(2026, 1, 2, 3, 4, 5, tzinfo=timezone.utc)
CALL_TIMEOUT_SECONDS = 10
TRACE = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"


class FakeJobs:
    """Jobs in memory; :meth:`wait_for_outcome` waits for the event ``ended``."""

    def __init__(self):
        self.views_by_id = {}
        self.requests = []
        self.traces = []
        self.waits_cancelled = 0
        self.error = None
        self.answer_error = None
        self.call_started = trio.Event()
        self.ended = trio.Event()
        self.submit_allowed = None

    def _check(self):
        if self.error is not None:
            raise self.error

    async def submit(self, request, trace=None):
        self._check()
        self.call_started.set()
        if self.submit_allowed is not None:
            await self.submit_allowed.wait()
        self.requests.append(request)
        self.traces.append(trace)
        job_id = f"mvd-centro~{len(self.requests)}-a"
        view = JobView(
            job_id,
            request.workspace,
            request.service,
            request.job_class,
            JobState.QUEUED,
            "mvd-centro",
            NOW,
        )
        self.views_by_id[job_id] = view
        return view

    async def job(self, workspace, job_id):
        self._check()
        view = self.views_by_id.get(job_id)
        if view is None or view.workspace != workspace:
            raise JobNotFound(f"no job {job_id}")
        return view

    async def wait_for_outcome(self, workspace, job_id, wait):
        if self.answer_error is not None:
            raise self.answer_error
        await self.job(workspace, job_id)
        self.call_started.set()
        try:
            with trio.move_on_after(wait.total_seconds()):
                await self.ended.wait()
        except trio.Cancelled:
            self.waits_cancelled += 1
            raise
        return self.views_by_id[job_id]

    def end(self, job_id, outcome):
        view = self.views_by_id[job_id]
        self.views_by_id[job_id] = attrs.evolve(view, state=JobState.ENDED, outcome=outcome)
        self.ended.set()

    async def cancel(self, workspace, job_id):
        await self.job(workspace, job_id)
        self.end(job_id, NotRun("cancelled"))
        return self.views_by_id[job_id]

    async def jobs(self, workspace):
        self._check()
        return tuple(view for view in self.views_by_id.values() if view.workspace == workspace)


class FakeOperators:
    """Configuration that accepts every patch unless an error or a rejection is set."""

    def __init__(self):
        self.current = Configuration(version=3)
        self.patches = []
        self.statuses_by_id = {}
        self.errors = []
        self.is_ready = True

    async def configuration(self, version=None):
        if version not in (None, self.current.version):
            raise PatchNotFound(f"version {version} is not kept")
        return self.current

    async def patch(self, patch):
        if self.errors:
            raise self.errors.pop(0)
        self.patches.append(patch)
        if patch.id in self.statuses_by_id:
            return self.statuses_by_id[patch.id]
        status = PatchStatus(patch.id, True, patch.base + 1, (), ("node-1",), ())
        self.statuses_by_id[patch.id] = status
        return status

    def reject(self, patch_id, reason):
        self.statuses_by_id[patch_id] = PatchStatus(patch_id, False, 0, (reason,))

    async def patch_status(self, patch_id):
        if patch_id not in self.statuses_by_id:
            raise PatchNotFound(f"no patch {patch_id}")
        return self.statuses_by_id[patch_id]

    def patch_history(self):
        return tuple(self.statuses_by_id.values())

    async def status(self):
        return {"node": "node-1"}

    def ready(self):
        return self.is_ready


class FakeSpan:
    context = TRACE

    def __init__(self):
        self.attributes = {}

    def set(self, key, value):
        self.attributes[key] = value


class FakeTelemetry:
    """Records events, counts, observations and parents of spans."""

    def __init__(self):
        self.events = []
        self.counts = []
        self.observations = []
        self.parents = []

    def event(self, name, **fields):
        self.events.append((name, fields))

    def count(self, name, amount=1, **labels):
        self.counts.append((name, labels))

    def gauge(self, name, value, **labels):
        pass

    def observe(self, name, value, **labels):
        self.observations.append((name, labels))

    @contextmanager
    def span(self, name, parent=None):
        self.parents.append(parent)
        yield FakeSpan()


class FakeClock:
    def now(self):
        return NOW

    async def sleep(self, duration: timedelta):
        await trio.sleep(duration.total_seconds())


class AppFixture:
    """Application over fakes; ``address`` is set while it is served."""

    def __init__(self, limits=None, authentication="none"):
        self.jobs = FakeJobs()
        self.operators = FakeOperators()
        self.telemetry = FakeTelemetry()
        self.limits = limits or HttpLimits()
        self.shutdown = trio.Event()
        self.address = ""
        self.app = make_app(
            self.jobs,
            self.operators,
            self.telemetry,
            self.limits,
            FakeClock(),
            lambda: b"metric 1\n",
            authentication,
        )

    @asynccontextmanager
    async def served(self) -> AsyncIterator["AppFixture"]:
        async with trio.open_nursery() as nursery:
            self.address = await nursery.start(
                serve, self.app, "127.0.0.1:0", self.limits, self.shutdown, self.telemetry
            )
            yield self
            self.shutdown.set()

    async def call(self, method, target, body=b"", headers=(), http2=False):
        """Send a request over a new connection; return status, headers by name and body."""
        url = f"http://{self.address}{target}"
        with trio.fail_after(CALL_TIMEOUT_SECONDS):
            async with httpcore.AsyncConnectionPool(http1=not http2, http2=http2) as pool:
                reply = await pool.request(method, url, content=body, headers=list(headers))
        headers_by_name = {name.decode().lower(): value.decode() for name, value in reply.headers}
        return reply.status, headers_by_name, reply.content


def job_body(**fields: Any) -> bytes:
    return orjson.dumps({"workspace": "w", "service": "s", **fields})


def key(text="k1"):
    return [("Idempotency-Key", text)]
