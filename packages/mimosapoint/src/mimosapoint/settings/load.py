"""Loading and validation of a node's settings file."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import yaml

from mimosapoint.codec.strict import DocumentInvalid, decode_document
from mimosapoint.errors import SettingsInvalid
from mimosapoint.settings.node import NodeSettings

__all__ = ["load_settings", "parse_settings"]


def _cross_field_errors(settings: NodeSettings) -> Iterator[str]:
    """Yield an error for each combination of settings that is inconsistent."""
    configuration = settings.configuration
    if configuration.poll_after >= configuration.freshness_bound:
        yield (
            "/configuration/poll_after_seconds: "
            "must be less than /configuration/freshness_bound_seconds"
        )
    if configuration.retry_min > configuration.retry_max:
        yield (
            "/configuration/retry_min_seconds: "
            "must not be more than /configuration/retry_max_seconds"
        )
    workers = settings.workers
    if workers.lease_wait + workers.call_timeout >= workers.lease_ttl:
        yield (
            "/workers/lease_wait_seconds: "
            "must be less than /workers/lease_ttl_seconds less /workers/call_timeout_seconds"
        )
    if settings.http_address == settings.peer_address:
        yield "/peer_address: must differ from /http_address"


def parse_settings(document: Any) -> NodeSettings:
    """Convert a settings document to typed settings.

    Combinations of settings are checked only if each setting is valid by itself.

    :param document: plain values as parsed from YAML.
    :raises SettingsInvalid: the document is invalid; lists all errors with their JSON pointers
        and the allowed values.
    """
    try:
        settings = decode_document(document, NodeSettings)
    except DocumentInvalid as error:
        raise SettingsInvalid(reasons=error.reasons) from error
    reasons = tuple(_cross_field_errors(settings))
    if reasons:
        raise SettingsInvalid(reasons=reasons)
    return settings


def load_settings(path: str | Path) -> NodeSettings:
    """Read a settings file.

    :param path: YAML file.
    :raises SettingsInvalid: the file cannot be read or its content is invalid; lists all errors.
    """
    try:
        document = yaml.safe_load(Path(path).read_text())
    except OSError as error:
        raise SettingsInvalid(f"{path}: {error.strerror}") from error
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise SettingsInvalid(f"{path}: not YAML: {error}") from error
    return parse_settings(document)
