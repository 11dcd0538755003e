"""What operators decide: one numbered document, changed by patches."""

from mimosapoint.configuration import _codec  # noqa: F401 (registers the JSON form)
from mimosapoint.configuration.document import (
    Capacity,
    Configuration,
    Guarantee,
    LeavingMode,
    Policies,
    Service,
    Workspace,
    Zone,
    ZoneMode,
)
from mimosapoint.configuration.patch import Patch, PatchStatus

__all__ = [
    "Capacity",
    "Configuration",
    "Guarantee",
    "LeavingMode",
    "Patch",
    "PatchStatus",
    "Policies",
    "Service",
    "Workspace",
    "Zone",
    "ZoneMode",
]
