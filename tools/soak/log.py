"""Log of a run: faults, and delays of the process that runs the stand-ins and proxies."""

from __future__ import annotations

import time
from datetime import datetime, timezone
from pathlib import Path

import attrs
import trio

__all__ = ["SoakLog"]

PROBE_SECONDS = 0.05
LOGGED_LAG_SECONDS = 0.3


@attrs.define
class SoakLog:
    """Writes lines in the form of the nodes' logs.

    :param path: the file.
    :param lags: end on the trio clock, and length in seconds, of each long delay of a timer. A
        delay of the stand-ins looks like a silent store to the nodes.
    """

    path: Path
    lags: list[tuple[float, float]] = attrs.field(factory=list)

    def longest_lag(self, since: float = 0.0) -> float:
        """Return the longest delay that ended since a time; 0 if none was long."""
        return max((seconds for at, seconds in self.lags if at >= since), default=0.0)

    def write(self, event: str, **fields: object) -> None:
        """Append a line."""
        now = datetime.now(timezone.utc).replace(tzinfo=None).isoformat(timespec="milliseconds")
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
