"""What the owner of a cell does not know yet about runs of earlier owners, and what that delays.

docs/design/recovery.md states the invariants and their proofs.
"""

from mimosapoint.cell.recovery.core import Recovery, RecoveryFleet, RecoveryWait
from mimosapoint.cell.recovery.inherited_workers import InheritedWorkers
from mimosapoint.cell.recovery.times import TakeOverTimes
from mimosapoint.cell.recovery.unresolved_starts import UnresolvedStart, UnresolvedStarts

__all__ = [
    "InheritedWorkers",
    "Recovery",
    "RecoveryFleet",
    "RecoveryWait",
    "TakeOverTimes",
    "UnresolvedStart",
    "UnresolvedStarts",
]
