"""Memory and processor time of the node processes and of the stand-ins."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import attrs
import trio

from tools.soak.log import SoakLog

__all__ = ["Usage"]

INTERVAL_SECONDS = 5.0
MB = 1 << 20
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@attrs.define
class Usage:
    """Most memory, and most processor time in an interval, of the processes of a run.

    :param node_mb: memory of the largest node, in MB.
    :param total_mb: memory of all nodes and of the stand-ins, in MB.
    :param node_cores: processor time of all nodes per second.
    :param stand_in_cores: the same of the stand-ins, proxies and callers, which are one process.
    """

    node_mb: float = 0.0
    total_mb: float = 0.0
    node_cores: float = 0.0
    stand_in_cores: float = 0.0

    def __str__(self) -> str:
        return (
            f"node_mb={self.node_mb:.0f} total_mb={self.total_mb:.0f}"
            f" node_cores={self.node_cores:.2f} stand_in_cores={self.stand_in_cores:.2f}"
        )

    async def run_probe(self, process_ids: Callable[[], dict[int, int]], log: SoakLog) -> None:
        """Measure, and log each measurement, until cancelled.

        :param process_ids: returns the process id of each running node by number.
        """
        stand_ins = os.getpid()
        # This process may have run other seeds before.
        seconds_by_process = {stand_ins: _processor_seconds(stand_ins)}
        while True:
            nodes = list(process_ids().values())
            mb_by_process = {process: _memory_mb(process) for process in (*nodes, stand_ins)}
            cores_by_process = {}
            for process in mb_by_process:
                seconds = _processor_seconds(process)
                # Of a process that is new the time since its start counts.
                used = seconds - seconds_by_process.get(process, 0.0)
                cores_by_process[process] = max(0.0, used) / INTERVAL_SECONDS
                seconds_by_process[process] = seconds
            latest = Usage(
                max((mb_by_process[node] for node in nodes), default=0.0),
                sum(mb_by_process.values()),
                sum(cores_by_process[node] for node in nodes),
                cores_by_process[stand_ins],
            )
            log.write("usage", nodes=len(nodes), **_rounded(latest))
            for name, value in attrs.asdict(latest).items():
                setattr(self, name, max(value, getattr(self, name)))
            await trio.sleep(INTERVAL_SECONDS)


def _rounded(usage: Usage) -> dict[str, float]:
    return {name: round(value, 2) for name, value in attrs.asdict(usage).items()}


def _memory_mb(process: int) -> float:
    try:
        pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
    except (OSError, IndexError):
        # The process has ended.
        return 0.0
    return pages * PAGE_BYTES / MB


def _processor_seconds(process: int) -> float:
    try:
        fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        # The process has ended.
        return 0.0
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
