"""Reading of flags and files."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson
import yaml

from mimosapoint_cli.errors import UsageError

__all__ = [
    "boolean",
    "integer",
    "json_value",
    "names",
    "read_yaml",
    "read_yaml_object",
    "seconds",
    "text",
]


def text(flag: str, value: str) -> str:
    """Return the value as it is."""
    return value


def integer(flag: str, value: str) -> int:
    """Return an integer."""
    return _convert(flag, value, int, "an integer")


def seconds(flag: str, value: str) -> float:
    """Return a number of seconds that is not negative."""
    number = _convert(flag, value, float, "a number of seconds")
    if not 0 <= number < float("inf"):
        raise UsageError(f"--{flag}: {value!r} is not a number of seconds")
    return number


def boolean(flag: str, value: str) -> bool:
    """Return a truth value."""
    values = {"true": True, "false": False}
    if value.lower() not in values:
        raise UsageError(f"--{flag}: {value!r} is neither true nor false")
    return values[value.lower()]


def names(flag: str, value: str) -> list[str]:
    """Return the names of a comma-separated list."""
    return [name.strip() for name in value.split(",")]


def json_value(flag: str, value: str) -> Any:
    """Return a JSON value."""
    return _convert(flag, value, orjson.loads, "JSON")


def read_yaml(path: str) -> Any:
    """Return the content of a YAML or JSON file.

    :raises UsageError: the file cannot be read.
    """
    try:
        return yaml.safe_load(Path(path).read_text())
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error
    except (yaml.YAMLError, UnicodeDecodeError, ValueError, RecursionError) as error:
        raise UsageError(f"{path}: not YAML: {error}") from error


def read_yaml_object(path: str) -> dict[str, Any]:
    """Return the mapping that a YAML or JSON file holds.

    :raises UsageError: the file cannot be read or holds something else.
    """
    value = read_yaml(path)
    if not isinstance(value, dict):
        raise UsageError(f"{path}: not a mapping")
    return value


def _convert(flag: str, value: str, function: Callable[[str], Any], wanted: str) -> Any:
    try:
        return function(value)
    except ValueError as error:
        raise UsageError(f"--{flag}: {value!r} is not {wanted}") from error
