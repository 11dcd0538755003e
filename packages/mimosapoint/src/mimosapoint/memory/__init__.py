"""In-memory adapters of the ports to the platform."""

from mimosapoint.memory.clock import TrioClock
from mimosapoint.memory.faults import Faults
from mimosapoint.memory.history import TaskEvent, TaskEventKind
from mimosapoint.memory.run_worker import MemoryRunWorker, RunRecord, RunSimulation
from mimosapoint.memory.run_workers import MemoryRunWorkers
from mimosapoint.memory.store import MemoryStore
from mimosapoint.memory.task_kinds import TaskFailure, task_kind
from mimosapoint.memory.transaction_store import MemoryTransactionStore
from mimosapoint.memory.transport import MemoryNetwork, MemoryTransport
from mimosapoint.memory.vm_list import MemoryVmList
from mimosapoint.memory.worker import MemoryWorker
from mimosapoint.memory.workers import MemoryWorkers

__all__ = [
    "Faults",
    "MemoryTransport",
    "MemoryNetwork",
    "MemoryRunWorker",
    "MemoryRunWorkers",
    "MemoryStore",
    "MemoryTransactionStore",
    "MemoryVmList",
    "MemoryWorker",
    "MemoryWorkers",
    "RunRecord",
    "TaskEvent",
    "TaskEventKind",
    "TaskFailure",
    "TrioClock",
    "RunSimulation",
    "task_kind",
]
