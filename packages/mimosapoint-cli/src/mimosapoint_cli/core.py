"""Entry point of the command line: dispatches commands and converts errors to exit codes."""

import os
import sys
from collections.abc import Sequence

import attrs
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
"""Exit code after Ctrl+C, as shells report it."""

ARGUMENT_REPLACEMENTS = {"--json": "--json=true", "--class": "--job_class", "in": "into"}
"""Replacements of arguments that ``fire`` misreads or that are keywords of Python."""


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

    @SetParseFn(str)
    def report(self, *logs, output="report.html"):
        """Write a page with plots of a day, from logs and metrics of nodes, without a server.

        :param logs: files of logs and of metrics in the text format of Prometheus; standard input
            when there are none.
        :param output: file of the page.
        """
        return Action(lambda: self._report(logs, output))

    def _status(self) -> None:
        value = self._session.client().call("GET", "/v1/status").value
        self._session.show(value, lambda: print_yaml(value))

    def _report(self, logs: Sequence[str], output: str) -> None:
        from mimosapoint_cli.report import write_report

        summary = attrs.asdict(write_report(logs, output))
        self._session.show(summary, lambda: print_yaml(summary))


def main() -> None:
    """Run the command in the arguments of the process."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: Sequence[str]) -> int:
    """Run a command and return the exit code."""
    os.environ["PAGER"] = "-"  # otherwise fire starts a pager process
    try:
        return _dispatch(arguments)
    except FireExit as fire_exit:
        return fire_exit.code
    except MimosapointError as error:
        _print_error(error)
        return getattr(error, "exit_code", ExitCode.BAD_INPUT)
    except KeyboardInterrupt:
        return INTERRUPTED


def _dispatch(arguments: Sequence[str]) -> int:
    command_result = fire.Fire(
        Commands,
        command=_rewrite_arguments(arguments),
        name="mimosapoint",
        serialize=lambda result: None if isinstance(result, Action) else result,
    )
    if isinstance(command_result, Action):
        return command_result._execute()
    return ExitCode.OK


def _rewrite_arguments(arguments: Sequence[str]) -> list[str]:
    """Return the arguments in the form that ``fire`` expects."""
    rewritten = []
    for argument in arguments:
        flag, equals, value = argument.partition("=")
        if equals and flag == "--class":
            rewritten.append(f"--job_class={value}")
        elif argument == "in" and rewritten[-1:] != ["zone"]:
            rewritten.append(argument)
        else:
            rewritten.append(ARGUMENT_REPLACEMENTS.get(argument, argument))
    return rewritten


def _print_error(error: MimosapointError) -> None:
    print(f"mimosapoint: {error.detail}", file=sys.stderr)
    for reason in getattr(error, "reasons", ()):
        print(f"  {reason}", file=sys.stderr)
