"""Policies that keep guaranteed shapes claimable, one generation after the other."""

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
    """Keeps a home for each guaranteed shape, lends it and takes it back."""


@scheduling_policy("urgent-lane")
class UrgentLane(GuaranteePolicy):
    """Also serves classes in order; urgent work takes the place of less urgent borrowers."""

    options = PolicyOptions(class_priority=True)


@scheduling_policy("zone-moves")
class ZoneMoves(GuaranteePolicy):
    """Also offers waiting jobs to zones that can run them sooner."""

    options = PolicyOptions(class_priority=True, moves=True)


@scheduling_policy("refusing")
class Refusing(GuaranteePolicy):
    """Also refuses jobs that no zone can ever run."""

    options = PolicyOptions(class_priority=True, moves=True, refuse_infeasible=True)


@scheduling_policy("reserving")
class Reserving(GuaranteePolicy):
    """Also drains room for large gangs that wait long."""

    options = PolicyOptions(class_priority=True, moves=True, refuse_infeasible=True, reserve=True)


@scheduling_policy("balanced")
class Balanced(GuaranteePolicy):
    """Also evens out the queues of the zones."""

    options = PolicyOptions(
        class_priority=True, moves=True, refuse_infeasible=True, reserve=True, balance_load=True
    )


@scheduling_policy("quarantining")
class Quarantining(GuaranteePolicy):
    """Also gives no work to workers that fail what they start."""

    options = attrs.evolve(Balanced.options, quarantine=True)


@scheduling_policy("packed")
class Packed(GuaranteePolicy):
    """Also fills the parts with the least room first."""

    options = attrs.evolve(Quarantining.options, find_workers=best_fit)
