"""The command line: finds the command, runs it and turns failures into exit codes."""

import os
import sys
from collections.abc import Sequence

import fire
from fire.core import FireExit
from fire.decorators import SetParseFn
from mimosapoint.errors import MimosapointError

from mimosapoint_cli._output import print_yaml
from mimosapoint_cli.cell import CellCommands
from mimosapoint_cli.config import ConfigCommands
from mimosapoint_cli.errors import ExitCode
from mimosapoint_cli.job import JobCommands
from mimosapoint_cli.session import Action, Session
from mimosapoint_cli.settings import SettingsCommands
from mimosapoint_cli.zone import ZoneCommands

__all__ = ["main", "run"]

INTERRUPTED = 130
"""Exit code after Ctrl+C, as shells give it."""

REWRITTEN = {"--json": "--json=true", "--class": "--job_class", "in": "into"}
"""Arguments that ``fire`` would misread or Python has as keywords, with what it gets instead."""


class Commands:
    """Command line of mimosapoint.

    :param server: servers in the form IP:port[,IP:port]; MIMOSAPOINT_SERVER by default.
    :param json: print JSON for scripts.
    """

    def __init__(self, server=None, json="false"):
        self._session = Session(server and str(server), str(json))
        self.job = JobCommands(self._session)
        self.config = ConfigCommands(self._session)
        self.zone = ZoneCommands(self._session)
        self.cell = CellCommands(self._session)
        self.settings = SettingsCommands()

    @SetParseFn(str)
    def status(self):
        """Show what a node knows of the system."""
        return Action(self._status)

    def _status(self) -> None:
        value = self._session.client().call("GET", "/v1/status").value
        self._session.show(value, lambda: print_yaml(value))


def main() -> None:
    """Run the command of the process's arguments."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: Sequence[str]) -> int:
    """Run a command and return the exit code."""
    os.environ["PAGER"] = "-"  # fire would start a pager's process
    try:
        return _find(arguments)
    except FireExit as stop:
        return stop.code
    except MimosapointError as error:
        _print_error(error)
        return getattr(error, "exit_code", ExitCode.BAD_INPUT)
    except KeyboardInterrupt:
        return INTERRUPTED


def _find(arguments: Sequence[str]) -> int:
    found = fire.Fire(
        Commands,
        command=_rewrite(arguments),
        name="mimosapoint",
        serialize=lambda result: None if isinstance(result, Action) else result,
    )
    if isinstance(found, Action):
        return found._execute()
    return ExitCode.OK


def _rewrite(arguments: Sequence[str]) -> list[str]:
    """Return the arguments in the form that ``fire`` understands."""
    rewritten = []
    for argument in arguments:
        flag, equals, value = argument.partition("=")
        if equals and flag == "--class":
            rewritten.append(f"--job_class={value}")
        elif argument == "in" and rewritten[-1:] != ["zone"]:
            rewritten.append(argument)
        else:
            rewritten.append(REWRITTEN.get(argument, argument))
    return rewritten


def _print_error(error: MimosapointError) -> None:
    print(f"mimosapoint: {error.detail}", file=sys.stderr)
    for reason in getattr(error, "reasons", ()):
        print(f"  {reason}", file=sys.stderr)
