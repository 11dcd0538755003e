"""In-memory adapters of the ports that stand for the platform."""

from mimosapoint.memory.clock import TrioClock
from mimosapoint.memory.faults import Faults
from mimosapoint.memory.history import TaskEvent, TaskEventKind
from mimosapoint.memory.kinds import TaskFailure, task_kind
from mimosapoint.memory.links import MemoryLinks, MemoryNetwork
from mimosapoint.memory.run_worker import MemoryRunWorker, RunRecord, WorkerPool
from mimosapoint.memory.run_workers import MemoryRunWorkers
from mimosapoint.memory.store import MemoryStore
from mimosapoint.memory.transactions import MemoryTransactionStore
from mimosapoint.memory.vm_list import MemoryVmList
from mimosapoint.memory.worker import MemoryWorker
from mimosapoint.memory.workers import MemoryWorkers

__all__ = [
    "Faults",
    "MemoryLinks",
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
    "WorkerPool",
    "task_kind",
]
