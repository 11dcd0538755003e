"""Outages of the store, which may overlap."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any

import attrs

from tools.soak.proxy import Proxy

__all__ = ["StoreOutages"]


@attrs.define
class StoreOutages:
    """Makes the store refuse calls, or be silent to every node, while any outage lasts.

    :param proxies: proxies between the nodes and the store.
    """

    proxies: list[Proxy]
    _refusing: int = 0

    @contextmanager
    def refused(self) -> Iterator[None]:
        """Refuse calls without an effect within the context."""
        self._refusing += 1
        try:
            yield
        finally:
            self._refusing -= 1

    @contextmanager
    def silent(self) -> Iterator[None]:
        """Drop all data between the nodes and the store within the context."""
        with ExitStack() as cuts:
            for proxy in self.proxies:
                cuts.enter_context(proxy.cut())
            yield

    def refusing_app(self, app: Callable[..., Any]) -> Callable[..., Any]:
        """Return an application that replies 503 during an outage, and as the store otherwise."""

        async def respond(scope: dict[str, Any], receive: Any, send: Any) -> None:
            if scope["type"] != "http" or not self._refusing:
                await app(scope, receive, send)
                return
            while (await receive()).get("more_body", False):
                # The connection stays usable only if the whole request is read.
                pass
            length = (b"content-length", b"2")
            await send({"type": "http.response.start", "status": 503, "headers": [length]})
            await send({"type": "http.response.body", "body": b"{}"})

        return respond
