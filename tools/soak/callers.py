"""Callers of the soak test, which retry a submission under its id up to ``ATTEMPTS`` times."""

from __future__ import annotations

from random import Random
from typing import Any

import attrs
import orjson
import trio
from mimosapoint.workload import TaskId

from tools.soak.configurations import STABLE_KEY, STABLE_QUEUES
from tools.soak.connections import Connections, Reply
from tools.soak.deployment import JOBS_PER_WORKER_SECOND, WORKSPACES, job_steps
from tools.soak.site import SoakSite

__all__ = ["Callers", "REFUSALS"]

ATTEMPTS = 12
RETRY_SECONDS = 0.4
SUBMISSIONS_PER_SECOND = 4
CANCEL_SHARE = 0.1
RETIRED_SHARE = 0.2
CRASHING_SHARE = 0.2
REFUSALS = (401, 404, 429, 503)
"""Statuses of requests without effect."""

STABLE_KEYS = frozenset((STABLE_KEY,)).union(*(workspace.keys for workspace in WORKSPACES))

STEPS = (
    {"count": 1, "cpu": 1000, "mem_mb": 500},
    {"count": 4, "cpu": 2000, "mem_mb": 500, "saves_progress": True},
    {"count": 3, "cpu": 3000, "mem_mb": 1000, "gpu": 4, "gang": True},
    {"count": 2, "cpu": 1000, "mem_mb": 500, "gpu": 8, "gang": True, "rack_local": True},
)

LONG_RUN_STEPS = (
    {"count": 3, "cpu": 2000, "mem_mb": 500},
    {"count": 4, "cpu": 1000, "mem_mb": 500, "saves_progress": True},
    {"count": 2, "cpu": 2000, "mem_mb": 500, "gpu": 2, "gang": True},
)
LONG_RUN_SECONDS = (4.0, 16.0)
"""Run times, of which most outlast a takeover; the longest outlast the lease of their worker."""

LONG_RUN_JOBS_PER_WORKER_SECOND = 0.12


@attrs.define
class Callers:
    """Submits jobs and records the replies.

    :param site: the site.
    :param random: source of the random choices.
    :param connections: connections to the nodes.
    :param accepted_at_by_job: time of the reply that accepted a job, on the trio clock.
    :param refused: jobs that must not run, as each reply refused them.
    :param cancelled: jobs whose cancellation was confirmed.
    :param key_by_job: API key by which each job was submitted.
    """

    site: SoakSite
    random: Random
    connections: Connections
    accepted_at_by_job: dict[str, float] = attrs.field(factory=dict)
    refused: set[str] = attrs.field(factory=set)
    cancelled: set[str] = attrs.field(factory=set)
    key_by_job: dict[str, str] = attrs.field(factory=dict)

    async def submit_until(self, finished: trio.Event) -> None:
        """Submit jobs until an event, each from a separate task, and from one task at each node.

        At a site with long runs the latter read states in place of most submissions.
        """
        profile = self.site.profile
        rate = SUBMISSIONS_PER_SECOND
        if profile.has_long_runs:
            share = LONG_RUN_JOBS_PER_WORKER_SECOND if profile.has_cuts else JOBS_PER_WORKER_SECOND
            rate = share * profile.workers
        async with trio.open_nursery() as nursery:
            for node in range(len(self.site.addresses)):
                nursery.start_soon(self._stay_at, node, finished)
            while not finished.is_set():
                nursery.start_soon(self._submit)
                await trio.sleep(self.random.expovariate(rate))

    async def state(self, job: str) -> str:
        """Return the state of a job as a random node reports it.

        It is ``status-`` and the HTTP status on an error; the status is 0 without a reply.
        """
        return (await self.read(self._random_node(), job)).state

    async def read(self, node: int, job: str) -> Reply:
        """Read the state of a job at a node."""
        # A job can be read through every queue of its workspace; its own may be gone.
        return await self.connections.call(
            node, "GET", STABLE_QUEUES[0].name, job, self.stable_key(job)
        )

    def stable_key(self, job: str) -> str:
        """Return the key of a job's workspace that stays in force."""
        key = self.key_by_job.get(job, STABLE_KEY)
        return key if key in STABLE_KEYS else STABLE_KEY

    def workspace_of(self, job: str) -> str:
        """Return the name of the workspace of a job."""
        return self.site.configurations.workspace_of(self.stable_key(job))

    async def _stay_at(self, node: int, finished: trio.Event) -> None:
        """Submit through one node only, over connections that stay open until its process ends."""
        while not finished.is_set():
            if self.site.profile.has_long_runs:
                await self._read_any(node)
            else:
                await self._submit(node)
            await trio.sleep(self.random.uniform(0.2, 1.5))

    async def _read_any(self, node: int) -> None:
        if self.accepted_at_by_job:
            await self.read(node, self.random.choice(list(self.accepted_at_by_job)))

    async def _submit(self, node: int | None = None) -> None:
        job = f"{self.random.getrandbits(64):016x}"
        queue, key = self._choose_queue(), self._choose_key()
        self.key_by_job[job] = key
        steps = self._choose_steps()
        if self.site.crashing_job_periods and self.random.random() < CRASHING_SHARE:
            self.site.simulation.crashing_tasks.add(TaskId(job, 0, 0, 0))
        body = orjson.dumps({"spec": "x", "steps": steps})
        if await self._submit_repeatedly(node, queue, job, key, body):
            if self.random.random() < CANCEL_SHARE:
                await self._cancel(job)

    async def _submit_repeatedly(
        self, node: int | None, queue: str, job: str, key: str, body: bytes
    ) -> bool:
        """Submit a job until a reply is final; return whether it was accepted."""
        statuses: list[int] = []
        while len(statuses) < ATTEMPTS:
            chosen = self._random_node() if node is None else node
            reply = await self.connections.call(chosen, "POST", queue, job, key, body)
            statuses.append(reply.status)
            if reply.status == 200:
                self.accepted_at_by_job[job] = trio.current_time()
                return True
            if reply.status in (401, 404):
                break
            await trio.sleep(RETRY_SECONDS)
        if all(status in REFUSALS for status in statuses):
            self.refused.add(job)
        return False

    async def _cancel(self, job: str) -> None:
        node, queue = self._random_node(), STABLE_QUEUES[0].name
        key = self.stable_key(job)
        reply: Reply = await self.connections.call(node, "DELETE", queue, job, key)
        if reply.status == 200:
            self.cancelled.add(job)

    def _choose_steps(self) -> list[dict[str, Any]]:
        if self.site.profile.is_deployment:
            return job_steps(self.random)
        if self.site.profile.has_cuts:
            estimate_ms = int(1000 * self.random.uniform(*LONG_RUN_SECONDS))
            return [{**self.random.choice(LONG_RUN_STEPS), "estimate_ms": estimate_ms}]
        steps = [self.random.choice(STEPS)]
        if self.random.random() < 0.3:
            steps.append({**self.random.choice(STEPS), "after": [0]})
        return steps

    def _random_node(self) -> int:
        return self.random.randrange(len(self.site.addresses))

    def _choose_queue(self) -> str:
        configurations = self.site.configurations
        if configurations.retired_queues and self.random.random() < RETIRED_SHARE:
            return self.random.choice(configurations.retired_queues)
        return self.random.choice(configurations.caller_queues)

    def _choose_key(self) -> str:
        configurations = self.site.configurations
        if configurations.workspaces:
            return self._choose_key_of_workspaces()
        if configurations.retired_keys and self.random.random() < RETIRED_SHARE:
            return self.random.choice(configurations.retired_keys)
        return self.random.choice(configurations.keys)

    def _choose_key_of_workspaces(self) -> str:
        """Return a key of a workspace; those with a larger weight submit more."""
        configurations = self.site.configurations
        workspaces = configurations.latest.tenants
        weights = [workspace.weight for workspace in workspaces]
        (chosen,) = self.random.choices(workspaces, weights)
        return self.random.choice(sorted(chosen.keys))
