"""Routes messages to the owner of an availability zone."""

from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Any

from mimosapoint.errors import CircuitOpen, NotOwner, OutcomeUnknown, Overloaded, PeerUnreachable
from mimosapoint.peers import Dispatcher, message_name
from mimosapoint.ports import Clock, Peers, Telemetry
from mimosapoint.resilience import Backoff, Deadline, RetryBudget

__all__ = ["ZoneRouter"]

INITIAL_BACKOFF = timedelta(milliseconds=50)
MAX_BACKOFF = timedelta(milliseconds=800)
RETRY_AFTER = timedelta(seconds=2)

RETRY_RATIO = 0.5
"""Retries that each request earns for all requests of the node."""

MAX_RETRY_TOKENS = 1000.0
"""Most retries that can be saved up."""


class ZoneRouter:
    """Calls the owner of a zone, wherever it is, and tries again while ownership changes.

    :param address: peer address of this node.
    :param owner_address: returns the peer address of a zone's owner, or ``None``.
    :param call_timeout: bound of one call.
    """

    def __init__(
        self,
        address: str,
        owner_address: Callable[[str], str | None],
        peers: Peers,
        dispatcher: Dispatcher,
        *,
        clock: Clock,
        telemetry: Telemetry,
        random: Random,
        call_timeout: timedelta,
    ):
        self._address = address
        self._address_of = owner_address
        self._peers = peers
        self._dispatcher = dispatcher
        self._clock = clock
        self._telemetry = telemetry
        self._random = random
        self._call_timeout = call_timeout
        self._budget = RetryBudget(RETRY_RATIO, MAX_RETRY_TOKENS)

    async def call(self, zone: str, message: Any, deadline: Deadline) -> Any:
        """Return the owner's reply.

        :param message: message whose repetition is harmless.
        :raises OutcomeUnknown: a call may have had its effect, and no reply came in time.
        :raises Overloaded: no owner could be reached in time; there was no effect.
        """
        backoff = Backoff(self._random, INITIAL_BACKOFF, MAX_BACKOFF)
        self._budget.record_attempt()
        doubtful = False
        while True:
            try:
                return await self._call_once(zone, message, deadline)
            except PeerUnreachable:
                doubtful = True
            except (NotOwner, CircuitOpen):
                self._telemetry.count("routes_missed_total", message=message_name(type(message)))
            wait = backoff.next_delay()
            if deadline.remaining() <= wait or not self._budget.try_retry():
                raise self._final_error(zone, doubtful)
            await self._clock.sleep(wait)

    async def _call_once(self, zone: str, message: Any, deadline: Deadline) -> Any:
        address = self._address_of(zone)
        if address is None:
            raise NotOwner(zone)
        if address == self._address:
            return await self._dispatcher.dispatch(message)
        timeout = deadline.remaining_up_to(self._call_timeout)
        return await self._peers.call(address, message, timeout)

    def _final_error(self, zone: str, doubtful: bool) -> OutcomeUnknown | Overloaded:
        if doubtful:
            return OutcomeUnknown(
                "repeat the request with the same idempotency key", retry_after=RETRY_AFTER
            )
        return Overloaded(f"no owner of {zone} can be reached", retry_after=RETRY_AFTER)
