"""Decoding of documents that people write: every fault at once, each with its JSON pointer."""

import math
from collections.abc import Iterator
from datetime import timedelta
from enum import Enum
from typing import Any, TypeVar

import attrs
import cattrs
from cattrs.errors import AttributeValidationNote, IterableValidationNote
from cattrs.gen import AttributeOverride, make_dict_structure_fn, override
from cattrs.preconf.orjson import make_converter

from mimosapoint.codec.rules import RULE_KEY, Rule

__all__ = ["DocumentInvalid", "DocumentError", "decode_document", "document_key", "pointer"]
T = TypeVar("T")

BY_ID_SUFFIX = "_by_id"
SECONDS_SUFFIX = "_seconds"
"""Ending of the key of a duration; its value is a number of seconds."""


@attrs.frozen
class DocumentError:
    """One fault of a document.

    :param path: keys and indices that lead to it.
    :param text: what is wrong.
    """

    path: tuple[object, ...]
    text: str

    @property
    def reason(self) -> str:
        """The fault as ``<JSON pointer>: <text>``."""
        return f"{pointer(*self.path) or '/'}: {self.text}"


class DocumentInvalid(Exception):
    """The document has faults.

    :param faults: every fault.
    """

    def __init__(self, faults: tuple[DocumentError, ...]):
        super().__init__("; ".join(fault.reason for fault in faults))
        self.faults = faults

    @property
    def reasons(self) -> tuple[str, ...]:
        """Every fault as text."""
        return tuple(fault.reason for fault in self.faults)


def pointer(*parts: object) -> str:
    """Return the JSON pointer (RFC 6901) made of the parts."""
    escaped = (str(part).replace("~", "~0").replace("/", "~1") for part in parts)
    return "".join(f"/{part}" for part in escaped)


def document_key(field: attrs.Attribute) -> str:
    """Return the key of a field in a document: no ``_by_id``, durations with their unit."""
    if field.type is timedelta:
        return field.name + SECONDS_SUFFIX
    return field.name.removesuffix(BY_ID_SUFFIX)


def _integer(value: Any, _: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError("must be a whole number")
    return value


def _number(value: Any, _: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise TypeError("must be a number")
    return float(value)


def _duration(value: Any, _: Any) -> timedelta:
    return timedelta(seconds=_number(value, float))


def _string(value: Any, _: Any) -> str:
    if not isinstance(value, str):
        raise TypeError("must be a string")
    return value


def _boolean(value: Any, _: Any) -> bool:
    if not isinstance(value, bool):
        raise TypeError("must be true or false")
    return value


HOOKS_BY_TYPE = {
    int: _integer,
    float: _number,
    str: _string,
    bool: _boolean,
    timedelta: _duration,
}


def _enum_member(value: Any, kind: type[Enum]) -> Enum:
    try:
        return kind(value)
    except ValueError:
        allowed = ", ".join(str(member.value) for member in kind)
        raise ValueError(f"must be one of {allowed}") from None


def _ruled_hook(rule: Rule, hook: Any) -> Any:
    def structure(value: Any, kind: Any) -> Any:
        made = hook(value, kind)
        if not rule.is_satisfied(made):
            raise ValueError(f"must be {rule.allowed}")
        return made

    return structure


def _override(field: attrs.Attribute, converter: cattrs.Converter) -> AttributeOverride:
    """Return how a field is read: its key and, when it has one, its rule."""
    key = document_key(field)
    rename = None if key == field.name else key
    rule = field.metadata.get(RULE_KEY)
    if rule is None:
        return override(rename=rename)
    return override(
        rename=rename, struct_hook=_ruled_hook(rule, converter.get_structure_hook(field.type))
    )


def _class_hook(kind: type, converter: cattrs.Converter) -> Any:
    """Return the hook of a class; unknown keys are refused."""
    fields = attrs.fields(attrs.resolve_types(kind))
    overrides = {field.name: _override(field, converter) for field in fields}
    hook = make_dict_structure_fn(kind, converter, _cattrs_forbid_extra_keys=True, **overrides)

    def structure(value: Any, _: Any) -> Any:
        if not isinstance(value, dict):
            raise TypeError("must be a mapping")
        return hook(value, kind)

    return structure


def _tuple_hook(kind: Any, converter: cattrs.Converter) -> Any:
    hook = converter.get_structure_hook(list[kind.__args__[0]])

    def structure(value: Any, _: Any) -> Any:
        if not isinstance(value, list):
            raise TypeError("must be a list")
        return tuple(hook(value, kind))

    return structure


def _is_enum(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, Enum)


def _is_tuple(kind: Any) -> bool:
    return getattr(kind, "__origin__", None) is tuple


def _is_mapping(kind: Any) -> bool:
    return getattr(kind, "__origin__", None) is dict


def _mapping_hook(kind: Any, converter: cattrs.Converter) -> Any:
    hook = converter.gen_structure_mapping(kind)

    def structure(value: Any, _: Any) -> Any:
        if not isinstance(value, dict):
            raise TypeError("must be a mapping")
        return hook(value, kind)

    return structure


def _make() -> cattrs.Converter:
    made = make_converter(forbid_extra_keys=True)
    for kind, hook in HOOKS_BY_TYPE.items():
        made.register_structure_hook(kind, hook)
    made.register_structure_hook_func(_is_enum, _enum_member)
    made.register_structure_hook_factory(attrs.has, _class_hook)
    made.register_structure_hook_factory(_is_tuple, _tuple_hook)
    made.register_structure_hook_factory(_is_mapping, _mapping_hook)
    return made


_converter = _make()


def _path_part(note: AttributeValidationNote | IterableValidationNote) -> object:
    """Return the key, index or field name that a note stands for."""
    if isinstance(note, AttributeValidationNote):
        suffix = SECONDS_SUFFIX if note.type is timedelta else ""
        return note.name.removesuffix(BY_ID_SUFFIX) + suffix
    return note.index


def _children(error: Exception) -> list[tuple[tuple[object, ...], Exception]]:
    """Return the errors one level down, each with the path that leads to it."""
    found: list[tuple[tuple[object, ...], Exception]] = []
    with_notes, without = error.group_exceptions()
    for child, note in with_notes:
        found.append(((_path_part(note),), child))
    found.extend(((), child) for child in without)
    return found


def _faults(error: Exception, path: tuple[object, ...] = ()) -> Iterator[DocumentError]:
    if isinstance(error, cattrs.BaseValidationError):
        for step, child in _children(error):
            yield from _faults(child, (*path, *step))
    elif isinstance(error, cattrs.ForbiddenExtraKeysError):
        for key in sorted(map(str, error.extra_fields)):
            yield DocumentError((*path, key), "unknown key")
    elif isinstance(error, KeyError):
        yield DocumentError(path, "required")
    else:
        yield DocumentError(path, str(error))


def decode_document(value: Any, kind: type[T]) -> T:
    """Turn plain JSON values into a typed item, with no coercion between types.

    :param value: the document.
    :param kind: expected ``attrs`` class.
    :raises DocumentInvalid: with every fault.
    """
    try:
        return _converter.structure(value, kind)
    except (cattrs.BaseValidationError, TypeError, ValueError, KeyError) as error:
        raise DocumentInvalid(tuple(_faults(error))) from error
