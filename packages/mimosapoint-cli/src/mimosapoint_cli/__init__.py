"""Command line for callers and operators."""

from mimosapoint_cli.client import Client
from mimosapoint_cli.core import main, run
from mimosapoint_cli.errors import ExitCode

__all__ = ["Client", "ExitCode", "main", "run"]
