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
from mimosapoint.configuration.homes import Home, HomeKey, homes
from mimosapoint.configuration.loading import load_configuration, load_patch
from mimosapoint.configuration.patch import Patch, PatchStatus
from mimosapoint.configuration.service import ConfigurationService
from mimosapoint.configuration.state import ConfigurationState, PatchRecord
from mimosapoint.configuration.validation import parse_configuration, problems, warnings

__all__ = [
    "Capacity",
    "Configuration",
    "ConfigurationService",
    "ConfigurationState",
    "Guarantee",
    "Home",
    "HomeKey",
    "LeavingMode",
    "Patch",
    "PatchRecord",
    "PatchStatus",
    "Policies",
    "Service",
    "Workspace",
    "Zone",
    "ZoneMode",
    "homes",
    "load_configuration",
    "load_patch",
    "parse_configuration",
    "problems",
    "warnings",
]
