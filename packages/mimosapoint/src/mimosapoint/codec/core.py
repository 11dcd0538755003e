"""JSON codec of typed values, by cattrs and orjson."""

from collections.abc import Callable
from datetime import datetime, timedelta
from enum import Enum
from typing import Any, TypeVar, get_args, get_origin

import cattrs
import orjson
from cattrs.preconf.orjson import make_converter
from cattrs.strategies import configure_tagged_union

from mimosapoint.errors import CodecError
from mimosapoint.model import Outcome

__all__ = ["converter", "decode", "encode", "from_value", "to_json", "to_value"]

T = TypeVar("T")

OUTCOME_TAG = "outcome"


def _kebab(cls: type) -> str:
    """Return the class name in kebab case, as in ``may-have-run``."""
    letters = ("-" + c.lower() if c.isupper() else c for c in cls.__name__)
    return "".join(letters).lstrip("-")


def _make() -> cattrs.Converter:
    made = make_converter(forbid_extra_keys=False, omit_if_default=True)
    made.register_unstructure_hook(timedelta, lambda value: value.total_seconds())
    made.register_structure_hook(timedelta, lambda value, _: timedelta(seconds=value))
    made.register_unstructure_hook(datetime, lambda value: value.isoformat())
    made.register_structure_hook(datetime, lambda value, _: datetime.fromisoformat(value))
    configure_tagged_union(Outcome, made, tag_name=OUTCOME_TAG, tag_generator=_kebab)
    _allow_none(made, Outcome)
    made.register_unstructure_hook_factory(_has_enum_keys, lambda kind: _by_value(made, kind))
    return made


def _has_enum_keys(kind: Any) -> bool:
    """Whether a type is a dictionary whose keys are members of an enumeration."""
    keys = get_args(kind)[:1] if get_origin(kind) is dict else ()
    return bool(keys) and isinstance(keys[0], type) and issubclass(keys[0], Enum)


def _by_value(made: cattrs.Converter, kind: Any) -> Callable[[Any], Any]:
    """Return a hook that names keys by the values of their enumeration."""
    value_type = get_args(kind)[1]
    unstructure = made.get_unstructure_hook(value_type)
    return lambda items: {key.value: unstructure(item) for key, item in items.items()}


def _allow_none(made: cattrs.Converter, union: Any) -> None:
    """Teach the converter ``union | None``, which it would take for another union."""

    def unstructure(value: Any) -> Any:
        return None if value is None else made.unstructure(value, unstructure_as=union)

    def structure(value: Any, _: Any) -> Any:
        return None if value is None else made.structure(value, union)

    made.register_unstructure_hook(union | None, unstructure)
    made.register_structure_hook(union | None, structure)


converter = _make()


def to_value(item: Any, kind: Any = None) -> Any:
    """Turn a typed item into plain JSON values.

    :param item: an ``attrs`` instance.
    :param kind: declared type, needed for a member of a union.
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

    :param data: bytes made by :func:`encode`.
    :param kind: expected type.
    :raises CodecError: the bytes are not a valid value of that type.
    """
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise CodecError(f"not JSON: {error}") from error
    return from_value(value, kind)


def from_value(value: Any, kind: type[T]) -> T:
    """Turn plain JSON values into a typed item.

    :raises CodecError: they are not a value of that type.
    """
    try:
        return converter.structure(value, kind)
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError) as error:
        reasons = cattrs.transform_error(error)
        raise CodecError(
            f"not a {getattr(kind, '__name__', kind)}: {'; '.join(reasons)}"
        ) from error
