"""Configuration set by operators: one versioned document, changed by patches."""

from mimosapoint.configuration import _codec  # noqa: F401 (registers the JSON hooks)
from mimosapoint.configuration.declared_allocations import (
    DeclaredAllocation,
    GuaranteeInstanceKey,
    allocate_guarantees,
)
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
from mimosapoint.configuration.loading import load_configuration, load_patch
from mimosapoint.configuration.patch import Patch, PatchStatus
from mimosapoint.configuration.service import ConfigurationService
from mimosapoint.configuration.state import ConfigurationState, PatchRecord
from mimosapoint.configuration.validation import (
    configuration_warnings,
    parse_configuration,
    validation_errors,
)

__all__ = [
    "Capacity",
    "Configuration",
    "ConfigurationService",
    "ConfigurationState",
    "Guarantee",
    "DeclaredAllocation",
    "GuaranteeInstanceKey",
    "LeavingMode",
    "Patch",
    "PatchRecord",
    "PatchStatus",
    "Policies",
    "Service",
    "Workspace",
    "Zone",
    "ZoneMode",
    "allocate_guarantees",
    "load_configuration",
    "load_patch",
    "parse_configuration",
    "validation_errors",
    "configuration_warnings",
]
