"""Fencing tokens of the orders to a worker, which refuses lower ones than it has seen."""

__all__ = ["order_token"]

GENERATION_BITS = 20
"""Low bits of a token, which count how often it was raised in one ownership, after a restart or a
replacement of the worker or a refusal of the token; the epoch is above them."""


def order_token(epoch: int, generation: int) -> int:
    """Return the token of a generation of an epoch."""
    return (epoch << GENERATION_BITS) + generation
