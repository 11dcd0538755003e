"""What the parts of an owner stand on."""

import attrs

from mimosapoint.cell.operators import OperatorView
from mimosapoint.ports import Clock, RunWorkers, Telemetry, TransactionStore, WorkerEntryDecoder

__all__ = ["CellOwnerDependencies"]


@attrs.frozen
class CellOwnerDependencies:
    """What an owner stands on.

    :param store: the store.
    :param workers: the workers.
    :param worker_decoder: how workers register.
    :param view: what operators have written.
    :param clock: clock of the node.
    :param telemetry: logs and metrics.
    """

    store: TransactionStore
    workers: RunWorkers
    worker_decoder: WorkerEntryDecoder
    view: OperatorView
    clock: Clock
    telemetry: Telemetry
