"""Prints the rates of store calls of the example sites: ``python -m tools.rates``."""

import sys
import tempfile
from functools import partial
from itertools import count
from pathlib import Path
from typing import Any

import trio

from tools.site import Site

ROOT = Path(__file__).resolve().parent.parent
SITES = ("agencia", "selat")
NODES = 8
SETTLE_SECONDS = 8.0
LOOK_SECONDS = 15.0
JOBS_PER_SECOND = 10
KINDS = ("get", "scan", "compare_and_swap", "delete", "watch")


async def counts(site: Site) -> dict[str, int]:
    """Return the calls that the store has served, by kind."""
    reply = await site.standin_client.call_at(site.files.store_address, "GET", "/v1/counts")
    return reply.body["calls_by_kind"]


async def rates(site: Site) -> dict[str, float]:
    """Return the calls of each kind a second, over a while."""
    before = await counts(site)
    await trio.sleep(LOOK_SECONDS)
    after = await counts(site)
    return {kind: (after.get(kind, 0) - before.get(kind, 0)) / LOOK_SECONDS for kind in KINDS}


async def submit_steadily(site: Site) -> None:
    """Submit short jobs at a steady rate until cancelled."""
    workspace, service = await some_service(site)
    async with trio.open_nursery() as nursery:
        for number in count():
            job = {
                "workspace": workspace,
                "service": service,
                "gang": 1,
                "class": "normal",
                "shape": {"slots": 1, "cores": 1, "memory_gib": 1, "accelerators": 0},
                "payload": {"kind": "echo", "value": number, "seconds": 0.5},
            }
            headers = {"Idempotency-Key": f"rate-{number}"}
            call = partial(site.client.call, "POST", "/v1/jobs?wait=20", job, headers=headers)
            nursery.start_soon(call)
            await trio.sleep(1 / JOBS_PER_SECOND)


async def some_service(site: Site) -> tuple[str, str]:
    """Return a workspace and a service that may ask for normal work."""
    reply = await site.client.call("GET", "/v1/configuration")
    workspaces: dict[str, Any] = reply.body["workspaces"]
    for workspace, found in sorted(workspaces.items()):
        for service, rules in sorted(found["services"].items()):
            if "normal" in rules["classes"]:
                return workspace, service
    raise LookupError("no service asks for normal work")


async def measure(name: str) -> None:
    """Print the rates of one site."""
    with tempfile.TemporaryDirectory(prefix="mimosapoint-") as folder:
        site = Site(ROOT / "examples" / name, Path(folder), NODES)
        try:
            await site.start()
            await trio.sleep(SETTLE_SECONDS)
            print_rates(name, "idle", await rates(site))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit_steadily, site)
                await trio.sleep(2)
                print_rates(name, f"{JOBS_PER_SECOND} jobs a second", await rates(site))
                nursery.cancel_scope.cancel()
        finally:
            await site.stop()


def print_rates(name: str, state: str, found: dict[str, float]) -> None:
    """Print one row."""
    told = " ".join(f"{kind}={rate:.1f}" for kind, rate in found.items())
    total = sum(found.values())
    print(f"site={name} nodes={NODES} state={state!r} {told} all={total:.1f}", flush=True)


if __name__ == "__main__":
    for chosen in sys.argv[1:] or SITES:
        trio.run(measure, chosen)
