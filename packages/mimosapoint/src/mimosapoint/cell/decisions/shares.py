"""Shares of workspaces: which jobs exceed the weight of their workspace, and their order.

A token bucket for each workspace with a weight tells which jobs are within its share: it gains
``weight`` tokens per second, and each job within the share takes one, in order of acceptance. The
result follows from stored acceptance times alone, so that successive owners agree.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from datetime import datetime, timedelta

import attrs

from mimosapoint.cell.decisions.quotas import RESOURCE_NAMES, QuotaLedger
from mimosapoint.cell.decisions.units import Job, Unit
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.workload import ResourceAmounts, UnitId

__all__ = ["ShareTracker", "Shares"]

SHARE_BURST = timedelta(seconds=2)
"""Time for which tokens accumulate. Jobs that arrive at the stated rate come in clusters; two
seconds are about the run time of an urgent job, whose deadline allows for that wait."""

MIN_BURST_JOBS = 1.0
"""Least size of a bucket, in jobs; a smaller one would never hold the token that a job takes."""


@attrs.define
class _Bucket:
    """Token bucket of one workspace.

    :param weight: tokens per second, and jobs per second within the share.
    :param tokens: present number of tokens.
    :param updated_at: latest acceptance time seen.
    :param excess_until: time up to which jobs beyond the share have been given their turns.
    """

    weight: float
    tokens: float = attrs.field()
    updated_at: datetime | None = None
    excess_until: datetime | None = None

    @tokens.default
    def _full(self) -> float:
        return self._size

    @property
    def _size(self) -> float:
        return max(MIN_BURST_JOBS, self.weight * SHARE_BURST.total_seconds())

    def accept(self, accepted_at: datetime) -> datetime | None:
        """Take a token for a job, or return when a job beyond the share gets its turn.

        Such jobs get a turn every ``1 / weight`` seconds, so that each runs eventually. They take
        no tokens: the jobs that come after a burst are within the share again.
        """
        # Acceptance times come from the clocks of several nodes, which differ a little.
        now = max(accepted_at, self.updated_at) if self.updated_at else accepted_at
        elapsed = (now - self.updated_at).total_seconds() if self.updated_at else 0.0
        self.tokens = min(self._size, self.tokens + self.weight * elapsed)
        self.updated_at = now
        if self.tokens >= 1:
            self.tokens -= 1
            return None
        begin = max(now, self.excess_until) if self.excess_until else now
        self.excess_until = begin + timedelta(seconds=1 / self.weight)
        return self.excess_until


class ShareTracker:
    """Finds the jobs that exceed the shares of their workspaces, in order of acceptance."""

    def __init__(self) -> None:
        self._weights: dict[str, float] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._last_rev = 0
        self._turns_by_job: dict[str, datetime] = {}

    def update(
        self, jobs_by_id: Mapping[str, Job], weights: Mapping[str, float]
    ) -> Mapping[str, datetime]:
        """Take new jobs into account.

        A change of weights is applied to all jobs that are still known.

        :param jobs_by_id: the known jobs in the order in which they became known.
        :param weights: weights by workspace.
        :return: turns of the jobs beyond the shares, by job id.
        """
        if dict(weights) != self._weights:
            self._weights = dict(weights)
            self._buckets.clear()
            self._turns_by_job.clear()
            self._last_rev = 0
        if not weights:
            return {}
        new = []
        for job in reversed(jobs_by_id.values()):
            if job.accepted_rev <= self._last_rev:
                break
            new.append(job)
        for job in sorted(new, key=lambda job: job.accepted_rev):
            self._last_rev = job.accepted_rev
            self._accept(job)
        for job_id in [job_id for job_id in self._turns_by_job if job_id not in jobs_by_id]:
            del self._turns_by_job[job_id]
        return self._turns_by_job

    def _accept(self, job: Job) -> None:
        workspace = job.record.tenant
        weight = self._weights.get(workspace)
        if weight is None:
            return
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = self._buckets[workspace] = _Bucket(weight)
        turn = bucket.accept(job.record.accepted_at)
        if turn is not None:
            self._turns_by_job[job.record.id] = turn


@attrs.frozen
class Shares:
    """Shares of the workspaces in one decision.

    :param turns_by_job: times from which jobs beyond the shares count as within them, by job id.
    :param weights: weights by workspace.
    """

    turns_by_job: Mapping[str, datetime] = attrs.field(factory=dict)
    weights: Mapping[str, float] = attrs.field(factory=dict)

    def is_excess(self, unit: Unit, now: datetime) -> bool:
        """Return whether the unit's job exceeds the share of its workspace."""
        turn = self.turns_by_job.get(unit.id.job)
        return turn is not None and now < turn

    def rank_excess(
        self, excess: Iterable[Unit], quotas: QuotaLedger, workers: Iterable[Worker]
    ) -> dict[UnitId, float]:
        """Return the weighted dominant share at which each unit beyond a share starts.

        The units are assumed to start in the given order, so that units of several workspaces
        alternate and their shares, divided by their weights, even out.

        :param excess: units beyond the shares, in their order.
        :param quotas: use of the workspaces.
        :param workers: the usable workers.
        """
        total = ResourceAmounts()
        for worker in workers:
            total += worker.registration.capacity
        used_by_workspace: dict[str, ResourceAmounts] = {}
        ranks = {}
        for unit in excess:
            workspace = unit.job.record.tenant
            used = used_by_workspace.get(workspace)
            if used is None:
                used = quotas.used(workspace)
            ranks[unit.id] = _dominant_share(used, total) / self.weights[workspace]
            used_by_workspace[workspace] = used + unit.step.amounts.scaled(unit.size)
        return ranks


def _dominant_share(used: ResourceAmounts, total: ResourceAmounts) -> float:
    """Return the largest share of cores, memory and accelerators."""
    return max(
        getattr(used, name) / getattr(total, name) if getattr(total, name) else 0.0
        for name in RESOURCE_NAMES
    )
