"""Relay node side of the relay: executes the orders of an owner."""

from collections import OrderedDict

import trio

from mimosapoint.codec import from_value
from mimosapoint.errors import CodecError, MimosapointError, WorkerUnreachable
from mimosapoint.ports import RunWorkers, Telemetry, WorkerRegistration
from mimosapoint.relay import _messages as messages
from mimosapoint.relay._framed_stream import FramedStream, Message
from mimosapoint.workload import AcceptedJob

__all__ = ["serve_relay"]


async def serve_relay(stream: trio.abc.Stream, workers: RunWorkers, telemetry: Telemetry) -> str:
    """Execute received orders until the connection to the owner ends; return the reason.

    Orders keep the owner's fencing token and their time limits, so a delayed order has no more
    effect than a direct order with the same delay.

    :param stream: stream to the owner.
    :param workers: connection of this node to the workers.
    """
    async with trio.open_nursery() as nursery:
        server = _RelayServer(FramedStream(stream), workers, nursery, telemetry)
        reason = await server.framed_stream.run(server.handle)
        nursery.cancel_scope.cancel()
    return reason


class _RelayServer:
    def __init__(
        self,
        framed_stream: FramedStream,
        workers: RunWorkers,
        nursery: trio.Nursery,
        telemetry: Telemetry,
    ):
        self.framed_stream = framed_stream
        self._workers = workers
        self._nursery = nursery
        self._telemetry = telemetry
        self._jobs_by_id: OrderedDict[str, AcceptedJob] = OrderedDict()

    def handle(self, message: Message) -> None:
        """Cache the job in a message, or start to execute the order in it.

        :raises CodecError: the message is malformed or refers to a job that is not cached.
        """
        try:
            if message[0] == messages.JOB:
                job = from_value(message[1], AcceptedJob)
                self._jobs_by_id[job.id] = job
                if len(self._jobs_by_id) > messages.JOB_CACHE_SIZE:
                    self._jobs_by_id.popitem(last=False)
                return
            order = self._decode_order(message)
            worker = messages.decode_worker(message)
        except messages.DECODING_ERRORS as error:
            raise CodecError(f"malformed order: {error!r}") from error
        self._nursery.start_soon(self._execute, message, worker, order)

    def _decode_order(self, message: Message) -> object:
        if message[1] == messages.RENEW_LEASE:
            return messages.decode_renewal(message)
        if message[1] == messages.STOP:
            return messages.decode_stop(message)
        if message[1] == messages.START:
            job_id = message[4][0]
            self._jobs_by_id.move_to_end(job_id)
            return messages.decode_start(message, self._jobs_by_id[job_id])
        raise ValueError(f"unknown order {message[1]}")

    async def _execute(self, message: Message, worker: WorkerRegistration, order: object) -> None:
        number, kind = message[:2]
        self._telemetry.count("relay_orders_carried", kind=kind)
        try:
            if kind == messages.RENEW_LEASE:
                reply = messages.encode_run_report(
                    number, await self._workers.renew_lease(worker, order)
                )
            elif kind == messages.START:
                reply = messages.encode_clock(number, await self._workers.start(worker, order))
            else:
                await self._workers.stop(worker, order)
                reply = messages.encode_clock(number, 0)
        except MimosapointError as error:
            reply = messages.encode_error(number, error)
        except Exception as error:
            # The order may have had its effect; those for other workers go on.
            self._telemetry.event("relay-order-fault", worker=worker.id, error=repr(error))
            reply = messages.encode_error(number, WorkerUnreachable(repr(error)))
        self.framed_stream.send(reply)
