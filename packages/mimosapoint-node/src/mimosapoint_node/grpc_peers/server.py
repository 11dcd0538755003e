"""Serves calls of other nodes by grpcio's thread API."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import attrs
import grpc
import trio
from mimosapoint.errors import MimosapointError
from mimosapoint.peers import Dispatcher, serve_bytes
from mimosapoint.ports import Telemetry

from mimosapoint_node.grpc_peers.client import TRACE_KEY
from mimosapoint_node.grpc_peers.settings import DEFAULT_SETTINGS, GrpcPeersSettings, method_name

__all__ = ["serve_peers"]


async def serve_peers(
    address: str,
    dispatcher: Dispatcher,
    telemetry: Telemetry,
    settings: GrpcPeersSettings = DEFAULT_SETTINGS,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled, then let calls in progress end.

    :param address: ``IP:port`` to listen on; port 0 picks a free one.
    :param task_status: gets the address that is listened on.
    :raises OSError: the address is taken.
    """
    token = trio.lowlevel.current_trio_token()
    handlers = _Handlers(dispatcher, telemetry, settings, token)
    threads = ThreadPoolExecutor(settings.threads, "peers")
    server = grpc.server(
        threads,
        handlers=(handlers,),
        options=settings.server_options(),
        maximum_concurrent_rpcs=settings.threads + settings.waiting,
        compression=grpc.Compression.Deflate,
    )
    bound = _bind(server, address)
    server.start()
    telemetry.event("peers-serving", address=bound)
    try:
        task_status.started(bound)
        await trio.sleep_forever()
    finally:
        with trio.CancelScope(shield=True):
            stopped = server.stop(settings.stop_grace.total_seconds())
            await trio.to_thread.run_sync(stopped.wait)
            await trio.to_thread.run_sync(threads.shutdown)


def _bind(server: grpc.Server, address: str) -> str:
    try:
        port = server.add_insecure_port(address)
    except RuntimeError as error:
        raise OSError(f"cannot listen on {address}") from error
    return f"{address.rpartition(':')[0]}:{port}"


@attrs.define(eq=False)
class _Handlers(grpc.GenericRpcHandler):
    """Finds the handler of each method path."""

    dispatcher: Dispatcher
    telemetry: Telemetry
    settings: GrpcPeersSettings
    token: trio.lowlevel.TrioToken
    scopes: set[trio.CancelScope] = attrs.field(factory=set)

    def service(self, details: grpc.HandlerCallDetails) -> grpc.RpcMethodHandler | None:
        """Return the handler of a call, or ``None`` for another service."""
        name = method_name(details.method)
        if name is None:
            return None
        trace = _trace(details)
        return grpc.unary_unary_rpc_method_handler(self._behaviour(name, trace))

    def _behaviour(
        self, name: str, trace: str | None
    ) -> Callable[[bytes, grpc.ServicerContext], bytes]:
        def behave(data: bytes, context: grpc.ServicerContext) -> bytes:
            scope = trio.CancelScope(relative_deadline=self._timeout(context))
            self.scopes.add(scope)
            try:
                if not context.add_callback(lambda: self._caller_left(scope)):
                    context.abort(grpc.StatusCode.CANCELLED, "the caller left")
                return trio.from_thread.run(
                    self._serve, name, data, trace, scope, trio_token=self.token
                )
            except trio.TooSlowError:
                context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "not served in time")
            except (trio.Cancelled, trio.RunFinishedError):
                context.abort(grpc.StatusCode.UNAVAILABLE, "the node stops")
            finally:
                self.scopes.discard(scope)

        return behave

    def _timeout(self, context: grpc.ServicerContext) -> float:
        most = self.settings.serve_timeout.total_seconds()
        remaining = context.time_remaining()
        return most if remaining is None else max(0.0, min(remaining, most))

    def _caller_left(self, scope: trio.CancelScope) -> None:
        """Free the thread of a call that nobody waits for any more."""
        if scope not in self.scopes:
            return
        try:
            self.token.run_sync_soon(scope.cancel)
        except trio.RunFinishedError:
            pass

    async def _serve(
        self, name: str, data: bytes, trace: str | None, scope: trio.CancelScope
    ) -> bytes:
        with scope, self.telemetry.span("peer-serve", trace) as span:
            span.set("message", name)
            reply = await serve_bytes(self.dispatcher, name, data, self._report)
            self.telemetry.count("peer_serves", message=name)
            return reply
        raise trio.TooSlowError

    def _report(self, name: str, error: Exception) -> MimosapointError:
        self.telemetry.event("peer-handler-failed", message=name, error=repr(error))
        return MimosapointError(f"the handler of {name} failed")


def _trace(details: grpc.HandlerCallDetails) -> str | None:
    for key, value in details.invocation_metadata or ():
        if key == TRACE_KEY:
            return value
    return None
