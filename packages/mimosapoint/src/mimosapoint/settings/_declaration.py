"""Declaration of settings: default, description and allowed values."""

from ipaddress import ip_address
from typing import Any

import attrs

from mimosapoint.codec.rules import RULE_KEY, Rule, between, identifier, one_of

__all__ = ["address", "between", "identifier", "setting", "one_of", "rule_of", "section"]

PORT_MAX = 65_535
METADATA_DOC = "doc"
"""Metadata key of the description of a setting or group."""


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= PORT_MAX


def address() -> Rule:
    """Allow an IP address and port, as in ``127.0.0.1:21001`` or ``[::1]:21001``."""
    return Rule(f"an IP number and a port of 1 to {PORT_MAX}, as in 127.0.0.1:21001", _is_address)


def setting(doc: str, rule: Rule, default: Any = attrs.NOTHING) -> Any:
    """Declare a setting.

    :param doc: description for operators, one sentence.
    :param rule: allowed values.
    :param default: value if the file omits the setting; without a default it is required.
    """
    return attrs.field(default=default, metadata={METADATA_DOC: doc, RULE_KEY: rule})


def section(kind: type, doc: str) -> Any:
    """Declare a nested, optional group of settings.

    :param kind: class of the group.
    :param doc: description for operators, one sentence.
    """
    return attrs.field(factory=kind, metadata={METADATA_DOC: doc})


def rule_of(field: attrs.Attribute) -> Rule | None:
    """Return the rule of a setting, or ``None`` for a group."""
    return field.metadata.get(RULE_KEY)
