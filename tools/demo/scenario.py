"""What the demo plays."""

import signal
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

import trio
import yaml
from mimosapoint.testing import StopSeen

from tools.demo.work import borrower, bulletin, claim, expected_parts, rebuild, thumbnail
from tools.site import Site
from tools.site.recorder import Recorder, now

__all__ = ["play"]

ROOT = Path(__file__).resolve().parents[2]
REHEARSAL = ROOT / "examples" / "rehearsal"
ZONE = "mvd-centro"
BORROWERS = 56
BORROWER_SECONDS = 8.0
CLAIM_SECONDS = 1.0
GRACE_SECONDS = 10.0
URGENT_SECONDS = 1.7
ZONE_OUT_SECONDS = 7.0
LEAVING_PAUSE_SECONDS = 1.0
CALLERS_PAUSE_SECONDS = 0.25
START_BOUND = timedelta(seconds=1)

Say = Callable[[str], None]


class _Callers:
    """Callers that go on through everything the demo plays.

    :param recorder: keeps what they see.
    """

    def __init__(self, recorder: Recorder, nursery: trio.Nursery):
        self._recorder = recorder
        self._nursery = nursery
        self._number = 0

    def ask(self, job: dict[str, Any], bound: float | None = None) -> None:
        """Ask for one job in the background."""
        self._number += 1
        key = f"demo-{self._number}"
        expected = expected_parts(job)
        self._nursery.start_soon(self._recorder.run_job, job, key, expected, bound)

    async def keep_asking(self) -> None:
        """Ask for work of the three kinds until cancelled."""
        number = 0
        while True:
            number += 1
            self.ask(bulletin(number, repeatable=number % 3 != 0))
            self.ask(thumbnail(number))
            if number % 4 == 0:
                self.ask(rebuild(number))
            await trio.sleep(CALLERS_PAUSE_SECONDS)


async def play(site: Site, recorder: Recorder, say: Say) -> None:
    """Play the three kinds of work and a rehearsal, and keep the history.

    :param say: told of each step.
    """
    async with trio.open_nursery() as watchers:
        watchers.start_soon(recorder.watch_versions)
        async with trio.open_nursery() as calls:
            callers = _Callers(recorder, calls)
            await _steps(site, recorder, callers, say)
            say("waiting for the last answers")
        say("reading the workers' histories")
        await recorder.collect_tasks()
        watchers.cancel_scope.cancel()


async def _steps(site: Site, recorder: Recorder, callers: _Callers, say: Say) -> None:
    async with trio.open_nursery() as background:
        background.start_soon(callers.keep_asking)
        steps: list[tuple[str, Callable[..., Awaitable[None]]]] = [
            ("bulletins, rebuilds and thumbnails", _three_kinds),
            ("the guaranteed shape is lent out and reclaimed", _reclaim),
            ("an endpoint leaves", _leave_endpoint),
            (f"{ZONE} is taken out and brought back", _rehearse),
            ("a node is killed and replaced", _kill_node),
            ("a node is stopped as planned", _stop_node),
        ]
        for text, step in steps:
            say(text)
            await step(site, recorder, callers)
        background.cancel_scope.cancel()


def _soon() -> str:
    """Return a latest start that work behind a full queue cannot keep."""
    return (now() + START_BOUND).isoformat()


async def _three_kinds(site: Site, recorder: Recorder, callers: _Callers) -> None:
    for number in range(12):
        callers.ask(bulletin(1000 + number))
        callers.ask(rebuild(1000 + number))
        callers.ask(thumbnail(1000 + number))
    await trio.sleep(3)


async def _reclaim(site: Site, recorder: Recorder, callers: _Callers) -> None:
    for number in range(BORROWERS):
        callers.ask(borrower(2000 + number, BORROWER_SECONDS))
    await trio.sleep(2)
    for number in range(6):
        callers.ask({**borrower(3000 + number, 1.0), "start_by": _soon()})
    callers.ask({**claim(1.0), "gang": 200})
    callers.ask(claim(CLAIM_SECONDS), bound=URGENT_SECONDS + GRACE_SECONDS)
    await trio.sleep(4)


async def _leave_endpoint(site: Site, recorder: Recorder, callers: _Callers) -> None:
    worker = next(w for w, zone in recorder.history.zones_by_worker.items() if zone != ZONE)
    await recorder.leave_endpoint(worker)
    await trio.sleep(LEAVING_PAUSE_SECONDS)


async def _rehearse(site: Site, recorder: Recorder, callers: _Callers) -> None:
    out = yaml.safe_load((REHEARSAL / "agencia-zone-out.yaml").read_text())
    back = yaml.safe_load((REHEARSAL / "agencia-zone-in.yaml").read_text())
    await recorder.patch(out, {ZONE})
    await trio.sleep(ZONE_OUT_SECONDS)
    await recorder.patch(back, set())
    await trio.sleep(1)


async def _owner_of_most(site: Site) -> str:
    """Return the node that owns most zones."""
    reply = await site.client.call("GET", "/v1/status")
    owners = [zone["owner"] for zone in reply.body["zones"].values()]
    return max(sorted(set(owners) & set(site.files.nodes_by_id)), key=owners.count)


async def _kill_node(site: Site, recorder: Recorder, callers: _Callers) -> None:
    node = await _owner_of_most(site)
    site.signal(node, signal.SIGKILL)
    await trio.sleep(8)
    recorder.restarted(node)
    await site.start_node(node)
    await site.wait_ready(node)


async def _stop_node(site: Site, recorder: Recorder, callers: _Callers) -> None:
    node = await _owner_of_most(site)
    at = now()
    code = await site.stop_node(node)
    recorder.history.stops.append(StopSeen(node, at, code))
