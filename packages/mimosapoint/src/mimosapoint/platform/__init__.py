"""Messages of the platform's HTTP interfaces."""

from mimosapoint.platform.messages import (
    Entries,
    EntryMessage,
    LeaseGrant,
    LeaseTtl,
    Outputs,
    Problem,
    VmTable,
    Written,
)
from mimosapoint.platform.problems import error_of, problem_of

__all__ = [
    "Entries",
    "EntryMessage",
    "LeaseGrant",
    "LeaseTtl",
    "Outputs",
    "Problem",
    "VmTable",
    "Written",
    "error_of",
    "problem_of",
]
