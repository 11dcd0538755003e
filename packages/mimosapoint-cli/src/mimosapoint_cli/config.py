"""Commands for operators: configuration, patches and bearer tokens."""

from hashlib import sha256
from secrets import token_urlsafe
from typing import Any

from fire.decorators import SetParseFn

from mimosapoint_cli._output import print_rows, print_yaml
from mimosapoint_cli._patches import PATCHES, send_patch, wait_in_force
from mimosapoint_cli._values import integer, read_yaml, seconds
from mimosapoint_cli.client import to_json
from mimosapoint_cli.errors import ExitCode, UsageError
from mimosapoint_cli.session import Action, Session

__all__ = ["ConfigCommands", "print_patch_status"]

COLUMNS = ("id", "accepted", "version", "reasons")
TOKEN_BYTES = 32
"""Random bytes of a bearer token."""

PATCH_KEYS = {"id", "base", "operations"}


class ConfigCommands:
    """Show and change the configuration."""

    def __init__(self, session: Session):
        self._session = session

    @SetParseFn(str)
    def show(self, version=None):
        """Show the configuration in force, or an earlier version."""
        return Action(lambda: self._show(version))

    @SetParseFn(str)
    def patch(self, file, id=None, base=None):
        """Apply the operations of RFC 6902 in a YAML or JSON file.

        :param file: list of operations, or a mapping of id, base and operations.
        :param id: id of the patch; derived from its content by default.
        :param base: version that the patch applies to; the current version by default.
        """
        return Action(lambda: self._patch(file, id, base))

    @SetParseFn(str)
    def history(self):
        """List the verdicts on patches, oldest first."""
        return Action(self._history)

    @SetParseFn(str)
    def wait(self, id, timeout="30"):
        """Wait until every node has a patch in force, at most TIMEOUT seconds."""
        return Action(lambda: self._wait(id, timeout))

    def token(self):
        """Make a bearer token and its digest for the configuration."""
        return Action(self._token)

    @SetParseFn(str)
    def check(self, file):
        """Check a configuration file without a server."""
        return Action(lambda: _check(file))

    def _show(self, version: str | None) -> None:
        query = {} if version is None else {"version": str(integer("version", version))}
        value = self._session.client().call("GET", "/v1/configuration", query=query).value
        self._session.show(value, lambda: print_yaml(value))

    def _patch(self, file: str, id: str | None, base: str | None) -> ExitCode:
        patch = _read_patch(file)
        if id is not None:
            patch["id"] = id
        if base is not None:
            patch["base"] = integer("base", base)
        client = self._session.client()
        if "base" not in patch:
            current = client.call("GET", "/v1/configuration").value
            patch["base"] = current["version"]
        patch.setdefault("id", _derived_id(patch))
        status = send_patch(client, patch)
        self._session.show(status, lambda: print_patch_status(status))
        return ExitCode.OK

    def _token(self) -> None:
        token = token_urlsafe(TOKEN_BYTES)
        value = {"token": token, "digest": sha256(token.encode()).hexdigest()}
        self._session.show(value, lambda: print_yaml(value))

    def _history(self) -> None:
        patches = self._session.client().call("GET", PATCHES).value["patches"]
        rows = [[patch[column] for column in COLUMNS] for patch in patches]
        self._session.show(patches, lambda: print_rows(COLUMNS, rows))

    def _wait(self, id: str, timeout: str) -> ExitCode:
        status = wait_in_force(self._session.client(), id, seconds("timeout", timeout))
        self._session.show(status, lambda: print_patch_status(status))
        return ExitCode.OK if status["accepted"] else ExitCode.REFUSED


def print_patch_status(status: dict[str, Any]) -> None:
    """Print the status of a patch."""
    print_rows(("field", "value"), list(status.items()))


def _read_patch(file: str) -> dict[str, Any]:
    value = read_yaml(file)
    if isinstance(value, list):
        return {"operations": value}
    if isinstance(value, dict) and "operations" in value and set(value) <= PATCH_KEYS:
        return value
    raise UsageError(f"{file}: neither a list of operations nor id, base and operations")


def _derived_id(patch: dict[str, Any]) -> str:
    """Return an id that is the same for the same operations on the same base."""
    return "patch-" + sha256(to_json([patch["base"], patch["operations"]])).hexdigest()[:16]


def _check(file: str) -> None:
    from mimosapoint.configuration import configuration_warnings, load_configuration

    configuration = load_configuration(file)
    for warning in configuration_warnings(configuration):
        print(f"warning: {warning}")
    print(f"{file}: valid")
