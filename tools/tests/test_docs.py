"""Tests that the documentation matches the repository."""

import doctest
import pkgutil
import re
import unittest
from pathlib import Path

from mimosapoint.telemetry import events_by_name, metrics_by_name

from tools.docs import event_table, metric_table

ROOT = Path(__file__).resolve().parents[2]
DOCS = ROOT / "docs"
REFERENCE = DOCS / "operators" / "logs-and-metrics.md"
PAGES = (ROOT / "README.md", *sorted(DOCS.rglob("*.md")), ROOT / "examples" / "README.md")

REMEDY = "print the tables by python -m tools.docs and put them into the page"
INDEX_REMEDY = "add the page to docs/README.md"

LINK = re.compile(r"\]\(([^)\s]+)\)")
SPAN = re.compile(r"`([^`\n]+)`")
HEADING = re.compile(r"^#+ +(.*)$", re.MULTILINE)
REGISTRY_HOST = re.compile(r"\b(?:pypi|pythonhosted|artifactory|nexus)\b[\w.-]*", re.IGNORECASE)
MACHINE_PATH = re.compile(r"(?<![\w.])/(?:work|home|root|tmp|Users)/")
TEST_NAME = re.compile(r"\b((?:mimosapoint\w*|tools)(?:\.\w+)*\.tests\.test_\w+\.\w+\.test_\w+)")
MODULE_NAME = re.compile(r"`(mimosapoint(?:_\w+)?(?:\.\w+)+)`")
USED_EVENT = re.compile(r"telemetry\.event\(\s*\"([^\"]+)\"")
USED_METRIC = re.compile(r"telemetry\.(?:count|gauge|observe)\(\s*\"([^\"]+)\"")
FILE_ROOTS = ("docs/", "examples/", "packages/", "tools/", "benchmarks/", ".ci/")
FILE_PATH = re.compile(r"^[\w./-]+$")


def anchor(heading: str) -> str:
    """Return the HTML anchor of a heading."""
    plain = re.sub(r"[^\w\- ]", "", heading.replace("`", "").lower())
    return plain.strip().replace(" ", "-")


def anchors(page: Path) -> set[str]:
    return {anchor(heading) for heading in HEADING.findall(page.read_text())}


def tests_in(suite: unittest.TestSuite):
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from tests_in(test)
        else:
            yield test


class DocsCase(unittest.TestCase):
    def check_each_page(self, check):
        for page in PAGES:
            with self.subTest(page=str(page.relative_to(ROOT))):
                check(page, page.read_text())


class ReferenceTest(DocsCase):
    def test_the_page_shows_every_metric_as_declared(self):
        self.assertIn(metric_table(), REFERENCE.read_text(), REMEDY)

    def test_the_page_shows_every_event_as_declared(self):
        self.assertIn(event_table(), REFERENCE.read_text(), REMEDY)

    def test_every_name_in_the_code_is_declared(self):
        for source in sorted(ROOT.glob("packages/*/src/**/*.py")):
            if "tests" in source.parts:
                continue
            text = source.read_text()
            with self.subTest(source=source.name):
                self.assertLessEqual(set(USED_EVENT.findall(text)), events_by_name.keys())
                self.assertLessEqual(set(USED_METRIC.findall(text)), metrics_by_name.keys())


class NamesTest(DocsCase):
    def test_every_link_has_a_target(self):
        self.check_each_page(self.check_links)

    def check_links(self, page, text):
        for link in LINK.findall(text):
            if "://" in link:
                continue
            path, _, fragment = link.partition("#")
            target = (page.parent / path).resolve() if path else page
            self.assertTrue(target.exists(), link)
            if fragment:
                self.assertIn(fragment, anchors(target), link)

    def test_every_page_is_in_the_index(self):
        index = (DOCS / "README.md").read_text()
        for page in sorted(DOCS.rglob("*.md")):
            name = str(page.relative_to(DOCS))
            with self.subTest(page=name):
                self.assertTrue(name == "README.md" or f"({name})" in index, INDEX_REMEDY)

    def test_every_named_file_exists(self):
        self.check_each_page(self.check_files)

    def check_files(self, page, text):
        for name in SPAN.findall(text):
            if name.startswith(FILE_ROOTS) and FILE_PATH.match(name):
                self.assertTrue((ROOT / name).exists(), name)

    def test_every_make_target_exists(self):
        self.check_each_page(self.check_targets)

    def check_targets(self, page, text):
        targets = set(re.findall(r"^([a-z]+):", (ROOT / "Makefile").read_text(), re.MULTILINE))
        for line in text.splitlines():
            for target in re.findall(r"`make ([a-z]+)", line):
                self.assertIn(target, targets, line)

    def test_every_module_exists(self):
        self.check_each_page(self.check_modules)

    def check_modules(self, page, text):
        for name in MODULE_NAME.findall(text):
            try:
                pkgutil.resolve_name(name)
            except (ImportError, AttributeError) as error:
                self.fail(f"{name}: {error}")

    def test_every_named_test_can_be_loaded(self):
        self.check_each_page(self.check_tests)

    def check_tests(self, page, text):
        for name in TEST_NAME.findall(text):
            loaded = unittest.TestLoader().loadTestsFromName(name)
            self.assertEqual([name], [test.id() for test in tests_in(loaded)])

    def test_every_promise_names_tests_and_a_verdict(self):
        text = (DOCS / "PROMISES.md").read_text()
        sections = re.split(r"^## (?=\d\. )", text, flags=re.MULTILINE)[1:]
        self.assertEqual(9, len(sections))
        for section in sections:
            with self.subTest(promise=section.splitlines()[0]):
                self.assertTrue(TEST_NAME.search(section))
                verdict = r"\| Verdict \| \*\*(proved|partial|not proved)\*\*"
                self.assertTrue(re.search(verdict, section))


class ContentTest(DocsCase):
    def test_no_registry_host_and_no_machine_path(self):
        self.check_each_page(self.check_hosts)

    def check_hosts(self, page, text):
        self.assertIsNone(REGISTRY_HOST.search(text))
        self.assertIsNone(MACHINE_PATH.search(text))

    def test_examples_marked_as_doctest_pass(self):
        self.check_each_page(self.check_doctest)

    def check_doctest(self, page, text):
        examples = doctest.DocTestParser().get_doctest(text, {}, page.name, str(page), 0)
        if examples.examples:
            runner = doctest.DocTestRunner(verbose=False)
            output = []
            self.assertEqual(0, runner.run(examples, out=output.append).failed, "".join(output))
