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
    :param most_lag: longest delay of a timer in seconds. A delay of the stand-ins looks like a
        silent store to the nodes.
    """

    path: Path
    most_lag: float = 0.0

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
            self.most_lag = max(self.most_lag, lag)
            if lag >= LOGGED_LAG_SECONDS:
                used = time.process_time() - processor
                self.write("lag", seconds=round(lag, 3), processor_seconds=round(used, 3))
