"""Store and peers whose calls are suspended by a circuit breaker while they fail."""

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, TypeVar

from mimosapoint.errors import CircuitOpen, PeerUnreachable, StoreTimeout, StoreUnavailable
from mimosapoint.ports import Clock, Entry, Peers, Store
from mimosapoint.resilience.circuit import CircuitBreaker

__all__ = ["CircuitBreakingPeers", "CircuitBreakingStore"]

T = TypeVar("T")

MAX_TRACKED_PEERS = 1000
"""Limit of peers with a circuit breaker; the least recently called is dropped."""


class CircuitBreakingStore:
    """A store whose calls fail immediately while its circuit breaker is open.

    :param store: the store to call.
    """

    def __init__(self, store: Store, clock: Clock):
        self._store = store
        self._breaker = CircuitBreaker(clock)

    async def get(self, key: str) -> Entry | None:
        """Return the current entry; see :class:`~mimosapoint.ports.Store`."""
        return await self._call(lambda: self._store.get(key))

    async def scan(self, prefix: str) -> list[Entry]:
        """Return the entries under a prefix; see :class:`~mimosapoint.ports.Store`."""
        return await self._call(lambda: self._store.scan(prefix))

    async def compare_and_swap(
        self, key: str, value: bytes, expected: int, lease: str | None = None
    ) -> int:
        """Write a value; see :class:`~mimosapoint.ports.Store`."""
        return await self._call(lambda: self._store.compare_and_swap(key, value, expected, lease))

    async def delete(self, key: str, expected: int) -> None:
        """Remove a key; see :class:`~mimosapoint.ports.Store`."""
        await self._call(lambda: self._store.delete(key, expected))

    async def grant_lease(self, ttl: timedelta) -> str:
        """Return a new lease; see :class:`~mimosapoint.ports.Store`."""
        return await self._call(lambda: self._store.grant_lease(ttl))

    async def renew_lease(self, lease: str) -> None:
        """Renew a lease; see :class:`~mimosapoint.ports.Store`."""
        await self._call(lambda: self._store.renew_lease(lease))

    async def watch(self, prefix: str, after: int, timeout: timedelta) -> list[Entry]:
        """Wait for a change; see :class:`~mimosapoint.ports.Store`."""
        return await self._call(lambda: self._store.watch(prefix, after, timeout))

    async def _call(self, call: Callable[[], Awaitable[T]]) -> T:
        try:
            with self._breaker.guard(StoreUnavailable, StoreTimeout):
                return await call()
        except CircuitOpen as error:
            raise StoreUnavailable(
                "calls to the store are suspended", retry_after=error.retry_after
            ) from error


class CircuitBreakingPeers:
    """Calls to peers that fail immediately while the peer's circuit breaker is open.

    :param peers: calls to other nodes.
    :param exempt_messages: types of messages that detect a peer's return; always sent.
    """

    def __init__(self, peers: Peers, clock: Clock, exempt_messages: frozenset[type]):
        self._peers = peers
        self._clock = clock
        self._exempt_messages = exempt_messages
        self._breakers_by_address: OrderedDict[str, CircuitBreaker] = OrderedDict()

    async def call(self, address: str, message: Any, timeout: timedelta) -> Any:
        """Send a message and return the reply; see :class:`~mimosapoint.ports.Peers`.

        :raises CircuitOpen: the peer has not replied to recent calls; the message was not sent.
        """
        if type(message) in self._exempt_messages:
            return await self._peers.call(address, message, timeout)
        with self._breaker(address).guard(PeerUnreachable):
            return await self._peers.call(address, message, timeout)

    def _breaker(self, address: str) -> CircuitBreaker:
        breaker = self._breakers_by_address.get(address)
        if breaker is None:
            breaker = self._breakers_by_address[address] = CircuitBreaker(self._clock)
        self._breakers_by_address.move_to_end(address)
        while len(self._breakers_by_address) > MAX_TRACKED_PEERS:
            self._breakers_by_address.popitem(last=False)
        return breaker
