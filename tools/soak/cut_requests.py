"""Check of requests whose connection ended without a reply."""

from __future__ import annotations

from collections.abc import Iterable

from tools.soak.connections import Request
from tools.soak.disturbances import CONTACT_SECONDS, Disturbance, PlannedWork

__all__ = ["cut_requests"]

READ_SECONDS = 0.2
"""Time after which a node has read a request that was sent to it."""


def cut_requests(
    requests: Iterable[Request],
    planned_work: Iterable[PlannedWork],
    disturbances: Iterable[Disturbance],
) -> list[str]:
    """Return requests that a node had read and whose connection ended without a reply.

    Requests near a fault that is not planned are not counted.

    :param requests: the requests of all callers.
    :param planned_work: stops and reloads of nodes.
    :param disturbances: all faults.
    """
    planned_work, disturbances = list(planned_work), list(disturbances)
    violations = []
    for request in requests:
        if not request.was_cut or request.replied_at - request.body_sent_at <= READ_SECONDS:
            continue
        since = request.sent_at - CONTACT_SECONDS
        if any(
            not each.is_planned and each.began_at <= request.replied_at and each.ended_at >= since
            for each in disturbances
        ):
            continue
        near = [
            each
            for each in planned_work
            if each.node == request.node and each.covers(request.sent_at, request.replied_at)
        ]
        cause = f"after {near[-1].signal} at {near[-1].at:.3f}" if near else "without a stop"
        violations.append(
            f"{request.method} of {request.job} at node {request.node}, sent at"
            f" {request.body_sent_at:.3f}, was cut at {request.replied_at:.3f} {cause}"
        )
    return violations
