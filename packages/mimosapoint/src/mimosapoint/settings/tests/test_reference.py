"""Tests of the settings reference."""

import unittest
from pathlib import Path

from mimosapoint.settings import settings_table

PAGE = Path(__file__).resolve().parents[6] / "docs" / "operators" / "settings.md"


class ReferenceTest(unittest.TestCase):
    def test_operators_page_contains_the_settings_table(self):
        self.assertIn(settings_table(), PAGE.read_text())
