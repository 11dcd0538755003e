"""Parsing of flags and files."""

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
    """Return the value unchanged."""
    return value


def integer(flag: str, value: str) -> int:
    """Parse an integer."""
    return _convert(flag, value, int, "an integer")


def seconds(flag: str, value: str) -> float:
    """Parse a non-negative, finite number of seconds."""
    number = _convert(flag, value, float, "a number of seconds")
    if not 0 <= number < float("inf"):
        raise UsageError(f"--{flag}: {value!r} is not a number of seconds")
    return number


def boolean(flag: str, value: str) -> bool:
    """Parse a boolean."""
    values = {"true": True, "false": False}
    if value.lower() not in values:
        raise UsageError(f"--{flag}: {value!r} is neither true nor false")
    return values[value.lower()]


def names(flag: str, value: str) -> list[str]:
    """Parse a comma-separated list of names."""
    return [name.strip() for name in value.split(",")]


def json_value(flag: str, value: str) -> Any:
    """Parse a JSON value."""
    return _convert(flag, value, orjson.loads, "JSON")


def read_yaml(path: str) -> Any:
    """Return the content of a YAML or JSON file.

    :raises UsageError: the file cannot be read or is not YAML.
    """
    try:
        return yaml.safe_load(Path(path).read_text())
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error
    except (yaml.YAMLError, UnicodeDecodeError, ValueError, RecursionError) as error:
        raise UsageError(f"{path}: not YAML: {error}") from error


def read_yaml_object(path: str) -> dict[str, Any]:
    """Return the mapping in a YAML or JSON file.

    :raises UsageError: the file cannot be read or does not contain a mapping.
    """
    value = read_yaml(path)
    if not isinstance(value, dict):
        raise UsageError(f"{path}: not a mapping")
    return value


def _convert(flag: str, value: str, parse: Callable[[str], Any], expected: str) -> Any:
    try:
        return parse(value)
    except ValueError as error:
        raise UsageError(f"--{flag}: {value!r} is not {expected}") from error
