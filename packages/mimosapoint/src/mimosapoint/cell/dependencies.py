"""Dependencies that the components of an owner share."""

import attrs

from mimosapoint.cell.operators import OperatorView
from mimosapoint.ports import Clock, RunWorkers, Telemetry, TransactionStore, WorkerEntryDecoder

__all__ = ["CellOwnerDependencies"]


@attrs.frozen
class CellOwnerDependencies:
    """Ports and state that the components of an owner use.

    :param store: the store.
    :param workers: port to the workers.
    :param worker_decoder: decoder of the workers' entries.
    :param view: cell configuration and withdrawn zones.
    :param clock: clock of the node.
    :param telemetry: logs and metrics.
    """

    store: TransactionStore
    workers: RunWorkers
    worker_decoder: WorkerEntryDecoder
    view: OperatorView
    clock: Clock
    telemetry: Telemetry
