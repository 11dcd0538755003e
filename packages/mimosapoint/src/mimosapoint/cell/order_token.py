"""Fencing tokens of the orders to a worker, which refuses lower ones than it has seen."""

import attrs

__all__ = ["OrderTokens", "order_token"]

GENERATION_BITS = 20
"""Low bits of a token, which count how often it was raised in one ownership, after a restart or a
replacement of the worker, a refusal of the token or an acknowledgement; the epoch is above them."""

MAX_START_GENERATION = 1 << (GENERATION_BITS - 1)
"""Generation from which starts no longer raise the token, so that enough are left for restarts."""


def order_token(epoch: int, generation: int) -> int:
    """Return the token of a generation of an epoch."""
    return (epoch << GENERATION_BITS) + generation


@attrs.define
class OrderTokens:
    """Fencing tokens of one worker in one ownership.

    A start has a higher token than each acknowledgement of ends that was sent before it. So an
    incarnation that has a run of this start refuses an acknowledgement that reaches it late and
    was meant for the incarnation before.

    :param epoch: epoch of the ownership.
    :param generation: how often the token was raised.
    """

    epoch: int
    generation: int = 1
    _acknowledged_generation: int = attrs.field(init=False, default=0)

    @property
    def current(self) -> int:
        """Token of the next order."""
        return order_token(self.epoch, self.generation)

    def advance(self) -> None:
        """Raise the token, so that the worker refuses the orders that are in flight."""
        self.generation += 1

    def record_acknowledgement(self) -> None:
        """Record that an acknowledgement is sent with the current token."""
        self._acknowledged_generation = self.generation

    def for_start(self) -> int:
        """Return the token of a start, which is the current one from then on."""
        is_acknowledged = self._acknowledged_generation == self.generation
        if is_acknowledged and self.generation < MAX_START_GENERATION:
            self.advance()
        return self.current
