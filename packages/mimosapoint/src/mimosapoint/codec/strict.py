"""Strict decoding of hand-written documents; reports all errors with their JSON pointers."""

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
"""Suffix of the key of a duration, whose value is a number of seconds."""


@attrs.frozen
class DocumentError:
    """One error in a document.

    :param path: keys and indices from the root of the document to the invalid value.
    :param text: description of the error.
    """

    path: tuple[object, ...]
    text: str

    @property
    def reason(self) -> str:
        """The error as ``<JSON pointer>: <text>``."""
        return f"{pointer(*self.path) or '/'}: {self.text}"


class DocumentInvalid(Exception):
    """The document is invalid.

    :param errors: all errors in the document.
    """

    def __init__(self, errors: tuple[DocumentError, ...]):
        super().__init__("; ".join(error.reason for error in errors))
        self.errors = errors

    @property
    def reasons(self) -> tuple[str, ...]:
        """All errors as text."""
        return tuple(error.reason for error in self.errors)


def pointer(*parts: object) -> str:
    """Return the JSON pointer (RFC 6901) with the given parts."""
    escaped = (str(part).replace("~", "~0").replace("/", "~1") for part in parts)
    return "".join(f"/{part}" for part in escaped)


def document_key(field: attrs.Attribute) -> str:
    """Return the document key of a field: without ``_by_id``, with the unit of a duration."""
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


def _rule_checking_hook(rule: Rule, hook: Any) -> Any:
    def structure(value: Any, kind: Any) -> Any:
        result = hook(value, kind)
        if not rule.is_satisfied(result):
            raise ValueError(f"must be {rule.allowed}")
        return result

    return structure


def _field_override(field: attrs.Attribute, converter: cattrs.Converter) -> AttributeOverride:
    """Return the key of a field and, if the field has a rule, a hook that checks the rule."""
    key = document_key(field)
    rename = None if key == field.name else key
    rule = field.metadata.get(RULE_KEY)
    if rule is None:
        return override(rename=rename)
    return override(
        rename=rename,
        struct_hook=_rule_checking_hook(rule, converter.get_structure_hook(field.type)),
    )


def _class_hook(kind: type, converter: cattrs.Converter) -> Any:
    """Return the structure hook of an ``attrs`` class; it rejects unknown keys."""
    fields = attrs.fields(attrs.resolve_types(kind))
    overrides = {field.name: _field_override(field, converter) for field in fields}
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


def _make_converter() -> cattrs.Converter:
    strict_converter = make_converter(forbid_extra_keys=True)
    for kind, hook in HOOKS_BY_TYPE.items():
        strict_converter.register_structure_hook(kind, hook)
    strict_converter.register_structure_hook_func(_is_enum, _enum_member)
    strict_converter.register_structure_hook_factory(attrs.has, _class_hook)
    strict_converter.register_structure_hook_factory(_is_tuple, _tuple_hook)
    strict_converter.register_structure_hook_factory(_is_mapping, _mapping_hook)
    return strict_converter


_converter = _make_converter()


def _path_part(note: AttributeValidationNote | IterableValidationNote) -> object:
    """Return the document key or index that a cattrs note refers to."""
    if isinstance(note, AttributeValidationNote):
        suffix = SECONDS_SUFFIX if note.type is timedelta else ""
        return note.name.removesuffix(BY_ID_SUFFIX) + suffix
    return note.index


def _child_errors(error: Exception) -> list[tuple[tuple[object, ...], Exception]]:
    """Return the direct sub-errors, each with its path relative to the error."""
    children: list[tuple[tuple[object, ...], Exception]] = []
    with_notes, without_notes = error.group_exceptions()
    for child, note in with_notes:
        children.append(((_path_part(note),), child))
    children.extend(((), child) for child in without_notes)
    return children


def _document_errors(error: Exception, path: tuple[object, ...] = ()) -> Iterator[DocumentError]:
    if isinstance(error, cattrs.BaseValidationError):
        for parts, child in _child_errors(error):
            yield from _document_errors(child, (*path, *parts))
    elif isinstance(error, cattrs.ForbiddenExtraKeysError):
        for key in sorted(map(str, error.extra_fields)):
            yield DocumentError((*path, key), "unknown key")
    elif isinstance(error, KeyError):
        yield DocumentError(path, "required")
    else:
        yield DocumentError(path, str(error))


def decode_document(value: Any, kind: type[T]) -> T:
    """Convert plain JSON values to a typed item without type coercion.

    :param value: the document.
    :param kind: expected ``attrs`` class.
    :raises DocumentInvalid: with all errors in the document.
    """
    try:
        return _converter.structure(value, kind)
    except (cattrs.BaseValidationError, TypeError, ValueError, KeyError) as error:
        raise DocumentInvalid(tuple(_document_errors(error))) from error
