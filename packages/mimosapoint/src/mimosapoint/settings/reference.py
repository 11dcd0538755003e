"""Reference of all settings, for the command line and the documentation."""

from collections.abc import Iterator
from datetime import timedelta
from typing import Any

import attrs

from mimosapoint.codec.strict import document_key
from mimosapoint.settings._declaration import METADATA_DOC, rule_of
from mimosapoint.settings.node import NodeSettings

__all__ = ["SettingReference", "settings_reference", "settings_table"]

UNITS_BY_SUFFIX = {"_seconds": "seconds", "_bytes": "bytes", "_per_second": "per second"}


@attrs.frozen
class SettingReference:
    """Reference entry of one setting.

    :param key: path of the setting, joined by dots.
    :param type: name of the value type.
    :param unit: unit of the value; empty if it has none.
    :param default: default value; ``None`` if the setting is required.
    :param allowed: description of the allowed values.
    :param doc: description of the setting.
    """

    key: str
    type: str
    unit: str
    default: Any
    allowed: str
    doc: str


def _unit(key: str) -> str:
    return next((unit for suffix, unit in UNITS_BY_SUFFIX.items() if key.endswith(suffix)), "")


def _default(field: attrs.Attribute) -> Any:
    if field.default is attrs.NOTHING:
        return None
    if isinstance(field.default, timedelta):
        return field.default.total_seconds()
    return field.default


def _reference(kind: type, path: tuple[str, ...] = ()) -> Iterator[SettingReference]:
    for field in attrs.fields(attrs.resolve_types(kind)):
        key = ".".join((*path, document_key(field)))
        rule = rule_of(field)
        if rule is None:
            yield from _reference(field.type, (*path, field.name))
            continue
        type_name = "number" if field.type in (timedelta, float) else field.type.__name__
        doc = field.metadata[METADATA_DOC]
        yield SettingReference(key, type_name, _unit(key), _default(field), rule.allowed, doc)


def settings_reference() -> list[SettingReference]:
    """Return all settings in declaration order."""
    return list(_reference(NodeSettings))


def settings_table() -> str:
    """Return all settings as a Markdown table."""
    lines = ["| Key | Type | Unit | Default | Allowed | Meaning |", "|---|---|---|---|---|---|"]
    for entry in settings_reference():
        default = "required" if entry.default is None else f"{entry.default}"
        cells = (f"`{entry.key}`", entry.type, entry.unit, default, entry.allowed, entry.doc)
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)
