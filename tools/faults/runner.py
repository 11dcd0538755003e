"""Runs fault cases; a site is used again until a case finds violations or it cannot recover."""

import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

import attrs
import trio

from tools.faults.case_run import CaseRun
from tools.faults.checks import first_start_seconds, promise_violations
from tools.faults.registry import Case
from tools.site import Site
from tools.site.callers import Callers
from tools.site.recorder import Recorder, now
from tools.site.sample_jobs import guaranteed_job

__all__ = ["CaseResult", "run_cases"]

EXAMPLE = Path(__file__).resolve().parents[2] / "examples" / "agencia"
NODES = 3
WARM_UP_SECONDS = 1.0
CASE_SECONDS = 90.0
CLAIM_BOUND_SECONDS = 60.0


@attrs.frozen
class CaseResult:
    """Result of one run of a case.

    :param name: name of the case.
    :param jobs: number of submitted jobs.
    :param outcomes: number of jobs by outcome.
    :param first_start: seconds from the fault to the first start, or ``None``.
    :param violations: one line for each violation of a promise.
    """

    name: str
    jobs: int
    outcomes: Counter
    first_start: float | None
    violations: list[str]


async def run_cases(
    cases: list[Case],
    runs: int,
    seed: int,
    logs: Path | None,
    report_progress: Callable[[str], None],
) -> list[CaseResult]:
    """Run each case a number of times.

    :param runs: number of runs of each case.
    :param seed: seed of the random choices in the cases.
    :param logs: folder in which logs are kept, or ``None`` to delete them.
    :param report_progress: called with a text after each run.
    """
    results = []
    remaining = [(case, number) for case in cases for number in range(runs)]
    while remaining:
        async with _site(logs, len(results)) as site:
            while remaining:
                case, number = remaining.pop(0)
                run, result = await _run_case(site, case, f"{number}-{len(results)}", seed + number)
                results.append(result)
                report_progress(
                    f"{case.name}: {len(result.violations)} broken of {result.jobs} jobs"
                )
                if result.violations or not await _restore_site(run):
                    break
    return results


@asynccontextmanager
async def _site(logs: Path | None, number: int) -> AsyncIterator[Site]:
    with tempfile.TemporaryDirectory(prefix="mimosapoint-") as scratch:
        folder = Path(scratch) if logs is None else logs / str(number)
        site = Site(EXAMPLE, folder, NODES)
        try:
            await site.start()
            yield site
        finally:
            await site.stop()


async def _run_case(site: Site, case: Case, label: str, seed: int) -> tuple[CaseRun, CaseResult]:
    began = now()
    recorder = Recorder(site)
    failures: list[str] = []
    async with trio.open_nursery() as watchers:
        watchers.start_soon(recorder.watch_versions)
        with trio.move_on_after(CASE_SECONDS):
            async with trio.open_nursery() as calls:
                callers = Callers(recorder, calls, f"{case.name}-{label}")
                run = CaseRun(site, recorder, callers, Random(seed))
                await _execute_under_load(run, case, failures)
        run.faults_cleared_at = run.faults_cleared_at or now()
        await recorder.collect_tasks(began)
        await _read_zones_out(run)
        watchers.cancel_scope.cancel()
    return run, _result(run, case, failures)


async def _execute_under_load(run: CaseRun, case: Case, failures: list[str]) -> None:
    """Run the case while callers submit jobs, then wait until the zones have recovered."""
    async with trio.open_nursery() as background:
        background.start_soon(run.callers.submit_until_cancelled)
        await trio.sleep(WARM_UP_SECONDS)
        run.callers.submit(guaranteed_job(1.0), start_bound=CLAIM_BOUND_SECONDS)
        try:
            await case.execute(run)
        except* (OSError, trio.TooSlowError, TimeoutError, ValueError) as group:
            failures.append(f"the case could not be run: {group.exceptions[0]!r}")
        run.faults_cleared_at = now()
        await run.wait_recovered()
        background.cancel_scope.cancel()


def _result(run: CaseRun, case: Case, failures: list[str]) -> CaseResult:
    calls = run.recorder.history.calls
    outcomes = Counter(call.outcome or "unanswered" for call in calls)
    violations = failures + promise_violations(run, case.combined)
    return CaseResult(case.name, len(calls), outcomes, first_start_seconds(run), violations)


async def _read_zones_out(run: CaseRun) -> None:
    """Add to each accepted patch the zones that are out in its version."""
    patches = run.recorder.history.patches
    for position, patch in enumerate(patches):
        if patch.version:
            path = f"/v1/configuration?version={patch.version}"
            reply = await run.site.client.call("GET", path)
            zones = reply.body["zones"].items()
            zones_out = frozenset(id for id, zone in zones if zone["mode"] == "out")
            patches[position] = attrs.evolve(patch, zones_out=zones_out)


async def _restore_site(run: CaseRun) -> bool:
    """Restart the nodes that have ended; return whether the site can be used again."""
    try:
        for node in run.site.files.nodes_by_id:
            if run.site.processes_by_id[node].poll() is not None:
                await run.restart(node)
        await run.site.wait_owned()
    except (trio.TooSlowError, OSError):
        return False
    return True
