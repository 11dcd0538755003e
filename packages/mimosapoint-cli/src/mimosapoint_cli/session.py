"""Session and action objects that commands use."""

import os
from collections.abc import Callable

import attrs

from mimosapoint_cli._output import print_json
from mimosapoint_cli._values import boolean
from mimosapoint_cli.client import Client, parse_servers
from mimosapoint_cli.errors import ExitCode, UsageError

__all__ = ["Action", "Session"]

SERVER_VARIABLE = "MIMOSAPOINT_SERVER"
TOKEN_VARIABLE = "MIMOSAPOINT_TOKEN"
WORKSPACE_VARIABLE = "MIMOSAPOINT_WORKSPACE"


@attrs.frozen(repr=False, eq=False)
class Action:
    """Command with parsed arguments that has not run yet.

    ``fire`` calls a command before it detects unconsumed arguments, so the call itself must not
    have an effect.
    """

    _run: Callable[[], ExitCode | None]

    def _execute(self) -> ExitCode:
        return self._run() or ExitCode.OK


class Session:
    """Options that all commands share.

    :param server: servers in the form ``IP:port[,IP:port]``; ``None`` to use the environment.
    :param json: whether to print JSON.
    """

    def __init__(self, server: str | None, json: str):
        self._server = server
        self.json = boolean("json", json)

    def client(self, workspace: str | None = None) -> Client:
        """Return a client of the servers.

        :param workspace: workspace that requests name; ``None`` to name none.
        :raises UsageError: no server is given or one is malformed.
        """
        servers = self._server or os.environ.get(SERVER_VARIABLE)
        if not servers:
            raise UsageError(f"name a server by --server or in {SERVER_VARIABLE}")
        headers = {}
        if workspace:
            headers["Mimosapoint-Workspace"] = workspace
        if os.environ.get(TOKEN_VARIABLE):
            headers["Authorization"] = f"Bearer {os.environ[TOKEN_VARIABLE]}"
        return Client(parse_servers(servers), headers)

    def workspace(self, flag: str | None) -> str:
        """Return the workspace that the flag or the environment names.

        :raises UsageError: neither names a workspace.
        """
        workspace_name = flag or os.environ.get(WORKSPACE_VARIABLE)
        if not workspace_name:
            raise UsageError(f"name a workspace by --workspace or in {WORKSPACE_VARIABLE}")
        return workspace_name

    def show(self, value: object, print_text: Callable[[], None]) -> None:
        """Print the value as JSON if that is requested, otherwise call ``print_text``."""
        if self.json:
            print_json(value)
        else:
            print_text()
