"""End-to-end test of a site of separate processes under kills, stops and operators' commands."""

import tempfile
import unittest
from collections import Counter
from datetime import datetime
from pathlib import Path

import trio
from mimosapoint.memory import TaskEventKind
from mimosapoint.testing import History, PatchObservation, ShutdownObservation, check_all

from tools.site import Site
from tools.site.callers import Callers
from tools.site.command import CommandResult, run_command
from tools.site.recorder import Recorder, now
from tools.site.sample_jobs import borrowing_job, guaranteed_job

AGENCIA = Path(__file__).resolve().parents[2] / "examples" / "agencia"
ZONE = "mvd-centro"
BOUND_SECONDS = 120.0
CLAIM_BOUND_SECONDS = 45.0
NEVER_FITS = 500
"""Tasks of a gang that does not fit into any availability zone."""

RUNNING_SECONDS = 3.0
"""Run time of the jobs that must still run when their owner is killed."""

OUT_SECONDS = 4.0
"""Time for which a zone is out; the promise bounds starts from the third second on."""

DONE, USAGE, REFUSED, JOB_FAILED = 0, 2, 3, 1


class SiteScenario:
    """One run of the scenario and what was recorded in it."""

    def __init__(self) -> None:
        self.history = History()
        self.commands: dict[str, CommandResult] = {}
        self.killed_zones: set[str] = set()
        self.killed_at: datetime | None = None
        self.in_progress_at_stop = 0

    async def run(self) -> None:
        """Run the scenario within ``BOUND_SECONDS``."""
        with tempfile.TemporaryDirectory(prefix="mimosapoint-") as folder:
            site = Site(AGENCIA, Path(folder), nodes=3)
            try:
                with trio.fail_after(BOUND_SECONDS):
                    await site.start()
                    await self._run_scenario(site, Recorder(site))
            finally:
                await site.stop()

    async def _run_scenario(self, site: Site, recorder: Recorder) -> None:
        self.history = recorder.history
        async with trio.open_nursery() as watchers:
            watchers.start_soon(recorder.watch_versions)
            async with trio.open_nursery() as calls:
                await self._under_load(site, recorder, Callers(recorder, calls, "smoke"))
            await recorder.collect_tasks()
            watchers.cancel_scope.cancel()

    async def _under_load(self, site: Site, recorder: Recorder, callers: Callers) -> None:
        async with trio.open_nursery() as background:
            background.start_soon(callers.submit_until_cancelled)
            await self._use_commands(site, recorder)
            await self._kill_owner(site, recorder, callers)
            await self._stop_owner(site, recorder, callers)
            background.cancel_scope.cancel()

    async def _use_commands(self, site: Site, recorder: Recorder) -> None:
        """Run commands of callers and operators."""
        submit = ("job", "submit", "--workspace", "editors", "--service", "thumbnail-checks")
        payload = ("--payload", '{"kind": "compose", "screens": ["a"], "text": "b"}')
        submit_arguments = (*submit, "--key", "cli-1", "--run-time", "1", *payload, "--wait", "20")
        first = await self._command(site, "submit", *submit_arguments)
        await self._command(site, "submit again", *submit_arguments)
        named = (first.value["id"], "--workspace", "editors")
        commands = {
            "status": ("job", "status", *named),
            "answer": ("job", "answer", *named),
            "list": ("job", "list", "--workspace", "editors"),
            "other workspace": ("job", "status", named[0], "--workspace", "civil-protection"),
            "too large": (*submit, "--gang", str(NEVER_FITS)),
            "bad class": (*submit, "--class", "whenever"),
            "usage": ("job", "submit"),
            "unknown zone": ("zone", "out", "nowhere"),
        }
        async with trio.open_nursery() as nursery:
            for name, arguments in commands.items():
                nursery.start_soon(self._command, site, name, *arguments)
        await self._patch(site, recorder, "zone out", "out", ZONE)
        await trio.sleep(OUT_SECONDS)
        await self._patch(site, recorder, "zone in", "in")
        await self._command(site, "config show", "config", "show")
        await self._command(site, "site status", "status")

    async def _command(self, site: Site, name: str, *arguments: str) -> CommandResult:
        self.commands[name] = await run_command(site, *arguments)
        return self.commands[name]

    async def _patch(
        self, site: Site, recorder: Recorder, name: str, verb: str, *zones_out: str
    ) -> None:
        sent_at = now()
        observed = await self._command(site, name, "zone", verb, ZONE, "--wait", "10")
        version = observed.value["version"]
        patch = PatchObservation(
            observed.value["id"], version - 1, sent_at, now(), version, frozenset(zones_out)
        )
        recorder.history.patches.append(patch)

    async def _kill_owner(self, site: Site, recorder: Recorder, callers: Callers) -> None:
        """Kill the owner of the most zones while long jobs run."""
        worker = next(w for w, zone in recorder.history.zones_by_worker.items() if zone != ZONE)
        await recorder.mark_endpoint_leaving(worker)
        for number in range(16):
            callers.submit(borrowing_job(number, RUNNING_SECONDS))
        callers.submit({**guaranteed_job(1.0), "gang": NEVER_FITS})
        callers.submit(guaranteed_job(1.0), start_bound=CLAIM_BOUND_SECONDS)
        await trio.sleep(1.5)
        node, self.killed_zones = await site.node_with_most_zones()
        self.killed_at = now()
        await site.kill(node)
        await trio.sleep(1)

    async def _stop_owner(self, site: Site, recorder: Recorder, callers: Callers) -> None:
        """Stop an owner with SIGTERM while callers wait for replies from it."""
        node, _ = await site.node_with_most_zones()
        at = now()
        code = await site.stop_node(node)
        recorder.history.shutdowns.append(ShutdownObservation(node, at, code))
        self.in_progress_at_stop = sum(
            call.node == node and call.sent_at < at and (not call.ended_at or call.ended_at > at)
            for call in recorder.history.calls
        )


def running_tasks(history: History, zones: set[str], at: datetime) -> int:
    """Return the number of tasks that were running in these zones at a time."""
    running_by_task = Counter()
    for event in history.tasks:
        if history.zones_by_worker[event.worker] in zones and event.time < at:
            running_by_task[event.task] += 1 if event.event is TaskEventKind.STARTED else -1
    return running_by_task.total()


class SiteTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.scenario = SiteScenario()
        trio.run(cls.scenario.run)
        cls.history = cls.scenario.history

    def test_work_is_in_progress_at_the_faults(self):
        scenario = self.scenario
        self.assertGreater(
            running_tasks(self.history, scenario.killed_zones, scenario.killed_at), 0
        )
        self.assertGreater(self.scenario.in_progress_at_stop, 0)

    def test_no_answer_is_lost(self):
        unanswered = [call.key for call in self.history.calls if call.outcome is None]
        self.assertEqual(unanswered, [])

    def test_no_result_is_duplicated(self):
        """No task succeeds twice, and no idempotency key has two calls."""
        ends = Counter()
        for event in self.history.tasks:
            if event.event is TaskEventKind.SUCCEEDED:
                ends[event.task] += 1
        self.assertEqual([task for task, count in ends.items() if count > 1], [])
        keys = Counter(call.key for call in self.history.calls)
        self.assertEqual([key for key, count in keys.items() if count > 1], [])

    def test_every_promise_is_checked_and_kept(self):
        for finding in check_all(self.history):
            with self.subTest(promise=finding.promise):
                self.assertGreater(finding.cases_checked, 0)
                self.assertEqual(finding.violations, ())

    def test_commands_end_with_their_exit_codes(self):
        codes = {
            "submit": DONE,
            "submit again": DONE,
            "status": DONE,
            "answer": DONE,
            "list": DONE,
            "other workspace": REFUSED,
            "too large": REFUSED,
            "bad class": USAGE,
            "usage": USAGE,
            "unknown zone": USAGE,
            "zone out": DONE,
            "zone in": DONE,
            "config show": DONE,
            "site status": DONE,
        }
        for name, code in codes.items():
            with self.subTest(command=name):
                observed = self.scenario.commands[name]
                self.assertEqual(observed.code, code, observed.errors)

    def test_commands_show_the_outcome_of_a_job(self):
        observed = {name: command.value for name, command in self.scenario.commands.items()}
        job = observed["submit"]
        self.assertEqual(job["outcome"]["outcome"], "succeeded")
        for name in ("submit again", "status", "answer"):
            with self.subTest(command=name):
                self.assertEqual(observed[name], job)
        self.assertIn(job["id"], [listed["id"] for listed in observed["list"]])

    def test_commands_show_the_configuration(self):
        observed = {name: command.value for name, command in self.scenario.commands.items()}
        self.assertEqual(observed["zone out"]["nodes_pending"], [])
        self.assertEqual(observed["config show"]["version"], observed["zone in"]["version"])
        self.assertEqual(observed["config show"]["zones"][ZONE]["mode"], "in-service")
