"""HTTP interface of the key-value store, backed by the in-memory store."""

from datetime import timedelta

import attrs
from mimosapoint.memory import MemoryStore
from mimosapoint.platform import (
    EntryList,
    EntryMessage,
    GrantLeaseReply,
    GrantLeaseRequest,
    Problem,
    WriteReply,
)
from mimosapoint.ports import Entry

from mimosapoint_standins.faults import add_fault_routes
from mimosapoint_standins.router import Request, Response, Router, json_response

__all__ = ["CallCounts", "store_app"]

WATCH_LIMIT = timedelta(seconds=60)
"""Limit of the timeout that a watch may request."""


@attrs.frozen
class CallCounts:
    """Number of calls that the store has served, by kind."""

    calls_by_kind: dict[str, int]


def store_app(store: MemoryStore) -> Router:
    """Return the ASGI application of a key-value store."""
    router = Router(lambda request: store.faults.garbage)
    add_fault_routes(router, lambda request: store.faults)
    _add_key_routes(router, store)
    _add_lease_routes(router, store)
    _add_read_routes(router, store)
    return router


def _add_key_routes(router: Router, store: MemoryStore) -> None:
    @router.route("GET", "/v1/keys/{key}")
    async def get(request: Request) -> Response:
        entry = await store.get(request.parameters["key"])
        if entry is None:
            return json_response(Problem("key-absent"), 404)
        return Response(200, entry.value, ((b"x-revision", str(entry.revision).encode()),))

    @router.route("PUT", "/v1/keys/{key}")
    async def compare_and_swap(request: Request) -> Response:
        lease = request.text("lease") or None
        expected = request.number("expected", int)
        key = request.parameters["key"]
        return json_response(
            WriteReply(await store.compare_and_swap(key, request.body, expected, lease))
        )

    @router.route("DELETE", "/v1/keys/{key}")
    async def delete(request: Request) -> Response:
        await store.delete(request.parameters["key"], request.number("expected", int))
        return Response(204)


def _add_lease_routes(router: Router, store: MemoryStore) -> None:
    @router.route("POST", "/v1/leases")
    async def grant_lease(request: Request) -> Response:
        ttl = timedelta(seconds=request.json(GrantLeaseRequest).ttl)
        return json_response(GrantLeaseReply(await store.grant_lease(ttl)))

    @router.route("POST", "/v1/leases/{lease}/renew")
    async def renew_lease(request: Request) -> Response:
        await store.renew_lease(request.parameters["lease"])
        return Response(204)


def _add_read_routes(router: Router, store: MemoryStore) -> None:
    @router.route("GET", "/v1/entries")
    async def scan(request: Request) -> Response:
        return _entries(await store.scan(request.text("prefix")))

    @router.route("GET", "/v1/watch")
    async def watch(request: Request) -> Response:
        timeout = min(timedelta(seconds=request.number("timeout", float)), WATCH_LIMIT)
        after = request.number("after", int)
        return _entries(await store.watch(request.text("prefix"), after, timeout))

    @router.route("GET", "/v1/counts", corruptible=False)
    async def counts(request: Request) -> Response:
        return json_response(CallCounts(dict(store.counts)))


def _entries(entries: list[Entry]) -> Response:
    return json_response(EntryList(tuple(EntryMessage.from_entry(entry) for entry in entries)))
