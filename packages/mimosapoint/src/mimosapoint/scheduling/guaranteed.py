"""Policies that keep guaranteed shapes claimable, one generation after the other."""

from mimosapoint.scheduling._engine import Engine, Options
from mimosapoint.scheduling.places import tight_place
from mimosapoint.scheduling.registry import scheduling_policy

__all__ = ["GuaranteedShapes", "Packed", "UrgentLane", "ZoneMoves"]


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


@scheduling_policy("packed")
class Packed(Engine):
    """Also fills the parts with the least room first."""

    options = Options(classes=True, moves=True, place=tight_place)
