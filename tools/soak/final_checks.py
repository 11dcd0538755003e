"""Checks that every node serves callers before the faults and after all have been cleared."""

from __future__ import annotations

import trio

from tools.soak.callers import Callers
from tools.soak.configurations import STABLE_KEY, STABLE_QUEUES, WORKSPACE
from tools.soak.connections import CALL_SECONDS
from tools.soak.end_checks import removable_at_by_job

__all__ = ["check_nodes", "wait_ready"]

READS_PER_SECOND = 120
"""Reads of accepted jobs at all nodes together. A node reads the store for each, and more of them
than the one process of the stand-ins replies to in time would show nothing about the nodes."""

NODE_READS_PER_SECOND = 25
"""The same at one node."""

RETRY_SECONDS = 0.2
READY_SECONDS = 60
UNKNOWN_JOB = "0" * 16
ROUNDS = 5
OUTAGE_SECONDS = 0.5
LAG_PROBE_SECONDS = 0.2
CALM_SECONDS = 2.0


async def wait_ready(callers: Callers) -> list[str]:
    """Wait until every node serves callers; return a line for each that does not."""
    violations: list[str] = []
    expected = (STABLE_QUEUES[0].name, UNKNOWN_JOB, STABLE_KEY, 410)
    async with trio.open_nursery() as nursery:
        for node in range(len(callers.connections.addresses)):
            nursery.start_soon(_expect, callers, node, expected, violations, READY_SECONDS)
    return violations


async def check_nodes(callers: Callers) -> list[str]:
    """Return a line for each wrong or missing reply of a node to requests of its own callers.

    Each node must report the state of every accepted job, and refuse a removed queue and a revoked
    key, within the time for which callers wait. A delay of the stand-ins is an outage of the store,
    so the check is repeated after one; the last repetition counts in any case.
    """
    for _ in range(ROUNDS):
        began = trio.current_time()
        violations = await _check_once(callers)
        await trio.sleep(LAG_PROBE_SECONDS)
        if not violations or callers.site.log.longest_lag(began) < OUTAGE_SECONDS:
            break
        callers.site.log.write("final-check-repeated", violations=len(violations))
        await trio.sleep(CALM_SECONDS)
    return violations


async def _check_once(callers: Callers) -> list[str]:
    violations: list[str] = []
    async with trio.open_nursery() as nursery:
        for node in range(len(callers.connections.addresses)):
            nursery.start_soon(_check_node, callers, node, violations)
    return sorted(violations)


async def _check_node(callers: Callers, node: int, violations: list[str]) -> None:
    configurations = callers.site.configurations
    queue = STABLE_QUEUES[0].name
    removable_at = removable_at_by_job(callers.connections.requests)
    nodes, accepted = len(callers.connections.addresses), len(callers.accepted_at_by_job)
    gap_seconds = max(nodes / READS_PER_SECOND, 1 / NODE_READS_PER_SECOND)
    latest = trio.current_time() + accepted * gap_seconds + CALL_SECONDS
    jobs = [
        job
        for job in sorted(callers.accepted_at_by_job)
        if removable_at.get(job, float("inf")) > latest
    ]
    callers.random.shuffle(jobs)
    expected = []
    for job in [job for job in jobs if callers.workspace_of(job) == WORKSPACE][:1]:
        expected += [(each, job, STABLE_KEY, 404) for each in configurations.retired_queues[-1:]]
        expected += [(queue, job, each, 401) for each in configurations.retired_keys[-1:]]
        expected += [(queue, job, each, 200) for each in configurations.keys]
    async with trio.open_nursery() as nursery:
        for item in expected:
            nursery.start_soon(_expect, callers, node, item, violations)
        for job in jobs:
            item = (queue, job, callers.stable_key(job), 200)
            nursery.start_soon(_expect, callers, node, item, violations)
            await trio.sleep(gap_seconds)


async def _expect(
    callers: Callers,
    node: int,
    expected: tuple[str, str, str, int],
    violations: list[str],
    seconds: float = CALL_SECONDS,
) -> None:
    queue, job, key, status = expected
    got = "no reply"
    with trio.move_on_after(seconds):
        while True:
            # Not forwardable, as another node would hide that this one cannot reply.
            reply = await callers.connections.call(node, "GET", queue, job, key, forwardable=False)
            if reply.status == status:
                return
            got = reply.status or got
            await trio.sleep(RETRY_SECONDS)
    violations.append(
        f"node {node} got GET of {job} in {queue} with {key} and replied {got}, not {status}"
    )
