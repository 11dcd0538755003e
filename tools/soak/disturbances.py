"""Faults and planned work of a run, and the calm times between them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

__all__ = ["CONTACT_SECONDS", "RECOVERY_SECONDS", "Disturbance", "PlannedWork", "calm_spans"]

CONTACT_SECONDS = 4.0
"""Time after a disturbance from which nodes must serve as if there had been none."""

RECOVERY_SECONDS = 10.0
"""Time from the start of all nodes, after which and ``CONTACT_SECONDS`` jobs must not stand still
any more: users ask for them 14 s after the traffic."""

STOP_SECONDS = 7.0
"""Time from SIGTERM within which it may cut requests: the grace of 6 s, and 1 s more."""

RELOAD_SECONDS = 2.0
"""Time from SIGHUP until which requests are sent that the reload must not cut."""


@attrs.frozen
class PlannedWork:
    """Signal that a node gets as planned.

    :param at: time of the signal on the trio clock.
    :param node: number of the node.
    :param signal: name of the signal.
    """

    at: float
    node: int
    signal: str

    def covers(self, sent_at: float, ended_at: float) -> bool:
        """Return whether a request ended because of the work, as far as the times tell."""
        if ended_at < self.at:
            return False
        # A reload cuts nothing that was sent in time, however late; a stop has a last moment.
        if self.signal == "SIGHUP":
            return sent_at <= self.at + RELOAD_SECONDS
        return self.signal == "SIGTERM" and ended_at <= self.at + STOP_SECONDS


@attrs.define
class Disturbance:
    """Fault, or planned work of which requests notice nothing.

    :param name: name of the fault.
    :param began_at: time of its begin on the trio clock.
    :param ended_at: time at which it was cleared; infinite before.
    :param is_planned: whether operators plan it.
    """

    name: str
    began_at: float
    ended_at: float = float("inf")
    is_planned: bool = False


def calm_spans(
    disturbances: Iterable[Disturbance], since: float, until: float
) -> Iterator[tuple[float, float]]:
    """Yield begin and end of each time that no disturbance reaches into.

    :param disturbances: faults and planned work; each reaches ``CONTACT_SECONDS`` beyond its end.
    :param since: begin of the first time.
    :param until: end of the last time.
    """
    begins_at = since
    for each in sorted(disturbances, key=lambda each: each.began_at):
        if each.began_at > begins_at:
            yield begins_at, min(each.began_at, until)
        begins_at = max(begins_at, each.ended_at + CONTACT_SECONDS)
        if begins_at >= until:
            return
    yield begins_at, until
