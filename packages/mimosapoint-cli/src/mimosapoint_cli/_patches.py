"""Sending of patches, and waiting until they are in force."""

from collections.abc import Callable
from typing import Any

from mimosapoint_cli.client import Client, segment
from mimosapoint_cli.errors import Refused, WaitOver

__all__ = ["PATCHES", "send_on_current", "send_patch", "wait_in_force"]

STALE_RETRIES = 3
"""How often a patch is made anew after another one came first."""

POLL_SECONDS = 0.2
"""Pause between two looks at a patch, in seconds."""

PATCHES = "/v1/configuration/patches"

MakePatch = Callable[[dict[str, Any]], dict[str, Any]]


def send_patch(client: Client, patch: dict[str, Any]) -> dict[str, Any]:
    """Send a patch and return its verdict."""
    return client.call("POST", PATCHES, body=patch).value


def send_on_current(client: Client, make: MakePatch) -> dict[str, Any]:
    """Send a patch against the current version, made anew when another one came first.

    :param make: makes the patch from the current configuration.
    """
    for retries_left in reversed(range(STALE_RETRIES + 1)):
        configuration = client.call("GET", "/v1/configuration").value
        try:
            return send_patch(client, make(configuration))
        except Refused as refusal:
            if refusal.problem_code != "configuration-stale" or not retries_left:
                raise
    raise AssertionError("the last refusal is raised")


def wait_in_force(client: Client, id: str, left: float) -> dict[str, Any]:
    """Return the verdict once every live node has the patch's version in force.

    :param left: seconds to wait.
    :raises WaitOver: some nodes have not confirmed in time.
    """
    while True:
        verdict = client.call("GET", f"{PATCHES}/{segment(id)}").value
        pending = verdict["nodes_pending"]
        if not verdict["accepted"] or not pending:
            return verdict
        if left <= 0:
            raise WaitOver(f"not confirmed by {', '.join(pending)}")
        client.sleep(POLL_SECONDS)
        left -= POLL_SECONDS
