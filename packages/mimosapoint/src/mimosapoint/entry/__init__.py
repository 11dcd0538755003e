"""Entry of callers' requests on any node."""

from mimosapoint.entry.admission import check_request
from mimosapoint.entry.core import Entry
from mimosapoint.entry.handlers import OwnerHandlers
from mimosapoint.entry.operators import Operators
from mimosapoint.entry.router import ZoneRouter
from mimosapoint.entry.settings import EntrySettings
from mimosapoint.entry.waiters import Waiters

__all__ = [
    "Entry",
    "EntrySettings",
    "Operators",
    "OwnerHandlers",
    "Waiters",
    "ZoneRouter",
    "check_request",
]
