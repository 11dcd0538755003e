"""Declaration of one setting: default, meaning and allowed values."""

from ipaddress import ip_address
from typing import Any

import attrs

from mimosapoint.codec.rules import RULE_KEY, Rule, between, identifier, one_of

__all__ = ["address", "between", "identifier", "setting", "one_of", "rule_of", "section"]

PORT_MAX = 65_535
METADATA_DOC = "doc"


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= PORT_MAX


def address() -> Rule:
    """Allow the address of a process."""
    return Rule(f"an IP number and a port of 1 to {PORT_MAX}, as in 127.0.0.1:21001", _is_address)


def setting(doc: str, rule: Rule, default: Any = attrs.NOTHING) -> Any:
    """Declare a setting.

    :param doc: one sentence for operators.
    :param rule: allowed values.
    :param default: value when the file does not name the setting; required without one.
    """
    return attrs.field(default=default, metadata={METADATA_DOC: doc, RULE_KEY: rule})


def section(kind: type, doc: str) -> Any:
    """Declare a nested group of settings that may be left out.

    :param kind: class of the group.
    :param doc: one sentence for operators.
    """
    return attrs.field(factory=kind, metadata={METADATA_DOC: doc})


def rule_of(field: attrs.Attribute) -> Rule | None:
    """Return the rule of a setting, ``None`` for a group."""
    return field.metadata.get(RULE_KEY)
