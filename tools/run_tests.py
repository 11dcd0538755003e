"""Run the tests of all packages and print a last line 'N passed, N failed'.

Tests listed in KNOWN-RED.txt may fail; they are printed. Arguments select the tests to run.
"""

import faulthandler
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"

TIME_LIMIT_SECONDS = 1800
"""Time after which a run prints the stack of each thread and ends; a test that hangs is then seen
with its place."""


def known_failures() -> set[str]:
    """Return the ids of the tests listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def load_suite(names: list[str]) -> unittest.TestSuite:
    """Return the named tests, or every test of every package."""
    loader = unittest.TestLoader()
    if names:
        sys.path.insert(0, str(ROOT))
        return loader.loadTestsFromNames(names)
    suite = unittest.TestSuite()
    for source in sorted((ROOT / "packages").glob("*/src")):
        for package in sorted(source.iterdir()):
            if (package / "__init__.py").exists():
                suite.addTests(loader.discover(str(package), "test_*.py", str(source)))
    adapter = ROOT / "platform"
    suite.addTests(
        loader.discover(str(adapter / "mimosapoint_platform"), "test_*.py", str(adapter))
    )
    suite.addTests(loader.discover(str(ROOT / "tools" / "tests"), "test_*.py", str(ROOT)))
    return suite


def _test_id(test: unittest.TestCase) -> str:
    """Return the id of a test, or of the test that a subtest belongs to."""
    return getattr(test, "test_case", test).id()


def _is_test(item: unittest.TestCase) -> bool:
    """Return whether an item with an error is a test, not the set-up of a class or module."""
    return isinstance(getattr(item, "test_case", item), unittest.TestCase)


def main() -> int:
    """Run the tests and return the exit code."""
    faulthandler.dump_traceback_later(TIME_LIMIT_SECONDS, exit=True)
    known = known_failures()
    result = unittest.TextTestRunner(verbosity=1).run(load_suite(sys.argv[1:]))
    faulthandler.cancel_dump_traceback_later()
    failing = [test for test, _ in (*result.failures, *result.errors)]
    failing += result.unexpectedSuccesses
    failed = {_test_id(item) for item in failing}
    failed_tests = {_test_id(item) for item in failing if _is_test(item)}
    for name in sorted(failed & known):
        print(f"known red: {name}")
    unexpected = failed - known
    for name in sorted(unexpected):
        print(f"failed: {name}")
    print(f"{result.testsRun - len(failed_tests)} passed, {len(unexpected)} failed")
    return 1 if unexpected or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
