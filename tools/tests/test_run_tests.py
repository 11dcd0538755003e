"""Tests of the test runner and of what tools wait for."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

import trio

from tools.site import Site

RUNNER = Path(__file__).resolve().parents[1] / "run_tests.py"

BROKEN_SET_UP = """
import unittest

class BrokenSetUp(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        raise OSError("no port")

    def test_never_reached(self):
        pass

class Sound(unittest.TestCase):
    def test_passes(self):
        pass
"""


class RunTestsTest(unittest.TestCase):
    def test_a_broken_set_up_is_a_failure_and_takes_no_passed_test_away(self):
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "broken_set_up.py").write_text(BROKEN_SET_UP)
            run = subprocess.run(
                [sys.executable, RUNNER, "broken_set_up"],
                cwd=folder,
                env={"PYTHONPATH": folder},
                capture_output=True,
                text=True,
                timeout=60,
            )
        self.assertEqual(1, run.returncode)
        self.assertEqual("1 passed, 1 failed", run.stdout.splitlines()[-1])


class SiteReadinessTest(unittest.TestCase):
    def test_a_site_of_which_no_node_replies_has_no_owners(self):
        async def refuse(address, method, path):
            return SimpleNamespace(status=503, body={})

        site = object.__new__(Site)
        site.files = SimpleNamespace(http_by_id={"n1": "127.0.0.1:1"})
        site.client = SimpleNamespace(call_at=refuse)
        self.assertFalse(trio.run(site._all_owned))


if __name__ == "__main__":
    unittest.main()
