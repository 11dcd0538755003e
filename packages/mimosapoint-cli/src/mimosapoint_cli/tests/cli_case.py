"""Test case that runs commands against a served application."""

import os
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from unittest import mock

import trio
from mimosapoint.configuration import Capacity, Configuration, Zone
from mimosapoint.model import Resources
from mimosapoint.testing import TrioTestCase
from mimosapoint_node.http.tests.fakes import AppFixture

from mimosapoint_cli import run

COMMAND_TIMEOUT_SECONDS = 10
WORKER = Resources(8, 128, 256, 8)


def app_fixture(**kwargs):
    """Return an application whose configuration has one availability zone."""
    app = AppFixture(**kwargs)
    zone = Zone("uy-sur", Capacity(1, 6, WORKER))
    app.operators.current = Configuration(3, {"mvd-centro": zone})
    return app


class CliCase(TrioTestCase):
    """Runs commands in a thread with their output captured."""

    def setUp(self):
        self.environment = {}

    async def run_command(self, command, node=None):
        """Run a command line; return its exit code, standard output and standard error."""
        arguments = command.split() if isinstance(command, str) else list(command)
        environment = {"MIMOSAPOINT_WORKSPACE": "w", **self.environment}
        if node is not None:
            environment.setdefault("MIMOSAPOINT_SERVER", node.address)
        out, err = StringIO(), StringIO()
        with mock.patch.dict(os.environ, environment), redirect_stdout(out), redirect_stderr(err):
            with trio.fail_after(COMMAND_TIMEOUT_SECONDS):
                code = await trio.to_thread.run_sync(run, arguments, abandon_on_cancel=True)
        return code, out.getvalue(), err.getvalue()
