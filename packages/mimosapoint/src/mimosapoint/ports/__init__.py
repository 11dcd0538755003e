"""Ports: interfaces between the system, its callers and the platform."""

from mimosapoint.ports.api import JobApi, OperatorApi
from mimosapoint.ports.clock import Clock
from mimosapoint.ports.peers import PeerHandler, Peers
from mimosapoint.ports.runs import (
    EndedRun,
    OperatorEntryDecoder,
    RenewLeaseOrder,
    RunStatus,
    RunWorkers,
    StartOrder,
    StartRefused,
    StopOrder,
    WithdrawnZone,
    WorkerEntryDecoder,
    WorkerRegistration,
    WorkerReplaced,
    WorkerRunReport,
)
from mimosapoint.ports.store import ABSENT, VALUE_LIMIT_BYTES, Entry, Store
from mimosapoint.ports.telemetry import Span, Telemetry
from mimosapoint.ports.transactions import (
    ChangeBatch,
    HistoryLost,
    KeyRead,
    Removal,
    ScanResult,
    TransactionConflict,
    TransactionStore,
    Write,
)
from mimosapoint.ports.transport import NodeTransport
from mimosapoint.ports.vm_list import VmList
from mimosapoint.ports.workers import Workers

__all__ = [
    "ABSENT",
    "ChangeBatch",
    "Clock",
    "TransactionConflict",
    "EndedRun",
    "Entry",
    "HistoryLost",
    "KeyRead",
    "Removal",
    "RenewLeaseOrder",
    "JobApi",
    "NodeTransport",
    "OperatorApi",
    "OperatorEntryDecoder",
    "PeerHandler",
    "Peers",
    "WorkerRegistration",
    "RunStatus",
    "RunWorkers",
    "ScanResult",
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
    "WorkerEntryDecoder",
    "WorkerRunReport",
    "WorkerReplaced",
    "Workers",
    "Write",
]
