"""Measure the processor time of each telemetry operation.

Run ``python -m mimosapoint.telemetry.tests.measure``.
"""

import logging
import time
from pathlib import Path

from mimosapoint.telemetry import LogTelemetry

CALL_COUNT = 20_000
DEVNULL = Path("/dev/null")


def span(telemetry):
    with telemetry.span("peer-call") as open_span:
        open_span.set("message", "gossip")


OPERATIONS = {
    "event": lambda t: t.event("member-live", member="node-12", zone="mvd-centro"),
    "count": lambda t: t.count("peer_calls", message="gossip", outcome="ok"),
    "gauge": lambda t: t.gauge("members_live", 48),
    "observe": lambda t: t.observe("peer_call_seconds", 0.012, message="gossip"),
    "span": span,
}


def main():
    handler = logging.FileHandler(DEVNULL)
    logger = logging.getLogger("mimosapoint")
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    for mode, spans in (("spans not recorded", None), ("spans recorded", DEVNULL)):
        telemetry = LogTelemetry("node-01", spans)
        for name, operation in OPERATIONS.items():
            started_at = time.process_time()
            for _ in range(CALL_COUNT):
                operation(telemetry)
            used_seconds = time.process_time() - started_at
            print(f"{mode}: {name} us={1e6 * used_seconds / CALL_COUNT:.1f}")
        telemetry.close()


if __name__ == "__main__":
    main()
