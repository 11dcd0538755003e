"""The node that carries orders for an owner."""

from collections import OrderedDict

import trio

from mimosapoint.codec import from_value
from mimosapoint.errors import CodecError, MimosapointError
from mimosapoint.ports import RunWorkers, Telemetry
from mimosapoint.relay import _messages as rows
from mimosapoint.relay._framed_stream import FramedStream, Message
from mimosapoint.workload import AcceptedJob

__all__ = ["serve_relay"]


async def serve_relay(stream: trio.abc.Stream, workers: RunWorkers, telemetry: Telemetry) -> str:
    """Carry out the orders that arrive until the owner is gone; return why it ended.

    Orders keep the owner's token and their own time limits, so that one that is carried out late
    has no more effect than one that was late on its own way.

    :param stream: stream to the owner.
    :param workers: how this node reaches the workers.
    """
    async with trio.open_nursery() as nursery:
        carrier = _RelayServer(FramedStream(stream), workers, nursery, telemetry)
        reason = await carrier.duplex.run(carrier.handle)
        nursery.cancel_scope.cancel()
    return reason


class _RelayServer:
    def __init__(
        self, duplex: FramedStream, workers: RunWorkers, nursery: trio.Nursery, telemetry: Telemetry
    ):
        self.duplex = duplex
        self._workers = workers
        self._nursery = nursery
        self._telemetry = telemetry
        self._jobs_by_id: OrderedDict[str, AcceptedJob] = OrderedDict()

    def handle(self, row: Message) -> None:
        """Begin to carry out the order of a row.

        :raises CodecError: the row cannot be read.
        """
        try:
            if row[0] == rows.JOB:
                job = from_value(row[1], AcceptedJob)
                self._jobs_by_id[job.id] = job
                if len(self._jobs_by_id) > rows.JOB_CACHE_SIZE:
                    self._jobs_by_id.popitem(last=False)
                return
            order = self._decode_order(row)
        except (IndexError, KeyError, TypeError, ValueError) as error:
            raise CodecError(f"row of an order: {error!r}") from error
        self._nursery.start_soon(self._execute, row, order)

    def _decode_order(self, row: Message) -> object:
        if row[1] == rows.HOLD:
            return rows.decode_renewal(row)
        if row[1] == rows.STOP:
            return rows.decode_stop(row)
        if row[1] == rows.START:
            job_id = row[4][0]
            self._jobs_by_id.move_to_end(job_id)
            return rows.decode_start(row, self._jobs_by_id[job_id])
        raise ValueError(f"unknown order {row[1]}")

    async def _execute(self, row: Message, order: object) -> None:
        number, kind = row[:2]
        worker = rows.decode_worker(row)
        self._telemetry.count("relay_orders_carried", kind=kind)
        try:
            if kind == rows.HOLD:
                answer = rows.encode_run_report(
                    number, await self._workers.renew_lease(worker, order)
                )
            elif kind == rows.START:
                answer = rows.encode_clock(number, await self._workers.start(worker, order))
            else:
                await self._workers.stop(worker, order)
                answer = rows.encode_clock(number, 0)
        except MimosapointError as error:
            answer = rows.encode_error(number, error)
        self.duplex.send(answer)
