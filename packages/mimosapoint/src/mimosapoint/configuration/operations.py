"""Application of patches to a configuration."""

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
    """Return the JSON document of a configuration, including default values."""
    return orjson.loads(encode(configuration))


def _apply_operations(document: dict[str, Any], patch: Patch) -> Any:
    """Return the document with the operations of a patch applied.

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


def _immutable_values(document: dict[str, Any]) -> Iterator[tuple[str, Any]]:
    """Yield the JSON pointer and the value of each field that a patch cannot change."""
    yield "/version", document["version"]
    for group in ("zones", "workspaces"):
        for id, item in sorted(document[group].items()):
            yield pointer(group, id, "region"), item["region"]
    for id, zone in sorted(document["zones"].items()):
        yield pointer("zones", id, "keeps_keys"), zone["keeps_keys"]


def _immutable_value_errors(before: dict[str, Any], after: Any) -> tuple[str, ...]:
    """Return an error for each changed field that a patch cannot change."""
    return tuple(
        f"{path}: cannot change from {value}"
        for path, value in _immutable_values(before)
        if jsonpointer.resolve_pointer(after, path, value) != value
    )


def _home_zone_errors(before: dict[str, Any], after: Any) -> Iterator[str]:
    """Yield an error for each change that would move idempotency keys to another home zone."""
    zones = after.get("zones") if isinstance(after, dict) else None
    if not isinstance(zones, dict):
        return
    region_by_home_zone = {
        id: zone["region"] for id, zone in before["zones"].items() if zone["keeps_keys"]
    }
    for id in sorted(region_by_home_zone.keys() - zones.keys()):
        yield f"{pointer('zones', id)}: cannot be dropped, since it keeps idempotency keys"
    for id in sorted(zones.keys() - before["zones"].keys()):
        zone = zones[id] if isinstance(zones[id], dict) else {}
        if zone.get("region") in region_by_home_zone.values() and zone.get("keeps_keys", True):
            path = pointer("zones", id, "keeps_keys")
            yield f"{path}: must be false for a zone that joins a region"


def apply_patch(before: Configuration, patch: Patch) -> Configuration:
    """Return the configuration version that results from a patch.

    :param before: base version of the patch.
    :raises ConfigurationInvalid: an operation cannot be applied, or the result is invalid, with
        all reasons.
    """
    document = to_document(before)
    patched = _apply_operations(document, patch)
    reasons = (
        *_immutable_value_errors(document, patched),
        *_home_zone_errors(document, patched),
    )
    after = parse_configuration(patched, earlier_reasons=reasons)
    return attrs.evolve(after, version=before.version + 1)
