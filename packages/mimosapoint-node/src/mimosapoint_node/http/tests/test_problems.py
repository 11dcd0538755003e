"""Tests of the conversion of errors to problem replies."""

import re
from datetime import timedelta
from pathlib import Path

import orjson
from mimosapoint import errors
from mimosapoint.errors import ConfigurationInvalid, ConfigurationStale, MimosapointError
from mimosapoint.testing import TrioTestCase

from mimosapoint_node.http.problems import STATUS_BY_CODE, problem_reply
from mimosapoint_node.http.tests.fakes import AppFixture, job_body, key

CASES = (
    (errors.IdempotencyConflict(), 409, None),
    (errors.NeverFits(), 422, None),
    (errors.UnknownWorkspace(), 422, None),
    (errors.UnknownService(), 422, None),
    (errors.Overloaded(retry_after=timedelta(seconds=2.1)), 429, "3"),
    (errors.Overloaded(), 429, "1"),
    (errors.StoreUnavailable(retry_after=timedelta(milliseconds=1)), 503, "1"),
    (errors.OutcomeUnknown(), 503, "1"),
    (errors.NotOwner("z"), 503, "1"),
    (KeyError("secret"), 500, None),
)


class ProblemTest(TrioTestCase):
    def test_every_error_has_a_status(self):
        error_types = [getattr(errors, name) for name in errors.__all__]
        self.assertEqual({error_type.code for error_type in error_types}, set(STATUS_BY_CODE))

    def test_the_operators_page_names_every_code_with_its_status(self):
        page = Path(__file__).parents[6] / "docs" / "operators" / "api.md"
        rows = re.findall(r"^\| (\d{3}) \| (`[^|]*) \|", page.read_text(), re.MULTILINE)
        named = {code: int(status) for status, row in rows for code in re.findall("[a-z-]+", row)}
        self.assertEqual(STATUS_BY_CODE, named)

    async def test_errors_of_the_api_become_problems(self):
        async with AppFixture().served() as node:
            for error, status, retry_after in CASES:
                with self.subTest(error=error):
                    node.jobs.error = error
                    reply = await node.call("POST", "/v1/jobs", job_body(), key())
                    body = orjson.loads(reply[2])
                    self.assertEqual((status, retry_after), (reply[0], reply[1].get("retry-after")))
                    self.assertEqual(getattr(error, "code", "internal"), body["code"])
                    self.assertNotIn(b"secret", reply[2])
            self.assertEqual(["http-error"], [name for name, _ in node.telemetry.events])
            labels = {"route": "/v1/jobs", "status": "500"}
            self.assertIn(("http_requests_total", labels), node.telemetry.counts)

    def test_the_body_contains_the_fields_of_the_error(self):
        stale = orjson.loads(problem_reply(ConfigurationStale(9)).body)
        self.assertEqual((409, 9), (stale["status"], stale["current"]))
        invalid = problem_reply(ConfigurationInvalid(reasons=("/zones/a: gone", "/x: bad")))
        self.assertEqual(2, len(orjson.loads(invalid.body)["reasons"]))
        unknown = orjson.loads(problem_reply(errors.OutcomeUnknown("lost")).body)
        self.assertIn("same Idempotency-Key", unknown["detail"])
        self.assertEqual(500, problem_reply(MimosapointError()).status)
