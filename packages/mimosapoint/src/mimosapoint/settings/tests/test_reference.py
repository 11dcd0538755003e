"""Tests of the list of settings."""

import unittest
from pathlib import Path

from mimosapoint.settings import settings_table

PAGE = Path(__file__).resolve().parents[6] / "docs" / "operators" / "settings.md"


class ReferenceTest(unittest.TestCase):
    def test_the_operators_page_shows_the_table_as_it_is(self):
        self.assertIn(settings_table(), PAGE.read_text())
