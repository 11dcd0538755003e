"""What the parts of an owner stand on."""

import attrs

from mimosapoint.cell.operators import OperatorView
from mimosapoint.ports import Clock, RunWorkers, Telemetry, TransactionStore, WorkerFormat

__all__ = ["Ports"]


@attrs.frozen
class Ports:
    """What an owner stands on.

    :param store: the store.
    :param workers: the workers.
    :param worker_format: how workers register.
    :param view: what operators have written.
    :param clock: clock of the node.
    :param telemetry: logs and metrics.
    """

    store: TransactionStore
    workers: RunWorkers
    worker_format: WorkerFormat
    view: OperatorView
    clock: Clock
    telemetry: Telemetry
