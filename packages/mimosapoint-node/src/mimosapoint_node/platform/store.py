"""Client of the platform's key-value store over HTTP."""

from datetime import timedelta
from functools import partial
from typing import Any

from mimosapoint.codec import encode
from mimosapoint.errors import (
    CompareFailed,
    LeaseLost,
    StoreTimeout,
    StoreUnavailable,
    ValueTooLarge,
)
from mimosapoint.platform import EntryList, GrantLeaseReply, GrantLeaseRequest, Problem, WriteReply
from mimosapoint.ports import VALUE_LIMIT_BYTES, Entry, Telemetry

from mimosapoint_node.platform._client import (
    CALL_TIMEOUT,
    CONNECT_TIMEOUT,
    HttpClient,
    Reply,
    make_path,
)

__all__ = ["HttpStore"]

NOT_FOUND = 404
NO_CONTENT = (204,)
KEY_ABSENT = "key-absent"
"""Problem code of an absent key."""

UPLOAD_BYTES_PER_SECOND = 62_500.0
"""Rate at which a value is sent at least: a quarter of a link of 2 Mbit/s. A write of the largest
value may take 16 s longer than a small one; to end it earlier would only begin it anew."""

KNOWN_ERRORS = frozenset({CompareFailed, LeaseLost, ValueTooLarge})


class HttpStore:
    """Key-value store at an HTTP address.

    :param address: ``IP:port`` of the store.
    :param telemetry: counts every call by kind as ``store_calls_total``.
    :param timeout: longest time until the reply begins, and then between parts of it, in addition
        to the wait of a watch and the time that a value needs at :data:`UPLOAD_BYTES_PER_SECOND`.
    :param connect_timeout: timeout for opening a connection.
    """

    def __init__(
        self,
        address: str,
        telemetry: Telemetry,
        timeout: timedelta = CALL_TIMEOUT,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
    ):
        self._address = address
        self._telemetry = telemetry
        make_client = partial(
            HttpClient, StoreUnavailable, StoreTimeout, KNOWN_ERRORS, timeout, connect_timeout
        )
        self._client = make_client()

        # Large writes on a slow link must not occupy the connections of the other calls.
        self._write_client = make_client(upload_bytes_per_second=UPLOAD_BYTES_PER_SECOND)

    async def get(self, key: str) -> Entry | None:
        """Return the current entry, or ``None`` when the key is absent."""
        self._count("get")
        path = make_path("keys", key)
        reply = await self._call("GET", path, accepted=(200, NOT_FOUND))
        if reply.status == NOT_FOUND:
            return self._check_absent(reply)
        revision = self._client.parse_reply(lambda: int(reply.headers[b"x-revision"]))
        return Entry(key, reply.body, revision)

    async def scan(self, prefix: str) -> list[Entry]:
        """Return the entries whose key begins with the prefix, ordered by key."""
        self._count("scan")
        reply = await self._call("GET", make_path("entries", prefix=prefix))
        return self._decode_entries(reply)

    async def compare_and_swap(
        self, key: str, value: bytes, expected: int, lease: str | None = None
    ) -> int:
        """Write the value if the stored revision is the expected one."""
        if len(value) > VALUE_LIMIT_BYTES:
            raise ValueTooLarge(f"{len(value)} bytes are over {VALUE_LIMIT_BYTES}")
        self._count("compare_and_swap")
        path = make_path("keys", key, expected=expected, lease=lease or "")
        reply = await self._call("PUT", path, value, client=self._write_client)
        return self._client.decode_body(reply, WriteReply).revision

    async def delete(self, key: str, expected: int) -> None:
        """Remove the key if the stored revision is the expected one."""
        self._count("delete")
        path = make_path("keys", key, expected=expected)
        await self._call("DELETE", path, accepted=NO_CONTENT)

    async def grant_lease(self, ttl: timedelta) -> str:
        """Return the id of a new lease."""
        self._count("grant_lease")
        body = encode(GrantLeaseRequest(ttl.total_seconds()))
        reply = await self._call("POST", make_path("leases"), body)
        return self._client.decode_body(reply, GrantLeaseReply).lease

    async def renew_lease(self, lease: str) -> None:
        """Renew the lease for its time to live."""
        self._count("renew_lease")
        path = make_path("leases", lease, "renew")
        await self._call("POST", path, accepted=NO_CONTENT)

    async def watch(self, prefix: str, after: int, timeout: timedelta) -> list[Entry]:
        """Wait until an entry under the prefix has a revision above ``after``."""
        self._count("watch")
        seconds = timeout.total_seconds()
        path = make_path("watch", prefix=prefix, after=after, timeout=seconds)
        return self._decode_entries(await self._call("GET", path, extra_time=timeout))

    async def close(self) -> None:
        """Close all idle connections."""
        await self._client.close()
        await self._write_client.close()

    async def _call(
        self,
        method: str,
        path: str,
        *body: bytes,
        client: HttpClient | None = None,
        **options: Any,
    ) -> Reply:
        with self._telemetry.span("store-call") as span:
            span.set("method", method)
            span.set("path", path)
            client = client or self._client
            return await client.call(method, self._address, path, *body, **options)

    def _count(self, kind: str) -> None:
        self._telemetry.count("store_calls_total", kind=kind)

    def _check_absent(self, reply: Reply) -> None:
        """Accept status 404 as an absent key only with the store's own code for it.

        :raises StoreTimeout: the reply has another code.
        """
        problem = self._client.decode_body(reply, Problem)
        if problem.code != KEY_ABSENT:
            raise StoreTimeout(f"unusable reply: {problem.code}")

    def _decode_entries(self, reply: Reply) -> list[Entry]:
        entry_list = self._client.decode_body(reply, EntryList)
        return self._client.parse_reply(lambda: [item.to_entry() for item in entry_list.entries])
