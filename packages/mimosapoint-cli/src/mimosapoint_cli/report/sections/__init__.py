"""Sections of the page; importing a module registers its section."""

from mimosapoint_cli.report.sections import (  # noqa: F401 (fill the registry)
    capacity,
    configuration_age,
    refusals,
    slowest_decisions,
    store_access,
    take_overs,
    thrown_away_work,
    waiting_times,
)
from mimosapoint_cli.report.sections.core import Section, page_section, section_types_by_name

__all__ = ["Section", "page_section", "section_types_by_name"]
