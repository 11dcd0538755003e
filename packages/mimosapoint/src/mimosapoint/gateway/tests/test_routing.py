"""Tests of admission and of the router's results while ownership changes."""

import random
from datetime import datetime, timedelta, timezone

import attrs
import trio

from mimosapoint.configuration import Capacity, Configuration, Service, Workspace, Zone
from mimosapoint.errors import (
    BadRequest,
    JobNotFound,
    NeverFits,
    NotOwner,
    OutcomeUnknown,
    Overloaded,
    PeerUnreachable,
    UnknownService,
    UnknownWorkspace,
)
from mimosapoint.gateway.admission import check_request
from mimosapoint.gateway.core import JobGateway
from mimosapoint.gateway.router import MAX_RETRY_TOKENS, RETRY_RATIO, ZoneRouter
from mimosapoint.gateway.settings import GatewaySettings
from mimosapoint.gateway.waiters import JobWaiters
from mimosapoint.jobs import GetJob
from mimosapoint.memory import TrioClock
from mimosapoint.model import JobClass, JobRequest, Resources
from mimosapoint.peers import Dispatcher
from mimosapoint.resilience import Deadline
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase

START = datetime(2026, 12, 3, tzinfo=timezone.utc)
MESSAGE = GetJob("a", "w", "a~1")


class AdmissionTest(TrioTestCase):
    """Admission refuses a request that can never be served."""

    def test_admits_or_refuses_requests(self):
        zone = Zone("r", Capacity(1, 2, Resources(8, 8, 8, 8)))
        services = {"s": Service(), "narrow": Service(("a",), (JobClass.NORMAL,))}
        workspace = Workspace("r", services_by_id=services)
        configuration = Configuration(1, {"a": zone, "b": zone}, {"w": workspace})
        valid = JobRequest("w", "s", "k", shape=Resources(1, 1, 1, 1))
        cases = (
            ({}, None),
            ({"workspace": "x"}, UnknownWorkspace),
            ({"service": "x"}, UnknownService),
            ({"zones": ("a",)}, None),
            ({"zones": ("x",)}, BadRequest),
            ({"service": "narrow", "zones": ("b",)}, BadRequest),
            ({"service": "narrow", "job_class": JobClass.URGENT}, BadRequest),
            ({"gang": 16}, None),
            ({"gang": 17}, NeverFits),
            ({"shape": Resources(1, 9, 1, 1)}, NeverFits),
        )
        for change, error in cases:
            with self.subTest(change=change):
                request = attrs.evolve(valid, **change)
                if error is None:
                    check_request(configuration, request)
                else:
                    self.assertRaises(error, check_request, configuration, request)
        self.assertRaises(Overloaded, check_request, Configuration(), valid)


class ScriptedPeers:
    """Raises or returns the items of a script, one for each call; repeats the last one."""

    def __init__(self, script):
        self.script = list(script)
        self.calls = 0

    async def call(self, address, message, timeout):
        await trio.lowlevel.checkpoint()
        self.calls += 1
        item = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if isinstance(item, Exception):
            raise item
        return item


class RouterTest(TrioTestCase):
    """A request is reported as refused only if it had no effect."""

    mock_clock = True

    async def test_call_result_for_sequences_of_replies(self):
        unreachable, not_owner = PeerUnreachable("unreachable"), NotOwner("a")
        cases = (
            (("reply",), "reply"),
            ((not_owner, not_owner, "reply"), "reply"),
            ((unreachable, "reply"), "reply"),
            ((not_owner,), Overloaded),
            ((unreachable,), OutcomeUnknown),
            ((unreachable, not_owner), OutcomeUnknown),
            ((JobNotFound("no"),), JobNotFound),
            ((not_owner, JobNotFound("no")), JobNotFound),
        )
        for script, expected in cases:
            with self.subTest(script=script):
                await self.check_call(script, expected)

    async def check_call(self, script, expected):
        clock = TrioClock(START)
        router = self.make_router(clock, ScriptedPeers(script), "there")
        deadline = Deadline.after(clock, timedelta(seconds=12))
        started = trio.current_time()
        if isinstance(expected, str):
            self.assertEqual(await router.call("a", MESSAGE, deadline), expected)
        else:
            with self.assertRaises(expected):
                await router.call("a", MESSAGE, deadline)
        self.assertLessEqual(trio.current_time() - started, 12)

    # Guards against a list of jobs that fails with an untyped error, which callers see as a fault.
    async def test_a_list_of_jobs_fails_with_the_error_of_a_zone(self):
        for error in (Overloaded("busy"), OutcomeUnknown("no reply")):
            with self.subTest(error=error.code):
                zones = {id: Zone("r", Capacity(1, 1, Resources(1, 1, 1, 1))) for id in "ab"}
                configuration = Configuration(1, zones, {"w": Workspace("r")})
                clock = TrioClock(START)
                gateway = JobGateway(
                    "here",
                    lambda configuration=configuration: configuration,
                    self.make_router(clock, ScriptedPeers([error]), "there"),
                    JobWaiters(Dispatcher()),
                    clock=clock,
                    telemetry=MemoryTelemetry(strict=True),
                    settings=GatewaySettings(),
                )
                with self.assertRaises(type(error)):
                    await gateway.jobs("w")

    async def test_unknown_owner_raises_overloaded(self):
        clock = TrioClock(START)
        router = self.make_router(clock, ScriptedPeers(["never"]), None)
        with self.assertRaises(Overloaded):
            await router.call("a", MESSAGE, Deadline.after(clock, timedelta(seconds=3)))

    async def test_retries_of_many_requests_are_bounded(self):
        clock = TrioClock(START)
        peers = ScriptedPeers([NotOwner("a")])
        router = self.make_router(clock, peers, "there")
        requests = 500

        async def call():
            with self.assertRaises(Overloaded):
                await router.call("a", MESSAGE, Deadline.after(clock, timedelta(seconds=60)))

        async with trio.open_nursery() as nursery:
            for _ in range(requests):
                nursery.start_soon(call)
        bound = requests + MAX_RETRY_TOKENS + RETRY_RATIO * requests
        self.assertLessEqual(peers.calls, bound)

    def make_router(self, clock, peers, address):
        return ZoneRouter(
            "here",
            lambda zone: address,
            peers,
            Dispatcher(),
            clock=clock,
            telemetry=MemoryTelemetry(strict=True),
            random=random.Random(1),
            call_timeout=timedelta(seconds=4),
        )
