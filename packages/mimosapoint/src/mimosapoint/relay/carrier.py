"""The node that carries orders for an owner."""

from collections import OrderedDict

import trio

from mimosapoint.codec import from_value
from mimosapoint.errors import CodecError, MimosapointError
from mimosapoint.ports import RunWorkers, Telemetry
from mimosapoint.relay import _rows as rows
from mimosapoint.relay._duplex import Duplex, Row
from mimosapoint.workload import JobRecord

__all__ = ["carry"]


async def carry(stream: trio.abc.Stream, workers: RunWorkers, telemetry: Telemetry) -> str:
    """Carry out the orders that arrive until the owner is gone; return why it ended.

    Orders keep the owner's token and their own time limits, so that one that is carried out late
    has no more effect than one that was late on its own way.

    :param stream: stream to the owner.
    :param workers: how this node reaches the workers.
    """
    async with trio.open_nursery() as nursery:
        carrier = _Carrier(Duplex(stream), workers, nursery, telemetry)
        reason = await carrier.duplex.run(carrier.take)
        nursery.cancel_scope.cancel()
    return reason


class _Carrier:
    def __init__(
        self, duplex: Duplex, workers: RunWorkers, nursery: trio.Nursery, telemetry: Telemetry
    ):
        self.duplex = duplex
        self._workers = workers
        self._nursery = nursery
        self._telemetry = telemetry
        self._jobs_by_id: OrderedDict[str, JobRecord] = OrderedDict()

    def take(self, row: Row) -> None:
        """Begin to carry out the order of a row.

        :raises CodecError: the row cannot be read.
        """
        try:
            if row[0] == rows.JOB:
                job = from_value(row[1], JobRecord)
                self._jobs_by_id[job.id] = job
                if len(self._jobs_by_id) > rows.JOBS_KEPT:
                    self._jobs_by_id.popitem(last=False)
                return
            order = self._order_of(row)
        except (IndexError, KeyError, TypeError, ValueError) as error:
            raise CodecError(f"row of an order: {error!r}") from error
        self._nursery.start_soon(self._carry_out, row, order)

    def _order_of(self, row: Row) -> object:
        if row[1] == rows.HOLD:
            return rows.hold_order(row)
        if row[1] == rows.STOP:
            return rows.stop_order(row)
        if row[1] == rows.START:
            job_id = row[4][0]
            self._jobs_by_id.move_to_end(job_id)
            return rows.start_order(row, self._jobs_by_id[job_id])
        raise ValueError(f"unknown order {row[1]}")

    async def _carry_out(self, row: Row, order: object) -> None:
        number, kind = row[:2]
        worker = rows.worker_of(row)
        self._telemetry.count("relay_orders_carried", kind=kind)
        try:
            if kind == rows.HOLD:
                answer = rows.lists_row(number, await self._workers.hold(worker, order))
            elif kind == rows.START:
                answer = rows.clock_row(number, await self._workers.start(worker, order))
            else:
                await self._workers.stop(worker, order)
                answer = rows.clock_row(number, 0)
        except MimosapointError as error:
            answer = rows.error_row(number, error)
        self.duplex.put(answer)
