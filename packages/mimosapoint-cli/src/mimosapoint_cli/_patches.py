"""Sending of patches and waiting until they are in force."""

from collections.abc import Callable
from typing import Any

from mimosapoint_cli.client import Client, segment
from mimosapoint_cli.errors import Refused, WaitOver

__all__ = ["PATCHES", "send_on_current", "send_patch", "wait_in_force"]

MAX_STALE_RETRIES = 3
"""Maximum number of times a patch is rebuilt after another patch has changed the version."""

POLL_INTERVAL_SECONDS = 0.2
"""Interval of polling the status of a patch, in seconds."""

PATCHES = "/v1/configuration/patches"

PatchFactory = Callable[[dict[str, Any]], dict[str, Any]]


def send_patch(client: Client, patch: dict[str, Any]) -> dict[str, Any]:
    """Send a patch and return its status."""
    return client.call("POST", PATCHES, body=patch).value


def send_on_current(client: Client, make_patch: PatchFactory) -> dict[str, Any]:
    """Send a patch of the current version; rebuild it when the version has changed.

    :param make_patch: returns the patch for the current configuration.
    """
    for retries_left in reversed(range(MAX_STALE_RETRIES + 1)):
        configuration = client.call("GET", "/v1/configuration").value
        try:
            return send_patch(client, make_patch(configuration))
        except Refused as refusal:
            if refusal.problem_code != "configuration-stale" or not retries_left:
                raise
    raise AssertionError("the last refusal is raised")


def wait_in_force(client: Client, id: str, seconds_left: float) -> dict[str, Any]:
    """Return the status once the version of a patch is in force on every live node.

    The status of a rejected patch is returned immediately.

    :param seconds_left: maximum wait, in seconds.
    :raises WaitOver: some nodes have not confirmed the version in time.
    """
    while True:
        status = client.call("GET", f"{PATCHES}/{segment(id)}").value
        pending = status["nodes_pending"]
        if not status["accepted"] or not pending:
            return status
        if seconds_left <= 0:
            raise WaitOver(f"not confirmed by {', '.join(pending)}")
        client.sleep(POLL_INTERVAL_SECONDS)
        seconds_left -= POLL_INTERVAL_SECONDS
