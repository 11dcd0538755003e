"""Print the store call rates of the example sites: ``python -m tools.rates [SITE ...]``."""

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
WARM_UP_SECONDS = 8.0
MEASURED_SECONDS = 15.0
JOBS_PER_SECOND = 10
KINDS = ("get", "scan", "compare_and_swap", "delete", "watch")


async def store_call_counts(site: Site) -> dict[str, int]:
    """Return the number of calls that the store has served, by kind."""
    reply = await site.standin_client.call_at(site.files.store_address, "GET", "/v1/counts")
    return reply.body["calls_by_kind"]


async def store_call_rates(site: Site) -> dict[str, float]:
    """Return the calls per second by kind, averaged over ``MEASURED_SECONDS``."""
    before = await store_call_counts(site)
    await trio.sleep(MEASURED_SECONDS)
    after = await store_call_counts(site)
    return {kind: (after.get(kind, 0) - before.get(kind, 0)) / MEASURED_SECONDS for kind in KINDS}


async def submit_jobs(site: Site) -> None:
    """Submit ``JOBS_PER_SECOND`` short jobs each second until cancelled."""
    workspace, service = await find_normal_service(site)
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


async def find_normal_service(site: Site) -> tuple[str, str]:
    """Return a workspace and a service that may submit jobs of the class ``normal``."""
    reply = await site.client.call("GET", "/v1/configuration")
    workspaces: dict[str, Any] = reply.body["workspaces"]
    for workspace, settings in sorted(workspaces.items()):
        for service, service_settings in sorted(settings["services"].items()):
            if "normal" in service_settings["classes"]:
                return workspace, service
    raise LookupError("no service may submit jobs of the class normal")


async def measure(name: str) -> None:
    """Start one site and print its rates while idle and under load."""
    with tempfile.TemporaryDirectory(prefix="mimosapoint-") as folder:
        site = Site(ROOT / "examples" / name, Path(folder), NODES)
        try:
            await site.start()
            await trio.sleep(WARM_UP_SECONDS)
            print_rates(name, "idle", await store_call_rates(site))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit_jobs, site)
                await trio.sleep(2)
                print_rates(name, f"{JOBS_PER_SECOND} jobs a second", await store_call_rates(site))
                nursery.cancel_scope.cancel()
        finally:
            await site.stop()


def print_rates(name: str, state: str, rates_by_kind: dict[str, float]) -> None:
    """Print one line with the rates by kind and their total."""
    columns = " ".join(f"{kind}={rate:.1f}" for kind, rate in rates_by_kind.items())
    total = sum(rates_by_kind.values())
    print(f"site={name} nodes={NODES} state={state!r} {columns} all={total:.1f}", flush=True)


if __name__ == "__main__":
    for site_name in sys.argv[1:] or SITES:
        trio.run(measure, site_name)
