"""Settings of one node, read from a YAML file and validated as a whole."""

from mimosapoint.settings._declaration import address, between, identifier, one_of, section, setting
from mimosapoint.settings.load import load_settings, parse_settings
from mimosapoint.settings.node import NodeSettings
from mimosapoint.settings.reference import SettingReference, settings_reference, settings_table
from mimosapoint.settings.sections import (
    ConfigurationSettings,
    LimitSettings,
    OwnerSettings,
    PeerSettings,
    StoreSettings,
    TelemetrySettings,
    WorkerSettings,
)

__all__ = [
    "ConfigurationSettings",
    "LimitSettings",
    "NodeSettings",
    "OwnerSettings",
    "PeerSettings",
    "SettingReference",
    "StoreSettings",
    "TelemetrySettings",
    "WorkerSettings",
    "address",
    "between",
    "identifier",
    "setting",
    "load_settings",
    "one_of",
    "parse_settings",
    "section",
    "settings_reference",
    "settings_table",
]
