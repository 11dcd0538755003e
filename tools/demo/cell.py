"""The demo's second part: jobs of several steps on a cell, by the product's own command line."""

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

from tools.soak.site import SoakSite

__all__ = ["CellDemoResult", "run_cell_demo"]

EXAMPLES = Path(__file__).resolve().parents[2] / "examples" / "cell"
NODES = 3
WORKERS = 6
KEY = "key"
WITHDRAWAL_KEY = "op/evacuate/r0"
SETTLE_SECONDS = 4.0
OCCURRENCES = 3
END_SECONDS = 30.0
COMMAND_SECONDS = 20.0
ENDED = {"complete", "failed", "cancelled"}

Say = Callable[[str], None]


@attrs.define
class CellDemoResult:
    """What the second part found.

    :param phases_by_job: how each job ended.
    :param wanted_by_job: how each had to end.
    :param runs_by_job: number of runs that workers saw.
    :param broken: contradictions in what workers saw, and steps that did not show what they should.
    """

    phases_by_job: dict[str, str] = attrs.field(factory=dict)
    wanted_by_job: dict[str, str] = attrs.field(factory=dict)
    runs_by_job: dict[str, int] = attrs.field(factory=dict)
    broken: list[str] = attrs.field(factory=list)


@attrs.define
class _CellDemo:
    site: SoakSite
    folder: Path
    say: Say
    findings: CellDemoResult = attrs.field(factory=CellDemoResult)

    async def command(self, *arguments: str) -> str:
        """Run the product's command line and return what it printed."""
        program = Path(sys.executable).with_name("mimosapoint")
        environment = {
            **os.environ,
            "MIMOSAPOINT_SERVER": ",".join(self.site.operator_addresses),
            "MIMOSAPOINT_TOKEN": KEY,
        }
        with trio.fail_after(COMMAND_SECONDS):
            done = await trio.run_process(
                [str(program), *arguments],
                env=environment,
                check=False,
                capture_stdout=True,
                stderr=subprocess.STDOUT,
            )
        text = done.stdout.decode()
        if done.returncode:
            self.findings.broken.append(f"{' '.join(arguments)}: {text.strip()}")
        return text

    async def submit(self, job: str, file: Path, wanted: str = "complete") -> None:
        self.findings.wanted_by_job[job] = wanted
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
            self.findings.broken.append(text)


async def run_cell_demo(folder: Path, say: Say) -> CellDemoResult:
    """Play jobs of several steps on three nodes over a stand-in of the users' platform."""
    async with trio.open_nursery() as nursery:
        site = SoakSite(folder, nursery)
        play = _CellDemo(site, folder, say)
        try:
            await site.start(NODES, WORKERS)
            await trio.sleep(SETTLE_SECONDS)
            await _steps(play)
            await _wait_ended(play)
        finally:
            with trio.CancelScope(shield=True):
                await site.stop()
        play.findings.broken += run_violations(site.pool.history, site.pool.over_capacity_workers)
        for job in play.findings.wanted_by_job:
            runs = [record for record in site.pool.history if record.task.job == job]
            play.findings.runs_by_job[job] = len(runs)
        nursery.cancel_scope.cancel()
    return play.findings


async def _steps(play: _CellDemo) -> None:
    play.say(
        "a rebuild of two steps, proofs that fill the cell, an urgent gang, a job by the clock"
    )
    await play.submit("rebuild-1", EXAMPLES / "rebuild.yaml")
    await play.submit("proofs-1", EXAMPLES / "proofs.yaml")
    await play.submit("bulletin-1", EXAMPLES / "bulletin.yaml")
    await play.submit("hourly-1", _write_scheduled_job(play.folder))

    play.say("a job that no worker can run tells why it waits, and is cancelled")
    await play.submit("special-1", EXAMPLES / "special.yaml", "cancelled")
    await trio.sleep(1)
    told = await play.command("cell", "job", "special-1")
    play.expect("no-worker" in told, f"the reason is missing: {told}")
    await play.command("cell", "cancel", "special-1")

    play.say("an availability zone is taken out and brought back")
    play.site.store.put(WITHDRAWAL_KEY, b"{}")
    await trio.sleep(2)
    told = await play.command("cell", "workers")
    play.expect("zone-withdrawn" in told, f"no worker is withdrawn: {told}")
    await play.submit("proofs-2", EXAMPLES / "proofs.yaml")
    play.site.store.apply({}, (), [WITHDRAWAL_KEY])

    play.say("the cell's owner is killed and replaced")
    owner = await play.owner()
    await play.site.signal_node(owner, "SIGKILL")
    await play.submit("bulletin-2", EXAMPLES / "bulletin.yaml")
    await play.site.wait_node(owner)
    await play.site.start_node(owner)


async def _wait_ended(play: _CellDemo) -> None:
    play.say("waiting for the jobs of the cell")
    findings = play.findings
    with trio.move_on_after(END_SECONDS):
        while True:
            for job in findings.wanted_by_job:
                if findings.phases_by_job.get(job) not in ENDED:
                    findings.phases_by_job[job] = await play.phase(job)
            if set(findings.phases_by_job.values()) <= ENDED:
                break
            await trio.sleep(0.5)
    for job, wanted in findings.wanted_by_job.items():
        phase = findings.phases_by_job.get(job)
        play.expect(phase == wanted, f"{job} is {phase}, not {wanted}")


def _write_scheduled_job(folder: Path) -> Path:
    """Write a job that runs three times, a second apart."""
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
