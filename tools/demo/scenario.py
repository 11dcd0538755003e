"""Scenario of the demo."""

import signal
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path

import trio
import yaml
from mimosapoint.configuration import allocate_guarantees as declared_allocations
from mimosapoint.configuration import load_configuration
from mimosapoint.testing import ShutdownObservation

from tools.site import Site
from tools.site.callers import Callers
from tools.site.recorder import Recorder, now
from tools.site.sample_jobs import borrowing_job, bulletin, guaranteed_job, rebuild, thumbnail

__all__ = ["run_scenario"]

ROOT = Path(__file__).resolve().parents[2]
AGENCIA = ROOT / "examples" / "agencia"
REHEARSAL = ROOT / "examples" / "rehearsal"
ZONE = "mvd-centro"
BORROWERS = 56
BORROWER_SECONDS = 8.0
CLAIM_SECONDS = 1.0
CLAIMED_GUARANTEE = "compositor"
CLAIM_BOUND_SECONDS = 11.7
"""Grace of the workspace that claims, plus the bound of a start."""

MOVED_CLAIM_BOUND_SECONDS = 25.0
"""The same for a claim accepted by another zone, or submitted while a zone is withdrawn."""

LONG_SECONDS = 2.0
LONG_REQUESTS = 8
ZONE_OUT_SECONDS = 7.0
LEAVING_SECONDS = 1.0
START_BOUND = timedelta(seconds=1)

ProgressReporter = Callable[[str], None]


async def run_scenario(site: Site, recorder: Recorder, report_progress: ProgressReporter) -> None:
    """Run the three kinds of work and a zone withdrawal, and record the history.

    :param report_progress: called with a text before each step.
    """
    async with trio.open_nursery() as watchers:
        watchers.start_soon(recorder.watch_versions)
        async with trio.open_nursery() as calls:
            callers = Callers(recorder, calls, "demo")
            await _steps(site, recorder, callers, report_progress)
            report_progress("waiting for the last answers")
        report_progress("reading the workers' histories")
        await recorder.collect_tasks()
        watchers.cancel_scope.cancel()


async def _steps(
    site: Site, recorder: Recorder, callers: Callers, report_progress: ProgressReporter
) -> None:
    async with trio.open_nursery() as background:
        background.start_soon(callers.submit_until_cancelled)
        steps: list[tuple[str, Callable[..., Awaitable[None]]]] = [
            ("bulletins, rebuilds and thumbnails", _submit_three_kinds),
            ("the guaranteed shape is lent out and reclaimed", _reclaim_guarantee),
            ("an endpoint leaves", _leave_endpoint),
            (f"{ZONE} is taken out and brought back", _withdraw_zone),
            ("a node is killed and replaced", _kill_and_restart_node),
            ("a node is stopped as planned", _stop_node),
        ]
        for text, step in steps:
            report_progress(text)
            await step(site, recorder, callers)
        background.cancel_scope.cancel()


def _tight_start_by() -> str:
    """Return a latest start time that a job behind a full queue cannot meet."""
    return (now() + START_BOUND).isoformat()


async def _submit_three_kinds(site: Site, recorder: Recorder, callers: Callers) -> None:
    for number in range(12):
        callers.submit(bulletin(1000 + number))
        callers.submit(rebuild(1000 + number))
        callers.submit(thumbnail(1000 + number))
    await trio.sleep(3)


async def _reclaim_guarantee(site: Site, recorder: Recorder, callers: Callers) -> None:
    for number in range(BORROWERS):
        callers.submit(borrowing_job(2000 + number, BORROWER_SECONDS))
    await trio.sleep(2)
    for number in range(6):
        callers.submit({**borrowing_job(3000 + number, 1.0), "start_by": _tight_start_by()})
    callers.submit({**guaranteed_job(1.0), "gang": 200})
    callers.submit(
        guaranteed_job(CLAIM_SECONDS), start_bound=CLAIM_BOUND_SECONDS, home=_guarantee_zone()
    )
    await trio.sleep(3)
    callers.submit(guaranteed_job(CLAIM_SECONDS), start_bound=MOVED_CLAIM_BOUND_SECONDS, home=ZONE)
    await trio.sleep(2)


def _guarantee_zone() -> str:
    """Return the zone of the declared allocation of the claimed guarantee."""
    allocations = declared_allocations(load_configuration(AGENCIA / "configuration.yaml"))
    return next(
        allocation.zone
        for key, allocation in allocations.items()
        if key.guarantee == CLAIMED_GUARANTEE
    )


async def _leave_endpoint(site: Site, recorder: Recorder, callers: Callers) -> None:
    worker = next(w for w, zone in recorder.history.zones_by_worker.items() if zone != ZONE)
    await recorder.mark_endpoint_leaving(worker)
    await trio.sleep(LEAVING_SECONDS)


async def _withdraw_zone(site: Site, recorder: Recorder, callers: Callers) -> None:
    out = yaml.safe_load((REHEARSAL / "agencia-zone-out.yaml").read_text())
    back = yaml.safe_load((REHEARSAL / "agencia-zone-in.yaml").read_text())
    await recorder.patch(out, {ZONE})
    callers.submit(guaranteed_job(CLAIM_SECONDS), start_bound=MOVED_CLAIM_BOUND_SECONDS, home=ZONE)
    await trio.sleep(ZONE_OUT_SECONDS)
    await recorder.patch(back, set())
    await trio.sleep(1)


async def _kill_and_restart_node(site: Site, recorder: Recorder, callers: Callers) -> None:
    node, _ = await site.node_with_most_zones()
    site.signal(node, signal.SIGKILL)
    await trio.sleep(8)
    recorder.note_restart(node)
    await site.start_node(node)
    await site.wait_ready(node)


async def _stop_node(site: Site, recorder: Recorder, callers: Callers) -> None:
    for number in range(LONG_REQUESTS):
        callers.submit(borrowing_job(4000 + number, LONG_SECONDS))
    await trio.sleep(LONG_SECONDS / 4)
    node, _ = await site.node_with_most_zones()
    at = now()
    code = await site.stop_node(node)
    recorder.history.shutdowns.append(ShutdownObservation(node, at, code))
