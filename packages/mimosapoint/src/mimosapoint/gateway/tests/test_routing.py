"""Tests of admission and of the router's answers while ownership changes."""

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
from mimosapoint.gateway.router import MAX_RETRY_TOKENS, RETRY_RATIO, ZoneRouter
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
    """A request that can never be served is refused at once, with every reason."""

    def test_requests(self):
        zone = Zone("r", Capacity(1, 2, Resources(8, 8, 8, 8)))
        services = {"s": Service(), "narrow": Service(("a",), (JobClass.NORMAL,))}
        workspace = Workspace("r", services_by_id=services)
        site = Configuration(1, {"a": zone, "b": zone}, {"w": workspace})
        good = JobRequest("w", "s", "k", shape=Resources(1, 1, 1, 1))
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
                request = attrs.evolve(good, **change)
                if error is None:
                    check_request(site, request)
                else:
                    self.assertRaises(error, check_request, site, request)
        self.assertRaises(Overloaded, check_request, Configuration(), good)


class ScriptedPeers:
    """Raises or returns what a script says, one item for each call."""

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
    """Only a request that surely had no effect is refused as such."""

    mock_clock = True

    async def test_endings(self):
        gone, moved = PeerUnreachable("gone"), NotOwner("a")
        cases = (
            (("reply",), "reply"),
            ((moved, moved, "reply"), "reply"),
            ((gone, "reply"), "reply"),
            ((moved,), Overloaded),
            ((gone,), OutcomeUnknown),
            ((gone, moved), OutcomeUnknown),
            ((JobNotFound("no"),), JobNotFound),
            ((moved, JobNotFound("no")), JobNotFound),
        )
        for script, ending in cases:
            with self.subTest(script=script):
                await self.check(script, ending)

    async def check(self, script, ending):
        clock = TrioClock(START)
        router = self.router(clock, ScriptedPeers(script), "there")
        deadline = Deadline.after(clock, timedelta(seconds=12))
        began = trio.current_time()
        if isinstance(ending, str):
            self.assertEqual(await router.call("a", MESSAGE, deadline), ending)
        else:
            with self.assertRaises(ending):
                await router.call("a", MESSAGE, deadline)
        self.assertLessEqual(trio.current_time() - began, 12)

    async def test_unknown_owner_is_no_effect(self):
        clock = TrioClock(START)
        router = self.router(clock, ScriptedPeers(["never"]), None)
        with self.assertRaises(Overloaded):
            await router.call("a", MESSAGE, Deadline.after(clock, timedelta(seconds=3)))

    async def test_retries_of_many_requests_are_bounded(self):
        clock = TrioClock(START)
        peers = ScriptedPeers([NotOwner("a")])
        router = self.router(clock, peers, "there")
        requests = 500

        async def ask():
            with self.assertRaises(Overloaded):
                await router.call("a", MESSAGE, Deadline.after(clock, timedelta(seconds=60)))

        async with trio.open_nursery() as nursery:
            for _ in range(requests):
                nursery.start_soon(ask)
        bound = requests + MAX_RETRY_TOKENS + RETRY_RATIO * requests
        self.assertLessEqual(peers.calls, bound)

    def router(self, clock, peers, address):
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
