"""Processor time and memory of a process, as reported by the kernel."""

import os
from pathlib import Path

import attrs

__all__ = ["KIB", "MIB", "Usage", "usage"]

KIB = 1024
"""Number of bytes in a KiB."""

MIB = 1024 * KIB
"""Number of bytes in a MiB."""

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Usage:
    """Resource usage of a process.

    :param processor: processor time so far, in seconds.
    :param memory: proportional set size, in bytes.
    """

    processor: float
    memory: int


def usage(pid: int) -> Usage:
    """Return the resource usage of a process so far."""
    return Usage(_processor_seconds(pid), _memory_bytes(pid))


def _processor_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def _memory_bytes(pid: int) -> int:
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith("Pss:"):
            return int(line.split()[1]) * KIB
    return 0
