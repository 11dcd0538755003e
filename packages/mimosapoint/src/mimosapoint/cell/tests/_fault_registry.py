"""Registry of the faults of a cell in memory."""

from collections.abc import Awaitable, Callable

from mimosapoint.cell.tests._recorded_site import RecordedSite

__all__ = ["CellFault", "FaultRegistry"]

CellFault = Callable[[RecordedSite, float], Awaitable[None]]
"""Begins a fault, waits for a time in seconds and ends the fault."""


class FaultRegistry:
    """Faults of one part of the cell, by name, in the order in which they are declared."""

    def __init__(self):
        self.by_name: dict[str, CellFault] = {}

    def add(self, name: str) -> Callable[[CellFault], CellFault]:
        """Register a fault under a name."""

        def register(function: CellFault) -> CellFault:
            self.by_name[name] = function
            return function

        return register
