"""Interfaces between the system and what it stands on."""

from mimosapoint.ports.api import JobApi, OperatorApi
from mimosapoint.ports.clock import Clock
from mimosapoint.ports.links import NodeLinks
from mimosapoint.ports.peers import PeerHandler, Peers
from mimosapoint.ports.runs import (
    EndedRun,
    HoldOrder,
    OperatorFormat,
    Registration,
    RunStatus,
    RunWorkers,
    StartOrder,
    StartRefused,
    StopOrder,
    WithdrawnZone,
    WorkerFormat,
    WorkerLists,
    WorkerReplaced,
)
from mimosapoint.ports.store import ABSENT, VALUE_LIMIT_BYTES, Entry, Store
from mimosapoint.ports.telemetry import Span, Telemetry
from mimosapoint.ports.transactions import (
    Changes,
    Conflict,
    HistoryLost,
    Scan,
    TransactionStore,
    Write,
)
from mimosapoint.ports.vm_list import VmList
from mimosapoint.ports.workers import Workers

__all__ = [
    "ABSENT",
    "Changes",
    "Clock",
    "Conflict",
    "EndedRun",
    "Entry",
    "HistoryLost",
    "HoldOrder",
    "JobApi",
    "NodeLinks",
    "OperatorApi",
    "OperatorFormat",
    "PeerHandler",
    "Peers",
    "Registration",
    "RunStatus",
    "RunWorkers",
    "Scan",
    "Span",
    "StartOrder",
    "StartRefused",
    "StopOrder",
    "Store",
    "Telemetry",
    "TransactionStore",
    "VALUE_LIMIT_BYTES",
    "VmList",
    "WithdrawnZone",
    "WorkerFormat",
    "WorkerLists",
    "WorkerReplaced",
    "Workers",
    "Write",
]
