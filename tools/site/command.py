"""Runs the ``mimosapoint`` command line against a site."""

import json
import sys
from pathlib import Path
from subprocess import PIPE
from typing import Any

import attrs
import trio

from tools.site.core import Site

__all__ = ["CommandResult", "run_command"]

COMMAND_SECONDS = 30.0


@attrs.frozen
class CommandResult:
    """Output and exit code of a command.

    :param code: exit code.
    :param value: decoded standard output, or ``None`` when it is empty.
    :param errors: text of standard error.
    """

    code: int
    value: Any
    errors: str


async def run_command(site: Site, *arguments: str) -> CommandResult:
    """Run ``mimosapoint`` with JSON output against every node of a site."""
    binary = Path(sys.executable).with_name("mimosapoint")
    servers = ",".join(site.files.http_by_id.values())
    command = [str(binary), "--server", servers, "--json", *arguments]
    output, errors = bytearray(), bytearray()
    with trio.fail_after(COMMAND_SECONDS):
        process = await trio.lowlevel.open_process(command, stdout=PIPE, stderr=PIPE)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_read, process.stdout, output)
                nursery.start_soon(_read, process.stderr, errors)
            code = await process.wait()
        except BaseException:
            process.kill()
            raise
    return CommandResult(code, json.loads(output) if output else None, errors.decode())


async def _read(stream: trio.abc.ReceiveStream, into: bytearray) -> None:
    async for part in stream:
        into.extend(part)
