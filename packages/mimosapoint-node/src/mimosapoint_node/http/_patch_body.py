"""JSON format of configuration patches."""

from typing import Any

from mimosapoint.configuration import Patch

from mimosapoint_node.http._fields import Fields
from mimosapoint_node.http._json import read_object

__all__ = ["read_patch"]

OPERATIONS = ("add", "copy", "move", "remove", "replace", "test")
"""Operations of RFC 6902."""

FROM_OPERATIONS = ("copy", "move")
VALUE_OPERATIONS = ("add", "replace", "test")


def read_patch(body: bytes) -> Patch:
    """Return the patch that a body contains.

    :raises BadRequest: the patch is invalid; every error is listed.
    """
    fields = Fields(read_object(body))
    id = fields.name("id")
    base = fields.integer("base", minimum=0)
    operations = fields.items("operations")
    for index, operation in enumerate(operations):
        fields.errors.extend(_operation_errors(f"/operations/{index}", operation))
    fields.check()
    return Patch(id=id, base=base, operations=tuple(operations))


def _operation_errors(pointer: str, operation: Any) -> list[str]:
    """Return the errors in the format of one operation."""
    if not isinstance(operation, dict):
        return [f"{pointer}: not an object"]
    name = operation.get("op")
    errors = []
    if name not in OPERATIONS:
        errors.append(f"{pointer}/op: not one of {', '.join(OPERATIONS)}")
    if not _is_pointer(operation.get("path")):
        errors.append(f"{pointer}/path: not a JSON pointer")
    if name in FROM_OPERATIONS and not _is_pointer(operation.get("from")):
        errors.append(f"{pointer}/from: not a JSON pointer")
    if name in VALUE_OPERATIONS and "value" not in operation:
        errors.append(f"{pointer}/value: missing")
    return errors


def _is_pointer(value: Any) -> bool:
    return isinstance(value, str) and (value == "" or value.startswith("/"))
