"""Policies that keep guaranteed shapes claimable, each with more features than the last."""

import attrs

from mimosapoint.scheduling._guarantee_policy import GuaranteePolicy, PolicyOptions
from mimosapoint.scheduling.placement_search import best_fit
from mimosapoint.scheduling.registry import scheduling_policy

__all__ = [
    "Balanced",
    "GuaranteedShapes",
    "Packed",
    "Quarantining",
    "Refusing",
    "Reserving",
    "UrgentLane",
    "ZoneMoves",
]


@scheduling_policy("guaranteed-shapes")
class GuaranteedShapes(GuaranteePolicy):
    """Allocates each guaranteed shape, lends idle allocations and reclaims them."""


@scheduling_policy("urgent-lane")
class UrgentLane(GuaranteePolicy):
    """Also orders jobs by class; urgent work may preempt borrowers that are not urgent."""

    options = PolicyOptions(class_priority=True)


@scheduling_policy("zone-moves")
class ZoneMoves(GuaranteePolicy):
    """Also moves waiting jobs to zones that can run them sooner."""

    options = PolicyOptions(class_priority=True, moves=True)


@scheduling_policy("refusing")
class Refusing(GuaranteePolicy):
    """Also refuses jobs that no zone could run even when empty."""

    options = PolicyOptions(class_priority=True, moves=True, refuse_infeasible=True)


@scheduling_policy("reserving")
class Reserving(GuaranteePolicy):
    """Also reserves capacity for large gangs that wait long."""

    options = PolicyOptions(class_priority=True, moves=True, refuse_infeasible=True, reserve=True)


@scheduling_policy("balanced")
class Balanced(GuaranteePolicy):
    """Also balances the load of the zones."""

    options = PolicyOptions(
        class_priority=True, moves=True, refuse_infeasible=True, reserve=True, balance_load=True
    )


@scheduling_policy("quarantining")
class Quarantining(GuaranteePolicy):
    """Also quarantines workers on which several jobs fail."""

    options = attrs.evolve(Balanced.options, quarantine=True)


@scheduling_policy("packed")
class Packed(GuaranteePolicy):
    """Also packs gangs by best fit."""

    options = attrs.evolve(Quarantining.options, find_workers=best_fit)
