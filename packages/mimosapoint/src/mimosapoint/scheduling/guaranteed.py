"""Policies that keep guaranteed shapes claimable, one generation after the other."""

import attrs

from mimosapoint.scheduling._engine import Engine, Options
from mimosapoint.scheduling.places import tight_place
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
class GuaranteedShapes(Engine):
    """Keeps a home for each guaranteed shape, lends it and takes it back."""


@scheduling_policy("urgent-lane")
class UrgentLane(Engine):
    """Also serves classes in order; urgent work takes the place of less urgent borrowers."""

    options = Options(classes=True)


@scheduling_policy("zone-moves")
class ZoneMoves(Engine):
    """Also offers waiting jobs to zones that can run them sooner."""

    options = Options(classes=True, moves=True)


@scheduling_policy("refusing")
class Refusing(Engine):
    """Also refuses jobs that no zone can ever run."""

    options = Options(classes=True, moves=True, refuse=True)


@scheduling_policy("reserving")
class Reserving(Engine):
    """Also drains room for large gangs that wait long."""

    options = Options(classes=True, moves=True, refuse=True, reserve=True)


@scheduling_policy("balanced")
class Balanced(Engine):
    """Also evens out the queues of the zones."""

    options = Options(classes=True, moves=True, refuse=True, reserve=True, even=True)


@scheduling_policy("quarantining")
class Quarantining(Engine):
    """Also gives no work to workers that fail what they start."""

    options = attrs.evolve(Balanced.options, quarantine=True)


@scheduling_policy("packed")
class Packed(Engine):
    """Also fills the parts with the least room first."""

    options = attrs.evolve(Quarantining.options, place=tight_place)
