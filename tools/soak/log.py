"""Log of a run: faults, and delays of the process that runs the stand-ins and proxies."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from datetime import datetime, timezone
from pathlib import Path

import attrs
import trio

__all__ = ["SoakLog"]

PROBE_SECONDS = 0.05
NODE_PROBE_SECONDS = 0.5
LOGGED_LAG_SECONDS = 0.3
STAND_INS = "stand-ins"


@attrs.define
class SoakLog:
    """Writes lines in the form of the nodes' logs.

    :param path: the file.
    :param lags: end on the trio clock, and length in seconds, of each long delay of a timer. A
        delay of the stand-ins looks like a silent store to the nodes.
    :param waits: end and length of each time in which a node, or the stand-ins, waited long for a
        processor. To a user it would be a machine that has slowed down.
    """

    path: Path
    lags: list[tuple[float, float]] = attrs.field(factory=list)
    waits: list[tuple[float, float]] = attrs.field(factory=list)

    def longest_lag(self, since: float = 0.0) -> float:
        """Return the longest delay that ended since a time; 0 if none was long."""
        return max((seconds for at, seconds in self.lags if at >= since), default=0.0)

    def write(self, event: str, **fields: object) -> None:
        """Append a line with the time of day and of the trio clock."""
        now = datetime.now(timezone.utc).replace(tzinfo=None).isoformat(timespec="milliseconds")
        fields = {"clock": f"{trio.current_time():.3f}", **fields}
        with self.path.open("a") as file:
            print(f"time={now} event={event}", *(f"{k}={v}" for k, v in fields.items()), file=file)

    async def run_lag_probe(self) -> None:
        """Measure delays of timers until cancelled.

        A delay with little processor time shows that the machine had none left for this process.
        """
        while True:
            due, processor = trio.current_time() + PROBE_SECONDS, time.process_time()
            await trio.sleep_until(due)
            lag = trio.current_time() - due
            if lag >= LOGGED_LAG_SECONDS:
                self.lags.append((trio.current_time(), lag))
                used = time.process_time() - processor
                self.write("lag", seconds=round(lag, 3), processor_seconds=round(used, 3))

    async def run_wait_probe(self, process_ids: Callable[[], dict[int, int]]) -> None:
        """Log for how long nodes waited for a processor, until cancelled.

        :param process_ids: returns the process id of each running node by number.
        """
        # This process may have waited in other seeds before.
        waited_by_process = {os.getpid(): _processor_wait(os.getpid())}
        while True:
            for node, process in (*process_ids().items(), (STAND_INS, os.getpid())):
                waited = _processor_wait(process)
                seconds = waited - waited_by_process.get(process, 0.0)
                waited_by_process[process] = waited
                if seconds >= LOGGED_LAG_SECONDS:
                    self.waits.append((trio.current_time(), NODE_PROBE_SECONDS))
                    self.write("node-waited-for-processor", node=node, seconds=round(seconds, 3))
            await trio.sleep(NODE_PROBE_SECONDS)


def _processor_wait(process: int) -> float:
    """Return for how many seconds the main thread was ready and did not run; 0 if unknown."""
    try:
        return int(Path(f"/proc/{process}/schedstat").read_text().split()[1]) / 1e9
    except (OSError, IndexError):
        # The process has ended, or the kernel keeps no such statistics.
        return 0.0
