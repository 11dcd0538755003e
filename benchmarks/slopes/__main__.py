"""Measure every slope, print one table and write JSON to ``bench-results/slopes.json``."""

import sys
import tempfile
import time
from pathlib import Path

import trio
from mimosapoint.codec import to_json, to_value

from benchmarks.slopes.capacity import capacity, capacity_table
from benchmarks.slopes.fit import Slope
from benchmarks.slopes.fleet import measure_connections, measure_fleets
from benchmarks.slopes.owner import measure_tasks, measure_waiting, measure_workers
from benchmarks.slopes.parts import (
    measure_bucket,
    measure_configuration,
    measure_list,
    measure_ownership,
    measure_spans,
    measure_store,
    measure_worker_call,
)
from benchmarks.slopes.peers import measure_exchange

STAGES = (
    (measure_bucket,),
    (measure_configuration,),
    (measure_ownership,),
    (measure_spans,),
    (measure_exchange,),
    (measure_fleets, measure_tasks),
    (measure_workers, measure_waiting, measure_connections),
    (measure_store,),
    (measure_worker_call,),
    (measure_list,),
)
"""Measurements by stage; those of one stage run in parallel, in separate processes."""

RESULTS = Path("bench-results") / "slopes.json"
TIMEOUT_SECONDS = 540
"""Timeout of all measurements together, for a run that hangs."""


async def measure(folder: Path) -> list[Slope]:
    """Run the measurements and return every slope."""
    found: list[Slope] = []

    async def run_measurement(measurement: object) -> None:
        found.extend(await measurement(folder))

    began = trio.current_time()
    with trio.fail_after(TIMEOUT_SECONDS):
        for stage in STAGES:
            async with trio.open_nursery() as nursery:
                for measurement in stage:
                    nursery.start_soon(run_measurement, measurement)
            names = ",".join(measurement.__name__ for measurement in stage)
            print(f"measured={names} seconds={trio.current_time() - began:.0f}", flush=True)
    return found


def table(slopes: list[Slope]) -> str:
    """Return the slopes as a table."""
    lines = [f"{'name':28} {'per':28} {'unit':8} {'slope':>10} {'intercept':>10} {'spread':>9}"]
    for row in slopes:
        points = " ".join(f"{point.x:g}:{point.y:.4g}" for point in row.points)
        lines.append(
            f"{row.name:28} {row.per:28} {row.unit:8} "
            f"{row.slope:10.4g} {row.intercept:10.4g} {row.spread:9.3g}  {points}"
        )
    return "\n".join(lines)


def main() -> int:
    """Run the benchmark, print its tables and write its results."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="slopes-") as folder:
        slopes = trio.run(measure, Path(folder))
    print(table(slopes))
    print(capacity_table(capacity(slopes)))
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_bytes(to_json(to_value(slopes)))
    print(f"slopes={len(slopes)} seconds={time.monotonic() - began:.0f} written={RESULTS}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
