"""Command line of a node."""

import logging
import signal
import sys

import fire
import trio
from mimosapoint.configuration.loading import load_configuration
from mimosapoint.errors import MimosapointError
from mimosapoint.settings import load_settings
from mimosapoint.telemetry import LogExporter, LogTelemetry

from mimosapoint_node.node import Node

__all__ = ["main", "run"]

BAD_INPUT_EXIT = 2


def run(settings: str, initial_configuration: str = "") -> None:
    """Run a node until SIGTERM or SIGINT.

    :param settings: YAML file with the settings of the node.
    :param initial_configuration: YAML file that becomes version 1 where the store has none.
    """
    try:
        loaded = load_settings(settings)
        initial = load_configuration(initial_configuration) if initial_configuration else None
    except MimosapointError as error:
        for reason in getattr(error, "reasons", ()) or (error.detail,):
            print(f"mimosapoint-node: {reason}", file=sys.stderr)
        sys.exit(BAD_INPUT_EXIT)
    level = loaded.telemetry.log_level.upper()
    logging.basicConfig(level=level, format="time=%(asctime)s level=%(levelname)s %(message)s")
    for noisy in ("hypercorn.error", "httpcore"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
    exporter = LogExporter() if loaded.telemetry.trace_exporter == "log" else None
    telemetry = LogTelemetry(loaded.id, exporter=exporter)

    async def serve() -> None:
        telemetry.event("node-starting", zone=loaded.zone)
        stop = trio.Event()
        node = Node(loaded, telemetry, initial)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_set_on_signal, signals, stop)
                await node.run(stop)
                nursery.cancel_scope.cancel()

    try:
        trio.run(serve)
    finally:
        telemetry.close()


async def _set_on_signal(signals: object, stop: trio.Event) -> None:
    async for _ in signals:
        stop.set()


def main() -> None:
    """Entry point of the binary."""
    fire.Fire(run, name="mimosapoint-node")
