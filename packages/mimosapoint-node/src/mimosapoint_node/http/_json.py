"""Strict parsing of JSON bodies."""

import json
from typing import Any

import orjson
from mimosapoint.errors import BadRequest

__all__ = ["read_object"]


def read_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object that the body contains.

    :raises BadRequest: the body is not JSON in UTF-8, not an object, or repeats a key.
    """
    try:
        value = orjson.loads(body)
        _reject_repeated_keys(body)
    except orjson.JSONDecodeError as error:
        raise BadRequest(f"the body is not JSON in UTF-8: {error}") from error
    except RecursionError as error:
        raise BadRequest("the body is nested too deeply") from error
    if not isinstance(value, dict):
        raise BadRequest("the body is not a JSON object")
    return value


def _reject_repeated_keys(body: bytes) -> None:
    """Reject repeated keys, of which ``orjson`` would silently keep the last value."""
    repeated: list[str] = []

    def check(pairs: list[tuple[str, Any]]) -> None:
        keys = [key for key, _ in pairs]
        if len(set(keys)) < len(keys):
            repeated.extend(sorted({key for key in keys if keys.count(key) > 1}))

    json.loads(body, object_pairs_hook=check, parse_int=len, parse_float=len)
    if repeated:
        raise BadRequest(reasons=tuple(f"key {key!r} is repeated" for key in repeated))
