"""Construction of the body of a job request from a file and flags."""

from collections.abc import Callable, Mapping
from typing import Any

from mimosapoint_cli._values import (
    boolean,
    integer,
    json_value,
    names,
    read_yaml_object,
    seconds,
    text,
)
from mimosapoint_cli.errors import UsageError

__all__ = ["job_body"]

PARSERS_BY_FLAG: dict[str, Callable[[str, str], Any]] = {
    "service": text,
    "class": text,
    "gang": integer,
    "adjacency": text,
    "zones": names,
    "run_time": seconds,
    "repeatable": boolean,
    "interruptible": boolean,
    "start_by": text,
    "finish_by": text,
    "payload": json_value,
}

SHAPE_FLAGS = ("slots", "cores", "memory_gib", "accelerators")


def job_body(path: str | None, flags: Mapping[str, str | None]) -> dict[str, Any]:
    """Return the body of a job request; flags override the file.

    :param path: YAML file with the fields of the request.
    :param flags: text by flag, ``None`` for a flag that was not given.
    :raises UsageError: the file or a flag is malformed.
    """
    body = {} if path is None else read_yaml_object(path)
    shape = body.setdefault("shape", {})
    if not isinstance(shape, dict):
        raise UsageError(f"{path}: shape is not a mapping")
    for flag, value in flags.items():
        if value is None:
            continue
        if flag in SHAPE_FLAGS:
            shape[flag] = integer(flag, value)
        else:
            body[flag] = PARSERS_BY_FLAG[flag](flag, value)
    return body
