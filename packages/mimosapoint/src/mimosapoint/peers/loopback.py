"""In-memory network between peers of one process, with fault injection."""

from collections import Counter
from datetime import timedelta
from typing import Any

import trio

from mimosapoint.errors import PeerUnreachable
from mimosapoint.peers.dispatcher import Dispatcher
from mimosapoint.peers.registry import message_name
from mimosapoint.peers.wire import decode_reply, encode_message, serve_bytes

__all__ = ["LoopbackNetwork", "LoopbackPeers"]

Link = tuple[str, str]
"""Directed link: address of the sender and address of the receiver."""

FRAME_BYTES = 16_000
"""Bytes of a message that are sent without a pause; messages on a slow link take turns."""


class _SlowLink:
    """One direction of the link of an address with a limited rate."""

    def __init__(self, bytes_per_second: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._lock = trio.Lock()

    async def transfer(self, size: int) -> None:
        """Wait until the bytes have passed; concurrent transfers share the rate."""
        for begin in range(0, size, FRAME_BYTES):
            frame = min(FRAME_BYTES, size - begin)
            async with self._lock:
                await trio.sleep(frame / self._bytes_per_second)


class LoopbackNetwork:
    """Network of dispatchers by address, with faults injected between them.

    A cut drops messages and replies silently, so that the caller runs into its timeout; a call to
    an address without a dispatcher is refused at once.

    :param delay: one-way delay of every link without a delay of its own.
    """

    def __init__(self, delay: timedelta = timedelta()) -> None:
        self.delay = delay
        self.calls_by_name: Counter[str] = Counter()
        self.bytes_by_name: Counter[str] = Counter()
        self._dispatchers_by_address: dict[str, Dispatcher] = {}
        self._cut_links: set[Link] = set()
        self._links_losing_replies: set[Link] = set()
        self._duplicating_links: set[Link] = set()
        self._delays_by_link: dict[Link, timedelta] = {}
        self._thaw_events_by_address: dict[str, trio.Event] = {}
        self._uplinks_by_address: dict[str, _SlowLink] = {}
        self._downlinks_by_address: dict[str, _SlowLink] = {}

    def join(self, address: str, dispatcher: Dispatcher) -> None:
        """Serve an address with a dispatcher."""
        self._dispatchers_by_address[address] = dispatcher

    def leave(self, address: str) -> None:
        """Refuse calls to an address from now on."""
        self._dispatchers_by_address.pop(address, None)

    def cut(self, one: str, other: str) -> None:
        """Drop all messages and replies between two addresses."""
        self._cut_links |= {(one, other), (other, one)}

    def cut_one_way(self, sender: str, receiver: str) -> None:
        """Drop messages and replies from the sender to the receiver."""
        self._cut_links.add((sender, receiver))

    def heal(self, one: str, other: str) -> None:
        """Remove every fault between two addresses; a frozen address stays frozen."""
        for link in ((one, other), (other, one)):
            self._cut_links.discard(link)
            self._links_losing_replies.discard(link)
            self._duplicating_links.discard(link)
            self._delays_by_link.pop(link, None)

    def delay_link(self, sender: str, receiver: str, delay: timedelta) -> None:
        """Set the one-way delay from the sender to the receiver."""
        self._delays_by_link[sender, receiver] = delay

    def limit_rate(self, address: str, bytes_per_second: float) -> None:
        """Limit the rate at which an address sends, and that at which it receives."""
        self._uplinks_by_address[address] = _SlowLink(bytes_per_second)
        self._downlinks_by_address[address] = _SlowLink(bytes_per_second)

    def lose_replies(self, caller: str, callee: str) -> None:
        """Serve the calls of a caller to a callee but drop the replies."""
        self._links_losing_replies.add((caller, callee))

    def duplicate(self, caller: str, callee: str) -> None:
        """Deliver every message of a caller to a callee twice; the caller gets the second reply."""
        self._duplicating_links.add((caller, callee))

    def freeze(self, address: str) -> None:
        """Hold back all messages and replies from and to an address."""
        self._thaw_events_by_address.setdefault(address, trio.Event())

    def thaw(self, address: str) -> None:
        """Deliver what was held back while the address was frozen."""
        event = self._thaw_events_by_address.pop(address, None)
        if event is not None:
            event.set()

    async def exchange(self, caller: str, callee: str, name: str, data: bytes) -> bytes:
        """Deliver a message and return its reply; never return if either is dropped."""
        dispatcher = self._dispatchers_by_address.get(callee)
        if dispatcher is None:
            raise PeerUnreachable(f"{callee} refused the connection")
        await self._traverse_link(caller, callee, len(data))
        self.calls_by_name[name] += 1
        if (caller, callee) in self._duplicating_links:
            await serve_bytes(dispatcher, name, data)
        reply = await serve_bytes(dispatcher, name, data)
        self.bytes_by_name[name] += len(data) + len(reply)
        if (caller, callee) in self._links_losing_replies:
            await trio.sleep_forever()
        await self._traverse_link(callee, caller, len(reply))
        return reply

    async def _traverse_link(self, sender: str, receiver: str, size: int) -> None:
        await self._wait_until_thawed(sender)
        for slow_link in (
            self._uplinks_by_address.get(sender),
            self._downlinks_by_address.get(receiver),
        ):
            if slow_link is not None:
                await slow_link.transfer(size)
        link = (sender, receiver)
        await trio.sleep(self._delays_by_link.get(link, self.delay).total_seconds())
        if link in self._cut_links:
            await trio.sleep_forever()
        await self._wait_until_thawed(receiver)

    async def _wait_until_thawed(self, address: str) -> None:
        event = self._thaw_events_by_address.get(address)
        if event is not None:
            await event.wait()


class LoopbackPeers:
    """Adapter of the ``Peers`` port for one address of a :class:`LoopbackNetwork`."""

    def __init__(self, address: str, network: LoopbackNetwork) -> None:
        self._address = address
        self._network = network

    async def call(self, address: str, message: Any, timeout: timedelta) -> Any:
        """Send a message and return the reply; see :class:`~mimosapoint.ports.Peers`."""
        name = message_name(type(message))
        data = encode_message(message)
        with trio.move_on_after(timeout.total_seconds()):
            reply = await self._network.exchange(self._address, address, name, data)
            return decode_reply(name, reply)
        raise PeerUnreachable(
            f"{address} did not reply to {name} within {timeout.total_seconds()} s"
        )
