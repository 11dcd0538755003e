"""Callers of the soak test, which retry a submission under its id up to ``ATTEMPTS`` times."""

from __future__ import annotations

from random import Random

import attrs
import httpcore
import orjson
import trio

from tools.soak.site import SoakSite

__all__ = ["Callers"]

ATTEMPTS = 12
CALL_SECONDS = 2.0
RETRY_SECONDS = 0.4
CANCEL_SHARE = 0.1
STEPS = (
    {"count": 1, "cpu": 1000, "mem_mb": 500},
    {"count": 4, "cpu": 2000, "mem_mb": 500, "saves_progress": True},
    {"count": 3, "cpu": 3000, "mem_mb": 1000, "gpu": 4, "gang": True},
    {"count": 2, "cpu": 1000, "mem_mb": 500, "gpu": 8, "gang": True, "rack_local": True},
)


@attrs.define
class Callers:
    """Submits jobs and records the replies.

    :param site: the site.
    :param random: source of the random choices.
    :param accepted: jobs that were accepted.
    :param refused: jobs that must not run, as each reply refused them with 429 or 503.
    :param cancelled: jobs whose cancellation was confirmed.
    :param paths_by_job: path of each submitted job.
    """

    site: SoakSite
    random: Random
    accepted: set[str] = attrs.field(factory=set)
    refused: set[str] = attrs.field(factory=set)
    cancelled: set[str] = attrs.field(factory=set)
    paths_by_job: dict[str, str] = attrs.field(factory=dict)
    _pool: httpcore.AsyncConnectionPool = attrs.field(factory=httpcore.AsyncConnectionPool)

    async def submit_for(self, seconds: float) -> None:
        """Submit jobs for some seconds, each from a separate task."""
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(seconds):
                while True:
                    nursery.start_soon(self._submit)
                    await trio.sleep(self.random.expovariate(4))

    async def state(self, job: str) -> str:
        """Return the state of a job as a random node reports it.

        It is ``status-`` and the HTTP status on an error; the status is 0 without a reply.
        """
        status, body = await self._call("GET", self.paths_by_job[job])
        return orjson.loads(body).get("state", "") if status == 200 else f"status-{status}"

    async def _submit(self) -> None:
        job = f"{self.random.getrandbits(64):016x}"
        queue = self.random.choice(["urgent", "low"])
        self.paths_by_job[job] = path = f"/{queue}/{job}"
        steps = [self.random.choice(STEPS)]
        if self.random.random() < 0.3:
            steps.append({**self.random.choice(STEPS), "after": [0]})
        body = orjson.dumps({"spec": "x", "steps": steps})
        outcome_unknown = False
        for _ in range(ATTEMPTS):
            status, _ = await self._call("POST", path, body)
            if status == 200:
                self.accepted.add(job)
                break
            outcome_unknown = outcome_unknown or status not in (429, 503)
            await trio.sleep(RETRY_SECONDS)
        else:
            if not outcome_unknown:
                self.refused.add(job)
            return
        if self.random.random() < CANCEL_SHARE:
            status, _ = await self._call("DELETE", path)
            if status == 200:
                self.cancelled.add(job)

    async def _call(self, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        address = self.random.choice(self.site.addresses)
        headers = {"Host": "h", "Authorization": "Bearer key"}
        with trio.move_on_after(CALL_SECONDS):
            try:
                reply = await self._pool.request(
                    method, f"http://{address}{path}", headers=headers, content=body
                )
                return reply.status, reply.content
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                return 0, b""
        return 0, b""
