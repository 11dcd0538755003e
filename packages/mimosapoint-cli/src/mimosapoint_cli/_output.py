"""Output as tables, YAML and JSON."""

from collections.abc import Sequence
from typing import Any

import orjson
import yaml

__all__ = ["print_json", "print_rows", "print_yaml"]

SEPARATOR = "  "


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


def print_yaml(value: Any) -> None:
    """Print a value as YAML."""
    print(yaml.safe_dump(value, sort_keys=False, allow_unicode=True), end="")


def print_rows(headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print a table whose columns are as wide as their longest cell."""
    cells = [[_format_cell(value) for value in row] for row in (headers, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells)]
    for row in cells:
        print(SEPARATOR.join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip())


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    return str(value)
