"""Tests of the commands for callers."""

from pathlib import Path
from tempfile import TemporaryDirectory

import orjson
from mimosapoint.errors import NeverFits, Overloaded
from mimosapoint.model import Failed, Succeeded

from mimosapoint_cli.tests.cli_case import CliCase, app_fixture

JOB = "mvd-centro~1-a"
SUBMIT = "job submit --service s --json"


class JobCommandsTest(CliCase):
    async def test_job_lifecycle(self):
        async with app_fixture().served() as node:
            flags = " --class urgent --gang 4 --accelerators 8 --run-time 30 --repeatable false"
            command = [*(SUBMIT + flags).split(), "--payload", '{"a": [true, 1]}', "--key", "k1"]
            code, out, err = await self.run_command(command, node)
            self.assertEqual((0, JOB), (code, orjson.loads(out)["id"]))
            self.assertIn("idempotency-key: k1", err)
            request = node.jobs.requests[0]
            self.assertEqual((4, 30.0), (request.gang, request.run_time))
            self.assertEqual(8, request.shape.accelerators)
            self.assertEqual(("k1", False), (request.idempotency_key, request.repeatable))
            self.assertEqual({"a": [True, 1]}, request.payload)
            steps = (
                (f"job status {JOB}", 0, "queued"),
                ("job list", 0, JOB),
                (f"job answer {JOB} --wait 0.05", 5, "queued"),
                (f"job status {JOB} --workspace other", 3, ""),
            )
            for command, expected, expected_output in steps:
                with self.subTest(command=command):
                    code, out, _ = await self.run_command(command, node)
                    self.assertEqual(expected, code)
                    self.assertIn(expected_output, out)
            self.assertEqual(0, (await self.run_command(f"job cancel {JOB}", node))[0])
            self.assertEqual(1, (await self.run_command(f"job answer {JOB}", node))[0])

    async def test_the_exit_code_reflects_the_outcome(self):
        for outcome, expected in ((Succeeded((1,)), 0), (Failed("task-failed"), 1)):
            with self.subTest(outcome=outcome):
                async with app_fixture().served() as node:
                    self.assertEqual(0, (await self.run_command(SUBMIT, node))[0])
                    node.jobs.end(JOB, outcome)
                    code, _, _ = await self.run_command(f"job answer {JOB} --wait 9", node)
                    self.assertEqual(expected, code)

    async def test_flags_override_the_fields_of_a_file(self):
        with TemporaryDirectory() as directory:
            path = Path(directory, "job.yaml")
            path.write_text(
                "service: s\nworkspace: other\ngang: 2\nshape: {slots: 2, cores: 4}\n"
                "start_by: 2026-01-02T03:04:05Z\n"
            )
            async with app_fixture().served() as node:
                command = f"job submit --file {path} --cores 9 --workspace w"
                self.assertEqual(0, (await self.run_command(command, node))[0])
                request = node.jobs.requests[0]
                self.assertEqual(("w", 2), (request.workspace, request.gang))
                self.assertEqual((2, 9), (request.shape.slots, request.shape.cores))
                self.assertEqual("2026-01-02T03:04:05+00:00", request.start_by.isoformat())

    async def test_refusals(self):
        cases = ((NeverFits("too large"), 3), (Overloaded("full"), 3), (KeyError("x"), 3))
        async with app_fixture().served() as node:
            for error, expected in cases:
                with self.subTest(error=error):
                    node.jobs.error = error
                    code, out, err = await self.run_command(SUBMIT, node)
                    self.assertEqual((expected, ""), (code, out))
                    self.assertIn(getattr(error, "code", "internal"), err)
                    self.assertNotIn("Traceback", err)
