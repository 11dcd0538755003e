"""Fault cases of operators: concurrent patches and repeated withdrawals of a zone."""

from typing import Any

import trio

from tools.faults.case_run import CaseRun
from tools.faults.registry import case

__all__: list[str] = []

ROUNDS = 6
OUT_SECONDS = 4.0
WORKSPACE = "editors"


@case("operators race")
async def submit_concurrent_patches(run: CaseRun) -> None:
    """Submit two patches of the same base version concurrently, several times."""
    for number in range(ROUNDS):
        base = await run.recorder.version()
        async with trio.open_nursery() as nursery:
            for operator in ("one", "two"):
                patch = _patch(f"race-{operator}-{base}", base, 1000 + number)
                nursery.start_soon(run.recorder.patch, patch, set())


@case("zone out and back twice")
async def withdraw_zone_twice(run: CaseRun) -> None:
    """Withdraw a zone and return it to service, twice."""
    zone = run.pick_zone()
    for _ in range(2):
        await run.set_mode(zone, "out")
        await trio.sleep(OUT_SECONDS)
        await run.set_mode(zone, "in-service")
        run.expect_recovery({zone})
        await trio.sleep(1.0)


def _patch(id: str, base: int, limit: int) -> dict[str, Any]:
    path = f"/workspaces/{WORKSPACE}/queue_limit"
    return {"id": id, "base": base, "operations": [{"op": "replace", "path": path, "value": limit}]}
