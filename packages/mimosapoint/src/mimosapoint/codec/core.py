"""JSON codec for typed values, based on cattrs and orjson."""

from collections.abc import Callable
from datetime import datetime, timedelta
from enum import Enum
from typing import Any, TypeVar, get_args, get_origin

import attrs
import cattrs
import orjson
from cattrs.preconf.orjson import make_converter
from cattrs.strategies import configure_tagged_union

from mimosapoint.errors import CodecError
from mimosapoint.model import Outcome

__all__ = ["converter", "decode", "encode", "from_value", "to_json", "to_value"]

T = TypeVar("T")

CONVERSION_ERRORS = (
    cattrs.BaseValidationError,
    ArithmeticError,
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
)
"""Errors of the conversion of values of another type or out of range."""

OUTCOME_TAG = "outcome"
"""JSON key that names the class of an outcome."""


def _kebab_case(cls: type) -> str:
    """Return the class name in kebab case, as in ``may-have-run``."""
    letters = ("-" + c.lower() if c.isupper() else c for c in cls.__name__)
    return "".join(letters).lstrip("-")


def _make_converter() -> cattrs.Converter:
    json_converter = make_converter(forbid_extra_keys=False, omit_if_default=True)
    json_converter.register_unstructure_hook(timedelta, lambda value: value.total_seconds())
    json_converter.register_structure_hook(timedelta, lambda value, _: timedelta(seconds=value))
    json_converter.register_unstructure_hook(datetime, lambda value: value.isoformat())
    json_converter.register_structure_hook(datetime, lambda value, _: datetime.fromisoformat(value))
    configure_tagged_union(Outcome, json_converter, tag_name=OUTCOME_TAG, tag_generator=_kebab_case)
    _register_optional(json_converter, Outcome)
    json_converter.register_unstructure_hook_factory(
        _has_enum_keys, lambda kind: _enum_key_hook(json_converter, kind)
    )
    return json_converter


def _has_enum_keys(kind: Any) -> bool:
    """Return whether a type is a dictionary with enumeration members as keys."""
    keys = get_args(kind)[:1] if get_origin(kind) is dict else ()
    return bool(keys) and isinstance(keys[0], type) and issubclass(keys[0], Enum)


def _enum_key_hook(json_converter: cattrs.Converter, kind: Any) -> Callable[[Any], Any]:
    """Return an unstructure hook that writes enumeration keys as their values."""
    value_type = get_args(kind)[1]
    unstructure = json_converter.get_unstructure_hook(value_type)
    return lambda items: {key.value: unstructure(item) for key, item in items.items()}


def _register_optional(json_converter: cattrs.Converter, union: Any) -> None:
    """Register hooks for ``union | None``, which cattrs treats as a different type."""

    def unstructure(value: Any) -> Any:
        return None if value is None else json_converter.unstructure(value, unstructure_as=union)

    def structure(value: Any, _: Any) -> Any:
        return None if value is None else json_converter.structure(value, union)

    json_converter.register_unstructure_hook(union | None, unstructure)
    json_converter.register_structure_hook(union | None, structure)


converter = _make_converter()


def to_value(item: Any, kind: Any = None) -> Any:
    """Convert a typed item to plain JSON values.

    :param item: an ``attrs`` instance.
    :param kind: declared type; required for a member of a union.
    """
    return converter.unstructure(item, unstructure_as=kind)


def to_json(value: Any) -> bytes:
    """Encode plain JSON values."""
    return orjson.dumps(value)


def encode(item: Any, kind: Any = None) -> bytes:
    """Encode a typed item as JSON bytes."""
    return orjson.dumps(to_value(item, kind))


def decode(data: bytes | str, kind: type[T]) -> T:
    """Decode JSON bytes into a typed item.

    :param data: output of :func:`encode`.
    :param kind: expected type.
    :raises CodecError: the data is not JSON or not a valid value of that type.
    """
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise CodecError(f"not JSON: {error}") from error
    return from_value(value, kind)


def from_value(value: Any, kind: type[T]) -> T:
    """Convert plain JSON values to a typed item.

    :raises CodecError: the values do not match the type.
    """
    # A list or a text without the names of the fields would give an item of defaults.
    if isinstance(kind, type) and attrs.has(kind) and not isinstance(value, dict):
        raise CodecError(f"not a {kind.__name__}: not an object")
    try:
        return converter.structure(value, kind)
    except CONVERSION_ERRORS as error:
        reasons = cattrs.transform_error(error)
        raise CodecError(
            f"not a {getattr(kind, '__name__', kind)}: {'; '.join(reasons)}"
        ) from error
