"""Last part of the demo: the report of the nodes' logs and metrics, by the command line."""

import subprocess
import sys
from pathlib import Path

import httpcore
import trio

__all__ = ["PAGE", "save_metrics", "write_page"]

PAGE = Path(__file__).resolve().parents[2] / "run" / "report.html"
METRICS_SECONDS = 5.0
REPORT_SECONDS = 60.0


async def save_metrics(addresses_by_node: dict[str, str], folder: Path) -> None:
    """Write the metrics of nodes to files; a node that does not reply is left out."""
    async with httpcore.AsyncConnectionPool() as pool:
        for node, address in addresses_by_node.items():
            with trio.move_on_after(METRICS_SECONDS):
                try:
                    reply = await pool.request("GET", f"http://{address}/metrics")
                except (httpcore.NetworkError, httpcore.ProtocolError) as error:
                    print(f"  {node} has no metrics: {type(error).__name__}", flush=True)
                else:
                    (folder / f"{node}.prom").write_bytes(reply.content)


async def write_page(folder: Path) -> str:
    """Write the page of the logs and metrics in a folder, and return what the command printed.

    :raises subprocess.CalledProcessError: the command failed.
    """
    PAGE.parent.mkdir(exist_ok=True)
    files = sorted([*folder.glob("node-*.log"), *folder.glob("*.prom")])
    program = Path(sys.executable).with_name("mimosapoint")
    with trio.fail_after(REPORT_SECONDS):
        process = await trio.run_process(
            [str(program), "report", *map(str, files), "--output", str(PAGE)],
            capture_stdout=True,
            stderr=subprocess.STDOUT,
        )
    return process.stdout.decode()
