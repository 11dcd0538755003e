"""What every command works with."""

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
    """A command whose arguments were all understood and that is still to be run.

    ``fire`` calls a command before it finds that an argument is left over; nothing may have been
    done by then.
    """

    _run: Callable[[], ExitCode | None]

    def _execute(self) -> ExitCode:
        return self._run() or ExitCode.OK


class Session:
    """Options that all commands share.

    :param server: servers in the form ``IP:port[,IP:port]``.
    :param json: whether to print JSON.
    """

    def __init__(self, server: str | None, json: str):
        self._server = server
        self.json = boolean("json", json)

    def client(self, workspace: str | None = None) -> Client:
        """Return a client of the servers.

        :raises UsageError: no server is named.
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

        :raises UsageError: neither does.
        """
        found = flag or os.environ.get(WORKSPACE_VARIABLE)
        if not found:
            raise UsageError(f"name a workspace by --workspace or in {WORKSPACE_VARIABLE}")
        return found

    def show(self, value: object, human: Callable[[], None]) -> None:
        """Print the value as JSON when asked so, else for people."""
        if self.json:
            print_json(value)
        else:
            human()
