"""Run the demo and print the table of promises and the measures: ``python -m tools.demo``."""

import sys
import tempfile
from pathlib import Path

import trio
from mimosapoint.testing import CheckResult, check_all

from tools.demo.cell import CellDemoResult, run_cell_demo
from tools.demo.measures import Measures, measure
from tools.demo.report import save_metrics, write_page
from tools.demo.scenario import ROOT, run_scenario
from tools.site import Site
from tools.site.recorder import Recorder

NODES = 4
SLOTS_PER_WORKER = 8
SCENARIO_SECONDS = 100.0


def print_progress(text: str) -> None:
    """Print a progress message with the elapsed seconds."""
    print(f"  {trio.current_time() - print_progress.began:5.1f} s  {text}", flush=True)


async def run() -> int:
    """Run the demo and return the exit code."""
    print_progress.began = trio.current_time()
    with tempfile.TemporaryDirectory(prefix="mimosapoint-") as folder:
        site = Site(ROOT / "examples" / "agencia", Path(folder), NODES)
        try:
            print_progress(f"starting the platform's stand-ins, 24 workers and {NODES} nodes")
            await site.start()
            recorder = Recorder(site)
            with trio.move_on_after(SCENARIO_SECONDS) as time_limit:
                await run_scenario(site, recorder, print_progress)
            if time_limit.cancelled_caught:
                print_progress("the time limit is reached; jobs without an answer count as broken")
                await recorder.collect_tasks()
            addresses = site.files.http_by_id.items()
            await save_metrics({f"zone-{id}": address for id, address in addresses}, Path(folder))
        finally:
            await site.stop()
        cell = await run_cell_demo(Path(folder), print_progress)
        print_progress("writing the report of the nodes' logs and metrics")
        report = await write_page(Path(folder))
        code = _report(site, recorder, cell)
        print(f"\n{report}")
        return code


def _report(site: Site, recorder: Recorder, cell: CellDemoResult) -> int:
    findings = check_all(recorder.history)
    _print_promises(findings)
    slots = SLOTS_PER_WORKER * len(site.files.workers_by_id)
    _print_measures(measure(recorder.history, recorder.classes_by_key, slots))
    _print_outcomes(recorder)
    _print_cell(cell)
    violated = [finding for finding in findings if finding.violations or not finding.cases_checked]
    print("every promise was kept" if not violated else f"{len(violated)} promises broken")
    unanswered = [call.key for call in recorder.history.calls if call.outcome is None]
    if unanswered:
        print(f"unanswered: {', '.join(unanswered)}")
    return 1 if violated or unanswered or cell.violations else 0


def _print_promises(findings: list[CheckResult]) -> None:
    print(f"\n{'promise':<52}{'checked':>8}{'broken':>8}")
    for finding in findings:
        print(f"{finding.promise:<52}{finding.cases_checked:>8}{len(finding.violations):>8}")
        for line in finding.violations[:3]:
            print(f"    {line}")


def _print_measures(measures: Measures) -> None:
    print("\ncompletion time      median       p95")
    for name, (median, p95) in measures.completion_by_class.items():
        print(f"  {name:<14}{median:>9.2f} s{p95:>9.2f} s")
    print(f"slots free while a job waited: {measures.free_while_waiting:.0%}")
    print(
        f"work while a zone was out: {measures.work_while_out:.0f} slot-seconds, "
        f"{measures.work_before:.0f} in as long a time before"
    )


def _print_cell(cell: CellDemoResult) -> None:
    print("\njobs on the cell      ended        runs")
    for job, phase in cell.phases_by_job.items():
        print(f"  {job:<20}{phase:<10}{cell.runs_by_job.get(job, 0):>7}")
    print(f"broken on the cell: {len(cell.violations)}")
    for line in cell.violations[:10]:
        print(f"    {line}")


def _print_outcomes(recorder: Recorder) -> None:
    counts: dict[str, int] = {}
    for call in recorder.history.calls:
        counts[call.outcome or "unanswered"] = counts.get(call.outcome or "unanswered", 0) + 1
    text = ", ".join(f"{count} {name}" for name, count in sorted(counts.items()))
    print(f"outcomes: {text}\n")


if __name__ == "__main__":
    sys.exit(trio.run(run))
