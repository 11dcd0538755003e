"""Test support: trio test cases, histories of observations and a check for each promise."""

from mimosapoint.testing.case import TrioTestCase
from mimosapoint.testing.checks import CheckResult, check_all, checks_by_promise
from mimosapoint.testing.history import (
    CallObservation,
    GuaranteedStartObservation,
    History,
    LeavingObservation,
    PatchObservation,
    ShutdownObservation,
    VersionObservation,
)

__all__ = [
    "CallObservation",
    "GuaranteedStartObservation",
    "CheckResult",
    "History",
    "LeavingObservation",
    "PatchObservation",
    "ShutdownObservation",
    "TrioTestCase",
    "VersionObservation",
    "check_all",
    "checks_by_promise",
]
