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
"""Retries allowed per request; the budget is shared by all requests of the node."""

MAX_RETRY_TOKENS = 1000.0
"""Maximum and initial number of unused retries."""


class ZoneRouter:
    """Calls the owner of a zone on this or another node, with retries while ownership changes.

    :param address: peer address of this node.
    :param owner_address: returns the peer address of a zone's owner, or ``None``.
    :param call_timeout: timeout of one call to another node.
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
        self._owner_address = owner_address
        self._peers = peers
        self._dispatcher = dispatcher
        self._clock = clock
        self._telemetry = telemetry
        self._random = random
        self._call_timeout = call_timeout
        self._budget = RetryBudget(RETRY_RATIO, MAX_RETRY_TOKENS)

    async def call(self, zone: str, message: Any, deadline: Deadline) -> Any:
        """Return the owner's reply.

        :param message: an idempotent message.
        :raises OutcomeUnknown: no reply within the deadline or the retry budget; a call may have
            had its effect.
        :raises Overloaded: no owner was reached within the deadline or the retry budget; the
            message had no effect.
        """
        backoff = Backoff(self._random, INITIAL_BACKOFF, MAX_BACKOFF)
        self._budget.record_attempt()
        outcome_unknown = False
        while True:
            try:
                return await self._call_once(zone, message, deadline)
            except PeerUnreachable:
                outcome_unknown = True
            except (NotOwner, CircuitOpen):
                self._telemetry.count("routes_missed_total", message=message_name(type(message)))
            delay = backoff.next_delay()
            if deadline.remaining() <= delay or not self._budget.try_retry():
                raise self._final_error(zone, outcome_unknown)
            await self._clock.sleep(delay)

    async def _call_once(self, zone: str, message: Any, deadline: Deadline) -> Any:
        address = self._owner_address(zone)
        if address is None:
            raise NotOwner(zone)
        if address == self._address:
            return await self._dispatcher.dispatch(message)
        timeout = deadline.remaining_up_to(self._call_timeout)
        return await self._peers.call(address, message, timeout)

    def _final_error(self, zone: str, outcome_unknown: bool) -> OutcomeUnknown | Overloaded:
        if outcome_unknown:
            return OutcomeUnknown(
                "repeat the request with the same idempotency key", retry_after=RETRY_AFTER
            )
        return Overloaded(f"no owner of {zone} can be reached", retry_after=RETRY_AFTER)
