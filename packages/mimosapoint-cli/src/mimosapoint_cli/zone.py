"""Commands for operators: taking availability zones out of service and back."""

from typing import Any

from fire.decorators import SetParseFn

from mimosapoint_cli._patches import send_on_current, wait_in_force
from mimosapoint_cli._values import seconds
from mimosapoint_cli.config import print_patch_status
from mimosapoint_cli.errors import UsageError
from mimosapoint_cli.session import Action, Session

__all__ = ["ZoneCommands"]

LEAVING_MODES = ("finish", "checkpoint-and-move")


class ZoneCommands:
    """Take availability zones out of service and back."""

    def __init__(self, session: Session):
        self._session = session

    @SetParseFn(str)
    def out(self, zone, mode=None, id=None, wait="0"):
        """Take an availability zone out of service.

        :param mode: treatment of running work: finish or checkpoint-and-move.
        :param id: id of the patch; derived from the arguments and the current version by default.
        :param wait: seconds to wait until the patch is in force on every node.
        """
        values = {"mode": "out"}
        if mode is not None:
            values["leaving"] = mode
        return Action(lambda: self._set(zone, values, id, wait))

    @SetParseFn(str)
    def into(self, zone, id=None, wait="0"):
        """Bring an availability zone back into service; ``in`` is an alias."""
        return Action(lambda: self._set(zone, {"mode": "in-service"}, id, wait))

    def _set(self, zone: str, values: dict[str, str], id: str | None, wait: str) -> None:
        leaving = values.get("leaving")
        if leaving not in (None, *LEAVING_MODES):
            raise UsageError(f"--mode: {leaving!r} is not one of {', '.join(LEAVING_MODES)}")
        wait_seconds = seconds("wait", wait)
        client = self._session.client()
        status = send_on_current(client, lambda current: _patch(current, zone, values, id))
        if wait_seconds:
            status = wait_in_force(client, status["id"], wait_seconds)
        self._session.show(status, lambda: print_patch_status(status))


def _patch(
    current: dict[str, Any], zone: str, values: dict[str, str], id: str | None
) -> dict[str, Any]:
    """Return the patch that sets the values of an availability zone."""
    if zone not in current["zones"]:
        known_zones = ", ".join(sorted(current["zones"]))
        raise UsageError(f"no availability zone {zone!r}; there are {known_zones or 'none'}")
    escaped = zone.replace("~", "~0").replace("/", "~1")
    operations = [
        {"op": "add", "path": f"/zones/{escaped}/{key}", "value": value}
        for key, value in values.items()
    ]
    derived_id = "-".join(("zone", zone, *values.values(), "from", str(current["version"])))
    return {"id": id or derived_id, "base": current["version"], "operations": operations}
