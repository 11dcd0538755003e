"""Interfaces between the system and what it stands on."""

from mimosapoint.ports.api import JobApi, OperatorApi
from mimosapoint.ports.clock import Clock
from mimosapoint.ports.peers import PeerHandler, Peers
from mimosapoint.ports.store import ABSENT, VALUE_LIMIT_BYTES, Entry, Store
from mimosapoint.ports.telemetry import Span, Telemetry
from mimosapoint.ports.vm_list import VmList
from mimosapoint.ports.workers import Workers

__all__ = [
    "ABSENT",
    "VALUE_LIMIT_BYTES",
    "Clock",
    "Entry",
    "JobApi",
    "OperatorApi",
    "PeerHandler",
    "Peers",
    "Span",
    "Store",
    "Telemetry",
    "VmList",
    "Workers",
]
