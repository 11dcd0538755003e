"""Peers within one process, with faults to order."""

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
"""Address of the sender and address of the receiver."""


class LoopbackNetwork:
    """Dispatchers by address and the faults between them.

    A cut drops messages and replies silently, so that the caller learns of it by its timeout; an
    address without a dispatcher refuses at once.
    """

    def __init__(self, delay: timedelta = timedelta()) -> None:
        self.delay = delay
        self.calls_by_name: Counter[str] = Counter()
        self.bytes_by_name: Counter[str] = Counter()
        self._dispatchers_by_address: dict[str, Dispatcher] = {}
        self._cut: set[Link] = set()
        self._lost_replies: set[Link] = set()
        self._duplicated: set[Link] = set()
        self._delays_by_link: dict[Link, timedelta] = {}
        self._frozen: dict[str, trio.Event] = {}

    def join(self, address: str, dispatcher: Dispatcher) -> None:
        """Serve an address."""
        self._dispatchers_by_address[address] = dispatcher

    def leave(self, address: str) -> None:
        """Refuse calls to an address from now on."""
        self._dispatchers_by_address.pop(address, None)

    def cut(self, one: str, other: str) -> None:
        """Drop everything between two addresses."""
        self._cut |= {(one, other), (other, one)}

    def cut_one_way(self, sender: str, receiver: str) -> None:
        """Drop messages and replies from the sender to the receiver."""
        self._cut.add((sender, receiver))

    def heal(self, one: str, other: str) -> None:
        """Undo every fault between two addresses."""
        for link in ((one, other), (other, one)):
            self._cut.discard(link)
            self._lost_replies.discard(link)
            self._duplicated.discard(link)
            self._delays_by_link.pop(link, None)

    def delay_link(self, sender: str, receiver: str, delay: timedelta) -> None:
        """Set the delay of one direction."""
        self._delays_by_link[sender, receiver] = delay

    def lose_replies(self, caller: str, callee: str) -> None:
        """Serve calls, then drop the replies."""
        self._lost_replies.add((caller, callee))

    def duplicate(self, caller: str, callee: str) -> None:
        """Deliver every message twice; the caller gets the second reply."""
        self._duplicated.add((caller, callee))

    def freeze(self, address: str) -> None:
        """Hold everything that the address would send or receive."""
        self._frozen.setdefault(address, trio.Event())

    def thaw(self, address: str) -> None:
        """Deliver what was held."""
        event = self._frozen.pop(address, None)
        if event is not None:
            event.set()

    async def exchange(self, caller: str, callee: str, name: str, data: bytes) -> bytes:
        """Carry a message and its reply; never returns when either is dropped."""
        dispatcher = self._dispatchers_by_address.get(callee)
        if dispatcher is None:
            raise PeerUnreachable(f"{callee} refused the connection")
        await self._carry(caller, callee)
        self.calls_by_name[name] += 1
        if (caller, callee) in self._duplicated:
            await serve_bytes(dispatcher, name, data)
        reply = await serve_bytes(dispatcher, name, data)
        self.bytes_by_name[name] += len(data) + len(reply)
        if (caller, callee) in self._lost_replies:
            await trio.sleep_forever()
        await self._carry(callee, caller)
        return reply

    async def _carry(self, sender: str, receiver: str) -> None:
        await self._until_thawed(sender)
        link = (sender, receiver)
        await trio.sleep(self._delays_by_link.get(link, self.delay).total_seconds())
        if link in self._cut:
            await trio.sleep_forever()
        await self._until_thawed(receiver)

    async def _until_thawed(self, address: str) -> None:
        event = self._frozen.get(address)
        if event is not None:
            await event.wait()


class LoopbackPeers:
    """Peers adapter of one address of a :class:`LoopbackNetwork`."""

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
        raise PeerUnreachable(f"{address} did not answer {name} in {timeout.total_seconds()} s")
