"""Server of the calls between nodes, based on grpcio's thread API."""

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
    """Serve until cancelled, then wait up to ``shutdown_grace`` for the calls in progress.

    :param address: ``IP:port`` to listen on; port 0 picks a free one.
    :param task_status: receives the address that the server listens on.
    :raises OSError: the server cannot listen on the address.
    """
    trio_token = trio.lowlevel.current_trio_token()
    method_handlers = _MethodHandlers(dispatcher, telemetry, settings, trio_token)
    executor = ThreadPoolExecutor(settings.threads, "peers")
    server = grpc.server(
        executor,
        handlers=(method_handlers,),
        options=settings.server_options(),
        maximum_concurrent_rpcs=settings.threads + settings.max_queued_calls,
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
            termination = server.stop(settings.shutdown_grace.total_seconds())
            await trio.to_thread.run_sync(termination.wait)
            await trio.to_thread.run_sync(executor.shutdown)


def _bind(server: grpc.Server, address: str) -> str:
    try:
        port = server.add_insecure_port(address)
    except RuntimeError as error:
        raise OSError(f"cannot listen on {address}") from error
    return f"{address.rpartition(':')[0]}:{port}"


@attrs.define(eq=False)
class _MethodHandlers(grpc.GenericRpcHandler):
    """Handler of all methods of the service, each of which carries one message."""

    dispatcher: Dispatcher
    telemetry: Telemetry
    settings: GrpcPeersSettings
    trio_token: trio.lowlevel.TrioToken
    active_scopes: set[trio.CancelScope] = attrs.field(factory=set)

    def service(self, details: grpc.HandlerCallDetails) -> grpc.RpcMethodHandler | None:
        """Return the handler of a call, or ``None`` for another service."""
        name = method_name(details.method)
        if name is None:
            return None
        trace_context = _trace_context(details)
        return grpc.unary_unary_rpc_method_handler(self._method_behavior(name, trace_context))

    def _method_behavior(
        self, name: str, trace_context: str | None
    ) -> Callable[[bytes, grpc.ServicerContext], bytes]:
        def behavior(data: bytes, context: grpc.ServicerContext) -> bytes:
            scope = trio.CancelScope(relative_deadline=self._timeout(context))
            self.active_scopes.add(scope)
            try:
                if not context.add_callback(lambda: self._cancel_abandoned_call(scope)):
                    context.abort(grpc.StatusCode.CANCELLED, "the caller left")
                return trio.from_thread.run(
                    self._serve, name, data, trace_context, scope, trio_token=self.trio_token
                )
            except trio.TooSlowError:
                context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "not served in time")
            except (trio.Cancelled, trio.RunFinishedError):
                context.abort(grpc.StatusCode.UNAVAILABLE, "the node stops")
            finally:
                self.active_scopes.discard(scope)

        return behavior

    def _timeout(self, context: grpc.ServicerContext) -> float:
        max_seconds = self.settings.serve_timeout.total_seconds()
        remaining = context.time_remaining()
        return max_seconds if remaining is None else max(0.0, min(remaining, max_seconds))

    def _cancel_abandoned_call(self, scope: trio.CancelScope) -> None:
        """Cancel a call whose caller no longer waits for it, to free its thread."""
        if scope not in self.active_scopes:
            return
        try:
            self.trio_token.run_sync_soon(scope.cancel)
        except trio.RunFinishedError:
            pass

    async def _serve(
        self, name: str, data: bytes, trace_context: str | None, scope: trio.CancelScope
    ) -> bytes:
        with scope, self.telemetry.span("peer-serve", trace_context) as span:
            span.set("message", name)
            reply = await serve_bytes(self.dispatcher, name, data, self._log_untyped_error)
            self.telemetry.count("peer_serves", message=name)
            return reply
        raise trio.TooSlowError

    def _log_untyped_error(self, name: str, error: Exception) -> MimosapointError:
        self.telemetry.event("peer-handler-failed", message=name, error=repr(error))
        return MimosapointError(f"the handler of {name} failed")


def _trace_context(details: grpc.HandlerCallDetails) -> str | None:
    for key, value in details.invocation_metadata or ():
        if key == TRACE_KEY:
            return value
    return None
