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
    :param body: decoded body; ``None`` when it is empty.
    """

    status: int
    body: Any


class Client:
    """HTTP client that tries its addresses in order until one replies.

    :param addresses: ``IP:port`` of the servers.
    """

    def __init__(self, addresses: list[str]):
        self.addresses = list(addresses)
        self._pool = httpcore.AsyncConnectionPool(max_connections=500)

    async def call(self, method: str, path: str, body: Any = None, **options: Any) -> Reply:
        """Return the first reply of any address; its status is 0 when no address replies.

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
        """Return the reply of one address; its status is 0 when there is none.

        :param timeout: seconds allowed for each phase of the request.
        """
        content = b"" if body is None else json.dumps(body).encode()
        all_headers = {"Host": address, "Content-Type": "application/json", **(headers or {})}
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), timeout)
        try:
            response = await self._pool.request(
                method,
                f"http://{address}{path}",
                headers=all_headers,
                content=content,
                extensions={"timeout": timeouts},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            return Reply(0, None)
        return Reply(response.status, json.loads(response.content) if response.content else None)

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()
