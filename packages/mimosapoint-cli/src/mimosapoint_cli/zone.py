"""Commands for operators: taking availability zones out of service and back."""

from typing import Any

from fire.decorators import SetParseFn

from mimosapoint_cli._patches import send_on_current, wait_in_force
from mimosapoint_cli._values import seconds
from mimosapoint_cli.config import print_verdict
from mimosapoint_cli.errors import UsageError
from mimosapoint_cli.session import Action, Session

__all__ = ["ZoneCommands"]

MODES = ("finish", "checkpoint-and-move")


class ZoneCommands:
    """Take availability zones out of service and back."""

    def __init__(self, session: Session):
        self._session = session

    @SetParseFn(str)
    def out(self, zone, mode=None, id=None, wait="0"):
        """Take an availability zone out of service.

        :param mode: what becomes of running work: finish or checkpoint-and-move.
        :param id: id of the patch; made from the arguments when it is not given.
        :param wait: seconds to wait until every node has it in force.
        """
        values = {"mode": "out"}
        if mode is not None:
            values["leaving"] = mode
        return Action(lambda: self._set(zone, values, id, wait))

    @SetParseFn(str)
    def into(self, zone, id=None, wait="0"):
        """Bring an availability zone back into service; ``in`` is the same."""
        return Action(lambda: self._set(zone, {"mode": "in-service"}, id, wait))

    def _set(self, zone: str, values: dict[str, str], id: str | None, wait: str) -> None:
        leaving = values.get("leaving")
        if leaving not in (None, *MODES):
            raise UsageError(f"--mode: {leaving!r} is not one of {', '.join(MODES)}")
        left = seconds("wait", wait)
        client = self._session.client()
        verdict = send_on_current(client, lambda current: _patch(current, zone, values, id))
        if left:
            verdict = wait_in_force(client, verdict["id"], left)
        self._session.show(verdict, lambda: print_verdict(verdict))


def _patch(
    current: dict[str, Any], zone: str, values: dict[str, str], id: str | None
) -> dict[str, Any]:
    """Return the patch that sets the values of an availability zone."""
    if zone not in current["zones"]:
        known = ", ".join(sorted(current["zones"]))
        raise UsageError(f"no availability zone {zone!r}; there are {known or 'none'}")
    escaped = zone.replace("~", "~0").replace("/", "~1")
    operations = [
        {"op": "add", "path": f"/zones/{escaped}/{key}", "value": value}
        for key, value in values.items()
    ]
    made = "-".join(("zone", zone, *values.values(), "from", str(current["version"])))
    return {"id": id or made, "base": current["version"], "operations": operations}
