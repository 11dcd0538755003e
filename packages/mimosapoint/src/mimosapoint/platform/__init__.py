"""Messages of the platform's HTTP interfaces."""

from mimosapoint.platform.messages import (
    EntryList,
    EntryMessage,
    GrantLeaseReply,
    GrantLeaseRequest,
    Outputs,
    Problem,
    VmListReply,
    WriteReply,
)
from mimosapoint.platform.problems import error_from_problem, problem_from_error

__all__ = [
    "EntryList",
    "EntryMessage",
    "GrantLeaseReply",
    "GrantLeaseRequest",
    "Outputs",
    "Problem",
    "VmListReply",
    "WriteReply",
    "error_from_problem",
    "problem_from_error",
]
