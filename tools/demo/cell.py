"""Second part of the demo: multi-step jobs on a cell, submitted with the command line."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Callable
from datetime import datetime, timedelta, timezone
from pathlib import Path

import attrs
import orjson
import trio
import yaml
from mimosapoint.testing.run_checks import run_violations

from tools.demo.report import save_metrics
from tools.soak.profile import FAST_LINK_MBPS, Profile
from tools.soak.site import SoakSite

__all__ = ["CellDemoResult", "run_cell_demo"]

EXAMPLES = Path(__file__).resolve().parents[2] / "examples" / "cell"
PROFILE = Profile(
    seed=0, cores=1.0, workers=6, mbps_by_node=dict.fromkeys(range(3), FAST_LINK_MBPS)
)
API_KEY = "key"
WITHDRAWAL_KEY = "op/evacuate/r0"
WARM_UP_SECONDS = 4.0
OCCURRENCES = 3
JOBS_END_SECONDS = 30.0
COMMAND_SECONDS = 20.0
ENDED = {"complete", "failed", "cancelled"}

ProgressReporter = Callable[[str], None]


@attrs.define
class CellDemoResult:
    """Result of the second part.

    :param phases_by_job: last known phase of each job.
    :param expected_phases_by_job: phase in which each job must end.
    :param runs_by_job: number of runs of each job on the workers.
    :param violations: violations in the history of the workers, failed commands and unexpected
        results of steps.
    """

    phases_by_job: dict[str, str] = attrs.field(factory=dict)
    expected_phases_by_job: dict[str, str] = attrs.field(factory=dict)
    runs_by_job: dict[str, int] = attrs.field(factory=dict)
    violations: list[str] = attrs.field(factory=list)


@attrs.define
class _CellDemo:
    site: SoakSite
    folder: Path
    report_progress: ProgressReporter
    result: CellDemoResult = attrs.field(factory=CellDemoResult)

    async def command(self, *arguments: str) -> str:
        """Run ``mimosapoint`` and return its output; a non-zero exit code is a violation."""
        program = Path(sys.executable).with_name("mimosapoint")
        environment = {
            **os.environ,
            "MIMOSAPOINT_SERVER": ",".join(self.site.operator_addresses),
            "MIMOSAPOINT_TOKEN": API_KEY,
        }
        with trio.fail_after(COMMAND_SECONDS):
            process = await trio.run_process(
                [str(program), *arguments],
                env=environment,
                check=False,
                capture_stdout=True,
                stderr=subprocess.STDOUT,
            )
        text = process.stdout.decode()
        if process.returncode:
            self.result.violations.append(f"{' '.join(arguments)}: {text.strip()}")
        return text

    async def submit(self, job: str, file: Path, expected_phase: str = "complete") -> None:
        self.result.expected_phases_by_job[job] = expected_phase
        await self.command("cell", "submit", job, "--file", str(file))

    async def phase(self, job: str) -> str:
        text = await self.command("cell", "phase", job, "--json")
        return orjson.loads(text)["phase"] if text.startswith("{") else "unknown"

    async def owner(self) -> int:
        text = await self.command("cell", "status", "--json")
        name = orjson.loads(text).get("owner", "") if text.startswith("{") else ""
        return int(name.removeprefix("node-")) if name else 0

    def expect(self, holds: bool, text: str) -> None:
        if not holds:
            self.result.violations.append(text)


async def run_cell_demo(folder: Path, report_progress: ProgressReporter) -> CellDemoResult:
    """Run multi-step jobs on three nodes over stand-ins of the users' platform.

    :param report_progress: called with a text before each step.
    """
    async with trio.open_nursery() as nursery:
        site = SoakSite(folder, nursery, PROFILE)
        demo = _CellDemo(site, folder, report_progress)
        try:
            await site.start()
            await trio.sleep(WARM_UP_SECONDS)
            await _steps(demo)
            await _wait_ended(demo)
            addresses = enumerate(site.operator_addresses)
            await save_metrics({f"cell-node-{n}": address for n, address in addresses}, folder)
        finally:
            with trio.CancelScope(shield=True):
                await site.stop()
        demo.result.violations += run_violations(
            site.simulation.history, site.simulation.over_capacity_workers
        )
        for job in demo.result.expected_phases_by_job:
            runs = [record for record in site.simulation.history if record.task.job == job]
            demo.result.runs_by_job[job] = len(runs)
        nursery.cancel_scope.cancel()
    return demo.result


async def _steps(demo: _CellDemo) -> None:
    demo.report_progress(
        "a rebuild of two steps, proofs that fill the cell, an urgent gang, a job by the clock"
    )
    await demo.submit("rebuild-1", EXAMPLES / "rebuild.yaml")
    await demo.submit("proofs-1", EXAMPLES / "proofs.yaml")
    await demo.submit("bulletin-1", EXAMPLES / "bulletin.yaml")
    await demo.submit("hourly-1", _write_scheduled_job(demo.folder))

    demo.report_progress("a job that no worker can run tells why it waits, and is cancelled")
    await demo.submit("special-1", EXAMPLES / "special.yaml", "cancelled")
    await trio.sleep(1)
    output = await demo.command("cell", "job", "special-1")
    demo.expect("no-worker" in output, f"the wait reason no-worker is missing: {output}")
    await demo.command("cell", "cancel", "special-1")

    demo.report_progress("an availability zone is taken out and brought back")
    demo.site.store.put(WITHDRAWAL_KEY, b"{}")
    await trio.sleep(2)
    output = await demo.command("cell", "workers")
    demo.expect("zone-withdrawn" in output, f"no worker is reported as withdrawn: {output}")
    await demo.submit("proofs-2", EXAMPLES / "proofs.yaml")
    demo.site.store.apply({}, (), [WITHDRAWAL_KEY])

    demo.report_progress("the cell's owner is killed and replaced")
    owner = await demo.owner()
    await demo.site.signal_node(owner, "SIGKILL")
    await demo.submit("bulletin-2", EXAMPLES / "bulletin.yaml")
    await demo.site.wait_node(owner)
    await demo.site.start_node(owner)


async def _wait_ended(demo: _CellDemo) -> None:
    demo.report_progress("waiting for the jobs of the cell")
    result = demo.result
    with trio.move_on_after(JOBS_END_SECONDS):
        while True:
            for job in result.expected_phases_by_job:
                if result.phases_by_job.get(job) not in ENDED:
                    result.phases_by_job[job] = await demo.phase(job)
            if set(result.phases_by_job.values()) <= ENDED:
                break
            await trio.sleep(0.5)
    for job, expected_phase in result.expected_phases_by_job.items():
        phase = result.phases_by_job.get(job)
        demo.expect(phase == expected_phase, f"{job} is {phase}, not {expected_phase}")


def _write_scheduled_job(folder: Path) -> Path:
    """Write a job with ``OCCURRENCES`` occurrences, one second apart."""
    first = datetime.now(timezone.utc) + timedelta(seconds=2)
    path = folder / "hourly.yaml"
    job = {
        "queue": "low",
        "first": first.isoformat(),
        "interval_seconds": 1,
        "occurrences": OCCURRENCES,
        "steps": [{"tasks": 1, "estimate_seconds": 1}],
    }
    path.write_text(yaml.safe_dump(job))
    return path
