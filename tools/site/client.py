"""HTTP client of the site's nodes and stand-ins, for tools and tests."""

import json
from typing import Any

import attrs
import httpcore

__all__ = ["Client", "Reply"]

TIMEOUT_SECONDS = 30.0


@attrs.frozen
class Reply:
    """Status and JSON body of a reply.

    :param status: HTTP status; 0 when there was no reply.
    :param body: decoded body.
    """

    status: int
    body: Any


class Client:
    """Calls one address after another until one answers.

    :param addresses: ``IP:port`` of the servers.
    """

    def __init__(self, addresses: list[str]):
        self.addresses = list(addresses)
        self._pool = httpcore.AsyncConnectionPool(max_connections=500)

    async def call(self, method: str, path: str, body: Any = None, **options: Any) -> Reply:
        """Return the first reply that an address gives; status 0 when none does.

        :param options: see :meth:`call_at`.
        """
        for address in self.addresses:
            reply = await self.call_at(address, method, path, body, **options)
            if reply.status:
                return reply
        return Reply(0, None)

    async def call_at(
        self,
        address: str,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout: float = TIMEOUT_SECONDS,
    ) -> Reply:
        """Return the reply of one address; status 0 when there is none."""
        content = b"" if body is None else json.dumps(body).encode()
        sent = {"Host": address, "Content-Type": "application/json", **(headers or {})}
        limits = dict.fromkeys(("connect", "read", "write", "pool"), timeout)
        try:
            response = await self._pool.request(
                method,
                f"http://{address}{path}",
                headers=sent,
                content=content,
                extensions={"timeout": limits},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            return Reply(0, None)
        return Reply(response.status, json.loads(response.content) if response.content else None)

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()
