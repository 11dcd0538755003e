"""Memory of which other nodes recently served, and which could not."""

from collections.abc import Collection
from random import Random

import attrs
import trio

__all__ = ["NodeOutcomes"]

OUTCOME_MEMORY_SECONDS = 10.0
"""Time after which an outcome is forgotten, in seconds: the time after which a node that stopped
without notice has left the directory, so that an outcome never lasts longer than an address."""

SERVED_RANK, UNKNOWN_RANK, FAILED_RANK = range(3)
"""Ranks of nodes in the order in which they are tried."""


@attrs.frozen
class _Outcome:
    """Last outcome of a node.

    :param served: whether the node served the request.
    :param at: time of the outcome on trio's clock, in seconds.
    """

    served: bool
    at: float


class NodeOutcomes:
    """Last outcomes of the current nodes.

    :param random: source of the order among equal nodes.
    """

    def __init__(self, random: Random):
        self._random = random
        self._outcome_by_node: dict[str, _Outcome] = {}

    def __len__(self) -> int:
        return len(self._outcome_by_node)

    def record(self, node: str, served: bool) -> None:
        """Record whether a node served a request."""
        self._outcome_by_node[node] = _Outcome(served, trio.current_time())

    def order(self, nodes: Collection[str]) -> list[str]:
        """Return the nodes in the order in which to try them, and forget all others.

        Nodes that served come first, in random order to share the load, then unknown nodes in
        random order, then those that failed, the earliest first as it most likely recovered.
        """
        for node in self._outcome_by_node.keys() - nodes:
            del self._outcome_by_node[node]
        ordered = list(nodes)
        self._random.shuffle(ordered)
        ordered.sort(key=self._sort_key)
        return ordered

    def all_failed(self, nodes: Collection[str]) -> bool:
        """Return whether each of the nodes recently failed to serve."""
        return all(self._sort_key(node)[0] == FAILED_RANK for node in nodes)

    def _sort_key(self, node: str) -> tuple[int, float]:
        outcome = self._outcome_by_node.get(node)
        if outcome is None or trio.current_time() - outcome.at >= OUTCOME_MEMORY_SECONDS:
            return UNKNOWN_RANK, 0.0
        return (SERVED_RANK, 0.0) if outcome.served else (FAILED_RANK, outcome.at)
