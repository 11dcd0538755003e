"""Gateway of a node: serves requests of callers and operators, and messages to zone owners."""

from mimosapoint.gateway.admission import check_request
from mimosapoint.gateway.core import JobGateway
from mimosapoint.gateway.handlers import OwnerHandlers
from mimosapoint.gateway.operators import OperatorService
from mimosapoint.gateway.router import ZoneRouter
from mimosapoint.gateway.settings import GatewaySettings
from mimosapoint.gateway.waiters import JobWaiters

__all__ = [
    "JobGateway",
    "GatewaySettings",
    "OperatorService",
    "OwnerHandlers",
    "JobWaiters",
    "ZoneRouter",
    "check_request",
]
