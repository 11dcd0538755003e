"""Tests of the build for the users' platform, also while nodes run from an earlier build."""

import re
import shutil
import subprocess
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
COPIED = ("deploy", "platform", "packages/mimosapoint", "packages/mimosapoint-node")
LOCK = "# no dependencies\n"
PIN = re.compile(r"^([\w.-]+)==(\S+)", re.MULTILINE)


class BuildTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        for name in COPIED:
            ignored = shutil.ignore_patterns("__pycache__")
            shutil.copytree(ROOT / name, self.root / name, ignore=ignored)
        # With the lock in place the build installs nothing, so no network is needed.
        (self.root / "requirements.lock").write_text(LOCK)
        (self.root / "target/deps").mkdir(parents=True)
        (self.root / "target/deps/.lock").write_text(LOCK)

    def build(self) -> Path:
        """Build, and return the folder that a node started after the build runs from."""
        subprocess.run(["sh", "deploy/build.sh"], cwd=self.root, check=True)
        return (self.root / "target/program").resolve()

    def test_a_node_needs_only_the_target_folder(self):
        program = self.build()
        shutil.rmtree(self.root / "packages")
        shutil.rmtree(self.root / "platform")
        for name in ("run.py", "mimosapoint_platform", "mimosapoint", "mimosapoint_node"):
            self.assertTrue((program / name).exists(), name)

    def test_a_build_does_not_change_files_of_running_nodes(self):
        earlier = self.build()
        before = {path: path.read_bytes() for path in earlier.rglob("*.py")}
        with (self.root / "packages/mimosapoint/src/mimosapoint/errors.py").open("a") as source:
            source.write("CHANGED = True\n")
        later = self.build()
        self.assertNotEqual(earlier, later)
        self.assertEqual(before, {path: path.read_bytes() for path in earlier.rglob("*.py")})
        self.assertIn("CHANGED", (later / "mimosapoint/errors.py").read_text())

    def test_a_build_of_the_same_sources_changes_nothing(self):
        self.assertEqual(self.build(), self.build())

    def test_a_build_keeps_library_and_adapter_at_one_version(self):
        earlier = self.build()
        with (self.root / "platform/mimosapoint_platform/settings.py").open("a") as source:
            source.write("CHANGED = True\n")
        self.build()
        self.assertNotIn("CHANGED", (earlier / "mimosapoint_platform/settings.py").read_text())


class LockTest(unittest.TestCase):
    def pins(self, name: str) -> dict[str, str]:
        """Return the versions of a lock file by package."""
        return dict(PIN.findall((ROOT / name).read_text()))

    def test_nodes_do_not_install_what_only_the_report_needs(self):
        script = (ROOT / "deploy/build.sh").read_text()
        self.assertEqual({"requirements.lock"}, set(re.findall(r"requirements[\w-]*\.\w+", script)))
        self.assertIn("matplotlib", self.pins("requirements-report.lock"))
        for package in ("matplotlib", "numpy", "pillow"):
            self.assertNotIn(package, self.pins("requirements.lock"))

    def test_both_lock_files_have_the_same_version_of_a_package(self):
        nodes, report = self.pins("requirements.lock"), self.pins("requirements-report.lock")
        common = nodes.keys() & report.keys()
        self.assertEqual({p: nodes[p] for p in common}, {p: report[p] for p in common})


if __name__ == "__main__":
    unittest.main()
