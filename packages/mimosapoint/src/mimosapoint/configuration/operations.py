"""Changes of a configuration by the operations of a patch."""

from collections.abc import Iterator
from typing import Any

import attrs
import jsonpatch
import jsonpointer
import orjson

from mimosapoint.codec import encode
from mimosapoint.codec.strict import pointer
from mimosapoint.configuration.document import Configuration
from mimosapoint.configuration.patch import Patch
from mimosapoint.configuration.validation import parse_configuration
from mimosapoint.errors import ConfigurationInvalid

__all__ = ["apply_patch", "to_document"]


def to_document(configuration: Configuration) -> dict[str, Any]:
    """Return the JSON document of a configuration, defaults written out."""
    return orjson.loads(encode(configuration))


def _apply_operations(document: dict[str, Any], patch: Patch) -> Any:
    """Apply the operations.

    :raises ConfigurationInvalid: an operation cannot be applied.
    """
    for index, operation in enumerate(patch.operations):
        try:
            document = jsonpatch.JsonPatch([operation]).apply(document)
        except (jsonpatch.JsonPatchException, jsonpointer.JsonPointerException) as error:
            path = pointer("operations", index)
            raise ConfigurationInvalid(reasons=(f"{path}: {error}",)) from error
        except (TypeError, ValueError, KeyError, AttributeError) as error:
            path = pointer("operations", index)
            raise ConfigurationInvalid(reasons=(f"{path}: not an operation",)) from error
    return document


def _fixed_values(document: dict[str, Any]) -> Iterator[tuple[str, Any]]:
    """Yield the pointer and the value of what no patch may change."""
    yield "/version", document["version"]
    for group in ("zones", "workspaces"):
        for id, item in sorted(document[group].items()):
            yield pointer(group, id, "region"), item["region"]
    for id, zone in sorted(document["zones"].items()):
        yield pointer("zones", id, "keeps_keys"), zone["keeps_keys"]


def _changed_values(before: dict[str, Any], after: Any) -> tuple[str, ...]:
    """Return a reason for each changed value that no patch may change."""
    return tuple(
        f"{path}: cannot change from {value}"
        for path, value in _fixed_values(before)
        if jsonpointer.resolve_pointer(after, path, value) != value
    )


def _key_home_errors(before: dict[str, Any], after: Any) -> Iterator[str]:
    """Yield a reason for each change by which idempotency keys would get other homes."""
    zones = after.get("zones") if isinstance(after, dict) else None
    if not isinstance(zones, dict):
        return
    keeping = {id: zone["region"] for id, zone in before["zones"].items() if zone["keeps_keys"]}
    for id in sorted(keeping.keys() - zones.keys()):
        yield f"{pointer('zones', id)}: cannot be dropped, since it keeps idempotency keys"
    for id in sorted(zones.keys() - before["zones"].keys()):
        zone = zones[id] if isinstance(zones[id], dict) else {}
        if zone.get("region") in keeping.values() and zone.get("keeps_keys", True):
            path = pointer("zones", id, "keeps_keys")
            yield f"{path}: must be false for a zone that joins a region"


def apply_patch(before: Configuration, patch: Patch) -> Configuration:
    """Return the version that a patch makes.

    :param before: the version that the patch names as its base.
    :raises ConfigurationInvalid: with every reason.
    """
    old = to_document(before)
    new = _apply_operations(old, patch)
    known = (*_changed_values(old, new), *_key_home_errors(old, new))
    after = parse_configuration(new, earlier_reasons=known)
    return attrs.evolve(after, version=before.version + 1)
