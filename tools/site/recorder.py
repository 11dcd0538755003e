"""Recorder of the observations of a site's callers, operators and workers."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import datetime, timezone
from itertools import count
from typing import Any

import attrs
import trio
import yaml
from mimosapoint.codec import converter
from mimosapoint.jobs import make_job_id
from mimosapoint.memory import TaskEvent
from mimosapoint.testing import (
    CallObservation,
    GuaranteedStartObservation,
    History,
    LeavingObservation,
    PatchObservation,
    VersionObservation,
)

from tools.site.core import Site

__all__ = ["Recorder", "now"]

ANSWER_WAIT_SECONDS = 20
RETRY_SECONDS = 0.2
VERSION_POLL_SECONDS = 0.3
STATUS_SECONDS = 2.0
PATCH_SECONDS = 10.0


def now() -> datetime:
    """Return the time in UTC."""
    return datetime.now(timezone.utc)


class Recorder:
    """Acts as callers and operators of a site and records a history.

    :param site: the running site.
    """

    def __init__(self, site: Site):
        self.site = site
        self.history = History()
        self.classes_by_key: dict[str, str] = {}
        self._call_numbers = count()
        self._incarnations_by_node = dict.fromkeys(site.files.nodes_by_id, 1)
        vms = yaml.safe_load(site.files.vms.read_text())["vms"]
        self.history.zones_by_worker = {
            vm["id"]: vm["zone"] for vm in vms if vm["kind"] == "endpoint"
        }
        self._zones = sorted(set(self.history.zones_by_worker.values()))

    def note_restart(self, node: str) -> None:
        """Record that later versions of a node belong to its next process."""
        self._incarnations_by_node[node] += 1

    def job_id(self, job: dict[str, Any], key: str) -> str:
        """Return the id that a job gets under an idempotency key."""
        return make_job_id(job["workspace"], key, self._zones)

    async def run_job(
        self, job: dict[str, Any], key: str, expected: Any = None, bound: float | None = None
    ) -> CallObservation:
        """Submit a job to one node after another until its outcome or refusal is known.

        :param expected: output parts that the job should return.
        :param bound: seconds within which a job that claims a guarantee must start.
        """
        call = CallObservation(
            key=key,
            job=self.job_id(job, key),
            gang=job.get("gang", 1),
            repeatable=job.get("repeatable", True),
            sent_at=now(),
            expected=expected,
        )
        if bound is not None:
            self.history.guaranteed_starts.append(
                GuaranteedStartObservation(key, call.sent_at, bound)
            )
        self.classes_by_key[key] = job["class"]
        position = len(self.history.calls)
        self.history.calls.append(call)
        with self._call_updates(position, call) as update_call:
            await self._submit_until_answered(job, key, update_call)
        return self.history.calls[position]

    @contextmanager
    def _call_updates(self, position: int, call: CallObservation) -> Iterator[Any]:
        """Yield a function that changes the recorded call.

        Each change is in the history at once, so none is lost when the caller is cancelled.
        """

        def update_call(**changes: Any) -> None:
            self.history.calls[position] = attrs.evolve(self.history.calls[position], **changes)

        yield update_call

    async def _submit_until_answered(self, job: dict[str, Any], key: str, update_call: Any) -> None:
        nodes = list(self.site.files.http_by_id)
        node_index = next(self._call_numbers)
        while True:
            node = nodes[node_index % len(nodes)]
            node_index += 1
            update_call(node=node)
            address = self.site.files.http_by_id[node]
            path = f"/v1/jobs?wait={ANSWER_WAIT_SECONDS}"
            reply = await self.site.client.call_at(
                address, "POST", path, job, {"Idempotency-Key": key}
            )
            if reply.status == 200:
                outcome = reply.body["outcome"]
                kind = outcome["outcome"]
                update_call(ended_at=now(), outcome=kind, parts=outcome.get("parts"))
                return
            if 400 <= reply.status < 500 and reply.status != 429:
                update_call(ended_at=now(), outcome="not-run", code=reply.body["code"])
                return
            await trio.sleep(RETRY_SECONDS)

    async def patch(self, patch: dict[str, Any], zones_out: set[str]) -> PatchObservation:
        """Submit a patch until it is accepted or refused.

        :param zones_out: availability zones that are out in the version of the patch.
        """
        sent_at = now()
        while True:
            reply = await self.site.client.call(
                "POST", "/v1/configuration/patches", patch, timeout=PATCH_SECONDS
            )
            if reply.status in (200, 409, 422):
                break
            await trio.sleep(RETRY_SECONDS)
        version = reply.body["version"] if reply.status == 200 else 0
        observation = PatchObservation(
            patch["id"], patch["base"], sent_at, now(), version, frozenset(zones_out)
        )
        self.history.patches.append(observation)
        return observation

    async def version(self) -> int:
        """Return the configuration version in force on the first node that replies."""
        reply = await self.site.client.call("GET", "/v1/status", timeout=STATUS_SECONDS)
        return reply.body["version"]

    async def set_mode(
        self, zone: str, mode: str, zones_out: set[str], **changes: str
    ) -> PatchObservation:
        """Patch the mode of an availability zone.

        :param changes: further fields of the zone and their values.
        """
        values = {"mode": mode, **changes}
        operations = [
            {"op": "replace", "path": f"/zones/{zone}/{name}", "value": value}
            for name, value in values.items()
        ]
        base = await self.version()
        id = f"{zone}-{mode}-{base}"
        return await self.patch({"id": id, "base": base, "operations": operations}, zones_out)

    async def mark_endpoint_leaving(self, worker: str) -> None:
        """Mark an endpoint as leaving in the VM list."""
        address = self.site.files.vm_list_address
        await self.site.standin_client.call_at(address, "POST", f"/v1/vms/{worker}/leave")
        self.history.leaving_endpoints.append(LeavingObservation(worker, now()))

    async def watch_versions(self) -> None:
        """Record the configuration version of every node until cancelled."""
        while True:
            for node, address in self.site.files.http_by_id.items():
                at, incarnation = now(), self._incarnations_by_node[node]
                reply = await self.site.client.call_at(
                    address, "GET", "/v1/status", timeout=STATUS_SECONDS
                )
                if reply.status == 200 and reply.body["version"]:
                    observation = VersionObservation(node, incarnation, at, reply.body["version"])
                    self.history.versions.append(observation)
            await trio.sleep(VERSION_POLL_SECONDS)

    async def collect_tasks(self, since: datetime | None = None) -> None:
        """Read the task events of every worker into the history.

        :param since: time before which events are left out.
        """
        events: list[TaskEvent] = []
        for worker in self.site.files.workers_by_id:
            events.extend(await self.read_task_events(worker))
        self.history.tasks = [event for event in events if since is None or event.time >= since]
        self.history.ended_at = now()

    async def read_task_events(self, worker: str) -> list[TaskEvent]:
        """Return the task events that a worker recorded."""
        address = self.site.files.workers_by_id[worker]
        reply = await self.site.standin_client.call_at(address, "GET", "/v1/history")
        return converter.structure(reply.body["events"], list[TaskEvent])
