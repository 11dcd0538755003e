"""Support for tests: trio cases, histories of runs and a check for each promise."""

from mimosapoint.testing.case import TrioTestCase
from mimosapoint.testing.checks import Finding, check_all, checks_by_promise
from mimosapoint.testing.history import (
    CallSeen,
    ClaimSeen,
    History,
    LeavingSeen,
    PatchSeen,
    StopSeen,
    VersionSeen,
)

__all__ = [
    "CallSeen",
    "ClaimSeen",
    "Finding",
    "History",
    "LeavingSeen",
    "PatchSeen",
    "StopSeen",
    "TrioTestCase",
    "VersionSeen",
    "check_all",
    "checks_by_promise",
]
