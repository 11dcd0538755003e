"""Result of a decision that is not carried out."""

import attrs

from mimosapoint.cell.decisions.context import DecisionContext
from mimosapoint.cell.decisions.planner import Plan
from mimosapoint.cell.decisions.units import Unit
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.cell.explain import WaitExplanation

__all__ = ["DryRun"]


@attrs.frozen
class DryRun:
    """What a decision would be if further units waited; nothing of it is carried out.

    :param ordered: the waiting units, with the further ones, in their order.
    :param plan: the plan.
    :param workers: the usable workers.
    :param context: circumstances of the decision.
    :param obstacle: why nothing may start at present; ``None`` if units may start.
    """

    ordered: list[Unit]
    plan: Plan
    workers: list[Worker]
    context: DecisionContext
    obstacle: WaitExplanation | None
