"""In-memory adapters of the ports that stand for the platform."""

from mimosapoint.memory.clock import TrioClock
from mimosapoint.memory.faults import Faults
from mimosapoint.memory.history import TaskEvent, TaskEventKind
from mimosapoint.memory.kinds import TaskFailure, task_kind
from mimosapoint.memory.store import MemoryStore
from mimosapoint.memory.vm_list import MemoryVmList
from mimosapoint.memory.worker import MemoryWorker
from mimosapoint.memory.workers import MemoryWorkers

__all__ = [
    "Faults",
    "MemoryStore",
    "MemoryVmList",
    "MemoryWorker",
    "MemoryWorkers",
    "TaskEvent",
    "TaskEventKind",
    "TaskFailure",
    "TrioClock",
    "task_kind",
]
