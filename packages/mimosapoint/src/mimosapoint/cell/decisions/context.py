"""What every part of one decision needs to know."""

from collections.abc import Sequence
from datetime import datetime

import attrs

from mimosapoint.cell.decisions.durations import DeclaredDurations, Durations
from mimosapoint.cell.decisions.quotas import QuotaLedger
from mimosapoint.cell.decisions.shares import Shares
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.workload import CellConfiguration

__all__ = ["DecisionContext"]


@attrs.frozen
class DecisionContext:
    """Circumstances of one decision.

    :param configuration: configuration in force.
    :param now: time of the decision.
    :param covered: ids of the jobs that the guarantees of their workspaces cover.
    :param durations: expected run times.
    :param quotas: what the capped workspaces use; the planner adds what it plans.
    :param shares: which jobs exceed the shares of their workspaces.
    :param service_workers: workers that make up the services; by default the usable ones.
    """

    configuration: CellConfiguration
    now: datetime
    covered: frozenset[str] = frozenset()
    durations: Durations = attrs.field(factory=DeclaredDurations)
    quotas: QuotaLedger = attrs.field(factory=QuotaLedger)
    shares: Shares = attrs.field(factory=Shares)
    service_workers: Sequence[Worker] = ()
