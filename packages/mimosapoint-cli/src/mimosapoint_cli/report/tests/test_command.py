"""Tests of the command and of the page that it writes."""

import builtins
import io
import re
import sys
import tempfile
from pathlib import Path
from unittest import mock
from xml.etree import ElementTree

from mimosapoint_cli.report.plots import Plotter
from mimosapoint_cli.report.tests.lines import hostile_lines, line
from mimosapoint_cli.tests.cli_case import CliCase

HOSTILE = '<script>alert("x")</script>&$\\frac{1}{2}$\x07'

EVENTS = (
    ("job-known", {"job": "j1", "priority": 1}),
    ("cell-claimed", {"epoch": 4}),
    ("cell-settled", {"epoch": 4}),
    ("take-over", {"epoch": 4, "part": "first-start", "seconds": 0.045}),
    ("configuration-in-force", {"version": 7}),
    ("unit-started", {"job": "j1", "run": 9, "tasks": 2, "waited": 1.25, "view_age": 0.5}),
    ("run-over", {"job": "j1", "run": 9, "end": "done", "reason": "reported", "percent": 100}),
    ("run-over", {"job": "j1", "run": 9, "end": "lapsed", "reason": "reported", "percent": 40}),
    ("unit-stopped", {"reason": "reclaim", "priority": 2, "lost_core_seconds": 120}),
    ("job-ended", {"job": "j1", "phase": "complete", "seconds": 61}),
    ("request-refused", {"status": 503, "error": "overloaded", "view_age": 12.5}),
    ("request-refused", {"status": 404, "error": "route-not-found", "view_age": None}),
    ("store-lost", {"part": "operators", "error": "store-timeout"}),
    ("worker-silent", {"worker": "w1", "assignments": 2}),
    ("starts-limited", {"lag": 0.75}),
)
LINES = [line(60 * number, event, **fields) for number, (event, fields) in enumerate(EVENTS)]

EXPECTED_IN_PAGE = (
    "Report of 2026-03-20 09:00:00 to 2026-03-20 09:14:00 UTC",
    "requests refused: overloaded (503)</td><td>1 (nodes: 1)",
    "largest age of a configuration view</td><td>12.5 s on node-1",
    "longest recovery after a claim</td><td>60 s",
    "longest time to the first start</td><td>0.045 s",
    "work of runs that were done or saved</td><td>0.0167 task-hours",
    "work thrown away by stops</td><td>120 core-seconds",
    "<td>priority 1</td>",
    "<td>reclaim</td>",
    "<td>operators</td>",
)


class ReportCase(CliCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        Plotter()  # The first import of matplotlib takes seconds, of the limit of one command.

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.page = self.folder / "page.html"

    def write(self, name, *lines):
        path = self.folder / name
        path.write_text("".join(f"{text}\n" for text in lines))
        return str(path)

    async def report(self, *paths):
        return await self.run_command(["report", *paths, "--output", str(self.page)])


class PageTest(ReportCase):
    async def test_each_section_shows_its_events(self):
        metrics = self.write(
            "node-1.prom",
            "# HELP mimosapoint_cell_decision_seconds Duration of one decision. Unit: seconds.",
            'mimosapoint_cell_decision_seconds_bucket{le="0.3"} 7',
            'mimosapoint_cell_decision_seconds_bucket{le="+Inf"} 7',
            "mimosapoint_cell_decision_seconds_sum 0.7",
            "mimosapoint_cell_decision_seconds_count 7",
        )
        code, out, err = await self.report(self.write("node-1.log", *LINES), metrics)
        self.assertEqual((0, ""), (code, err))
        self.assertIn(f"events: {len(LINES)}\nsamples: 4\nbroken: 0\n", out)
        text = self.page.read_text()
        for expected in (*EXPECTED_IN_PAGE, "slowest decision</td><td>≤ 0.3 s", "0.75 s"):
            self.assertIn(expected, text)

    async def test_plots_are_well_formed_and_their_ids_distinct(self):
        await self.report(self.write("node-1.log", *LINES))
        plots = re.findall(r"<figure>(.*?)</figure>", self.page.read_text(), re.DOTALL)
        self.assertGreater(len(plots), 8)
        ids = [e.get("id") for plot in plots for e in ElementTree.fromstring(plot).iter()]
        ids = [id for id in ids if id]
        self.assertEqual(len(ids), len(set(ids)))

    async def test_text_of_logs_is_escaped(self):
        keys = ("job", "error", "detail", "reason", "end", "part", "worker", "node", "priority")
        fields = {"status": 500, "waited": 1, "epoch": 1, "run": 1, "tasks": 1, "view_age": 1}
        fields |= dict.fromkeys(keys, HOSTILE)
        lines = [line(0, event, **fields) for event, _ in EVENTS]
        lines += [f"{HOSTILE} is broken", line(0, HOSTILE)]
        lines += [f'mimosapoint_cell_runs_over_total{{end="{HOSTILE[:8]}"}} 4']
        code, _, err = await self.report(self.write("<b>.log", *lines))
        self.assertEqual((0, ""), (code, err))
        text = self.page.read_text()
        self.assertIn("&lt;script&gt;", text)
        for forbidden in ("<script", "<b>"):
            self.assertNotIn(forbidden, text)

    async def test_hostile_lines_are_drawn_on_a_page_of_bounded_size(self):
        code, _, err = await self.report(self.write("a.log", *hostile_lines(2000)))
        self.assertEqual((0, ""), (code, err))
        self.assertLess(self.page.stat().st_size, 3_000_000)

    async def test_nodes_are_merged_by_time(self):
        started = line(0, "unit-started", run=1, tasks=1, waited=0)
        over = line(3600, "run-over", run=1, end="done", node="node-2")
        await self.report(self.write("b.log", over), self.write("c.log", started))
        self.assertIn("<td>1 task-hours</td>", self.page.read_text())


class InputTest(ReportCase):
    async def test_broken_lines_are_counted_and_named(self):
        good = line(0, "node-serving")
        bad = self.write("bad.log", good, "Traceback:", line(1, "unit-started", waited="soon"))
        long = self.write("long.log", good, "x" * 600_000 + " event=a", good)
        far = self.write("zfar.log", good, good.replace("2026", "2035"))
        binary = self.folder / "binary.log"
        binary.write_bytes(b"\xff\x00\xfe\n\r\n" + good.encode())
        code, out, _ = await self.report(bad, long, far, str(binary))
        self.assertEqual(0, code)
        self.assertIn("broken: 5\n", out)
        text = self.page.read_text()
        for expected in (
            f"<td>{bad}:2</td><td>neither an event nor a metric</td><td>Traceback:</td>",
            f"<td>{bad}:3</td><td>waited is not a number</td>",
            f"<td>{long}:2</td><td>longer than 262144 bytes</td>",
            f"<td>{far}:2</td><td>the time is more than 60 days from the first one</td>",
            f"<td>{binary}:1</td>",
        ):
            self.assertIn(expected, text)

    async def test_dropped_lines_and_unknown_events_are_told(self):
        path = self.write(
            "a.log", line(0, "node-serving"), "event=log-lines-dropped count=7", line(1, "new")
        )
        await self.report(path)
        self.assertIn("Nodes dropped 7 lines", self.page.read_text())
        self.assertIn("does not know: new.", self.page.read_text())

    async def test_standard_input_is_read_without_files(self):
        data = io.TextIOWrapper(io.BytesIO("\n".join(LINES).encode()))
        with mock.patch.object(sys, "stdin", data):
            code, out, _ = await self.report()
        self.assertEqual(0, code)
        self.assertIn(f"lines: {len(LINES)}\n", out)

    async def test_unreadable_and_empty_input(self):
        good, empty = self.write("good.log", *LINES), self.write("empty.log")
        useless = self.write("useless.log", "nothing", "more nothing")
        for paths, expected in (
            ((good, f"{good}.gone"), f"{good}.gone: No such file"),
            ((str(self.folder),), "Is a directory"),
            ((empty,), f"{empty}: no lines"),
            ((useless,), f"first line: {useless}:1: neither an event nor a metric"),
        ):
            with self.subTest(expected=expected):
                code, _, err = await self.report(*paths)
                self.assertEqual(2, code, err)
                self.assertIn(expected, err)
                self.assertFalse(self.page.exists())

    async def test_a_terminal_is_not_read(self):
        with mock.patch.object(sys, "stdin", mock.Mock(isatty=lambda: True)):
            code, _, err = await self.report()
        self.assertEqual(2, code)
        self.assertIn("name log files", err)

    async def test_a_page_that_cannot_be_written(self):
        self.page = self.folder / "gone" / "page.html"
        code, _, err = await self.report(self.write("a.log", *LINES))
        self.assertEqual(2, code)
        self.assertIn("No such file", err)

    async def test_without_the_plot_library_the_extra_is_named(self):
        import_module = builtins.__import__

        def refuse(name, *arguments, **options):
            if name.partition(".")[0] == "matplotlib":
                raise ImportError(f"No module named {name!r}")
            return import_module(name, *arguments, **options)

        with mock.patch.object(builtins, "__import__", refuse):
            code, _, err = await self.report(self.write("a.log", *LINES))
        self.assertEqual(2, code)
        self.assertIn("mimosapoint-cli[report]", err)
