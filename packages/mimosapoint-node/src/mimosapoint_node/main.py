"""Command line of a node."""

import logging
import signal
import sys
from collections.abc import AsyncIterator
from typing import NoReturn

import fire
import trio
from mimosapoint.configuration import Configuration
from mimosapoint.configuration.loading import load_configuration
from mimosapoint.errors import MimosapointError
from mimosapoint.settings import NodeSettings, load_settings
from mimosapoint.telemetry import LogSpanExporter, LogTelemetry

from mimosapoint_node.node import Node

__all__ = ["main", "run"]

INVALID_INPUT_EXIT_CODE = 2


def run(settings: str, initial_configuration: str = "") -> None:
    """Run a node until SIGTERM or SIGINT.

    :param settings: YAML file with the settings of the node.
    :param initial_configuration: YAML file that becomes version 1 where the store has none.
    """
    try:
        loaded = load_settings(settings)
        initial = load_configuration(initial_configuration) if initial_configuration else None
    except MimosapointError as error:
        _exit_with_reasons(error)
    _set_up_logging(loaded.telemetry.log_level)
    exporter = LogSpanExporter() if loaded.telemetry.trace_exporter == "log" else None
    telemetry = LogTelemetry(loaded.id, exporter=exporter)
    try:
        trio.run(_serve, loaded, telemetry, initial)
    finally:
        telemetry.close()


def _exit_with_reasons(error: MimosapointError) -> NoReturn:
    """Print every reason to stderr and exit."""
    for reason in getattr(error, "reasons", ()) or (error.detail,):
        print(f"mimosapoint-node: {reason}", file=sys.stderr)
    sys.exit(INVALID_INPUT_EXIT_CODE)


def _set_up_logging(level: str) -> None:
    """Log one line for each event, and only warnings of the libraries."""
    logging.basicConfig(
        level=level.upper(), format="time=%(asctime)s level=%(levelname)s %(message)s"
    )
    for library in ("hypercorn.error", "httpcore"):
        logging.getLogger(library).setLevel(logging.WARNING)


async def _serve(
    settings: NodeSettings, telemetry: LogTelemetry, initial: Configuration | None
) -> None:
    """Run the node until a signal requests a planned stop."""
    telemetry.event("node-starting", zone=settings.zone)
    stop = trio.Event()
    node = Node(settings, telemetry, initial)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_set_on_signal, signals, stop)
            await node.run(stop)
            nursery.cancel_scope.cancel()


async def _set_on_signal(signals: AsyncIterator[int], stop: trio.Event) -> None:
    async for _ in signals:
        stop.set()


def main() -> None:
    """Run the command line."""
    fire.Fire(run, name="mimosapoint-node")
