"""Reads of a job's phase as callers make them, by the same steps as the platform's ingress."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from typing import TYPE_CHECKING

import trio

from mimosapoint.errors import MimosapointError, PeerUnreachable
from mimosapoint.workload import Phase

if TYPE_CHECKING:
    from mimosapoint.cell.tests._site import SiteNode

__all__ = ["read_phase_as_caller"]

HOST = "h"
READ_TIMEOUT = timedelta(seconds=1)
"""Time for a read at the node that the caller asks, before another node is asked."""

FORWARD_TIMEOUT = timedelta(milliseconds=1200)
"""Time for the reads at other nodes."""

MAX_ATTEMPTS = 3
"""Maximum number of other nodes that are asked."""

NO_STORE_CODES = ("overloaded", "store-timeout", "store-unavailable")
"""Codes of errors of a node that does not reach the store."""

REFUSAL_CODES = ("overloaded", "store-unavailable")
"""Codes of errors after which the next node is asked."""

NO_REPLY_CODES = ("peer-unreachable", "store-timeout")
"""Codes of errors after which no further node is asked."""


async def read_phase_as_caller(
    node: SiteNode, others: Sequence[SiteNode], path: str, key: str
) -> Phase:
    """Return the phase in a node's reply to a caller.

    A node that does not reach the store forwards the request, to the owner first. A node that the
    request was forwarded to, and the node itself at last, may reply without the store.

    :param node: node that the caller asks.
    :param others: nodes to which it may forward the request.
    :param path: path of the request, with the id of the job.
    :param key: API key of the caller.
    :raises MimosapointError: the request is refused, or there is no reply.
    """
    try:
        return await _read_store(node, path, key, READ_TIMEOUT)
    except MimosapointError as error:
        if error.code not in NO_STORE_CODES:
            raise
        refusal = error
    phase = None
    with trio.move_on_after(FORWARD_TIMEOUT.total_seconds()):
        phase = await _forward(node, others, path, key)
    return phase or await _read_memory(node, path, key, refusal)


async def _forward(node: SiteNode, others: Sequence[SiteNode], path: str, key: str) -> Phase | None:
    """Return the phase in the reply of another node, or ``None`` without a reply."""
    owner_first = sorted(others, key=lambda other: other.name != node.cell.owner_id)
    for other in owner_first[:MAX_ATTEMPTS]:
        try:
            return await _serve_forwarded(other, path, key)
        except MimosapointError as error:
            if error.code in NO_REPLY_CODES:
                return None
            if error.code not in REFUSAL_CODES:
                raise
    return None


async def _serve_forwarded(node: SiteNode, path: str, key: str) -> Phase:
    try:
        return await _read_store(node, path, key, FORWARD_TIMEOUT)
    except MimosapointError as error:
        if error.code not in NO_STORE_CODES:
            raise
        refusal = error
    return await _read_memory(node, path, key, refusal)


async def _read_store(node: SiteNode, path: str, key: str, timeout: timedelta) -> Phase:
    await _await_process(node)
    gateway = node.cell.gateway
    queue = gateway.find_queue(HOST, path)
    workspace = gateway.authenticate(queue, key)
    phase = await gateway.phase(workspace, path.removeprefix(queue.prefix), timeout)
    await _await_process(node)
    return phase


async def _read_memory(node: SiteNode, path: str, key: str, refusal: MimosapointError) -> Phase:
    await _await_process(node)
    phase = node.cell.gateway.outage_reads.phase(HOST, path, key)
    if phase is None:
        raise refusal
    return phase


async def _await_process(node: SiteNode) -> None:
    """Wait while the process of a node is suspended.

    :raises PeerUnreachable: it was killed.
    """
    if not node.freeze_control.thawed:
        await node.freeze_control.wait()
    if node.scope.cancel_called:
        raise PeerUnreachable(f"{node.name} was killed")
