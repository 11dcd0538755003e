"""Changes of a configuration by the operations of a patch."""

from typing import Any

import attrs
import jsonpatch
import jsonpointer
import orjson

from mimosapoint.codec import encode
from mimosapoint.codec.strict import DocumentInvalid, decode_document, pointer
from mimosapoint.configuration.document import Configuration
from mimosapoint.configuration.patch import Patch
from mimosapoint.configuration.validation import content_problems
from mimosapoint.errors import ConfigurationInvalid

__all__ = ["patched", "to_document"]


def to_document(configuration: Configuration) -> dict[str, Any]:
    """Return the JSON document of a configuration, defaults written out."""
    return orjson.loads(encode(configuration))


def _changed(document: dict[str, Any], patch: Patch) -> Any:
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


def _moved_regions(before: Configuration, after: Configuration) -> tuple[str, ...]:
    """Return a reason for each zone or workspace whose region changes."""
    pairs = (
        ("zones", before.zones_by_id, after.zones_by_id),
        ("workspaces", before.workspaces_by_id, after.workspaces_by_id),
    )
    return tuple(
        f"{pointer(group, id, 'region')}: cannot change from {old[id].region}"
        for group, old, new in pairs
        for id in sorted(old.keys() & new.keys())
        if old[id].region != new[id].region
    )


def _decoded(document: Any) -> Configuration:
    try:
        return decode_document(document, Configuration)
    except DocumentInvalid as error:
        raise ConfigurationInvalid(reasons=error.reasons) from error


def patched(before: Configuration, patch: Patch) -> Configuration:
    """Return the version that a patch makes.

    :param before: the version that the patch names as its base.
    :raises ConfigurationInvalid: with every reason.
    """
    after = _decoded(_changed(to_document(before), patch))
    reasons = (*_moved_regions(before, after), *content_problems(after))
    if after.version != before.version:
        reasons = ("/version: cannot be changed by a patch", *reasons)
    if reasons:
        raise ConfigurationInvalid(reasons=reasons)
    return attrs.evolve(after, version=before.version + 1)
