"""Print the processor time that one node spends on a new configuration.

Command: ``.venv/bin/python examples/target/measure.py``
"""

import time
from collections.abc import Callable
from pathlib import Path

import attrs
from mimosapoint.codec import encode
from mimosapoint.configuration import (
    Configuration,
    ConfigurationState,
    ZoneMode,
    allocate_guarantees,
    load_configuration,
    validation_errors,
)
from mimosapoint.configuration.state import FORMAT, decode_state, encode_state
from site_of_target import target_configuration

REPEATS = 20
EXAMPLES = Path(__file__).resolve().parent.parent


def cpu_ms(action: Callable[[Configuration], object], configuration: Configuration) -> float:
    """Return the least processor time of an action over ``REPEATS`` runs, in milliseconds.

    Each run gets its own copy of the configuration, so that no result is cached between runs.
    """
    best = float("inf")
    for _ in range(REPEATS):
        copy = attrs.evolve(configuration)
        start = time.process_time()
        action(copy)
        best = min(best, time.process_time() - start)
    return best * 1_000


def with_zone_out(configuration: Configuration) -> Configuration:
    """Return the configuration with its first zone, in the order of ids, out of service."""
    first = min(configuration.zones_by_id)
    zone = attrs.evolve(configuration.zones_by_id[first], mode=ZoneMode.OUT)
    zones = {**configuration.zones_by_id, first: zone}
    return attrs.evolve(configuration, zones_by_id=zones)


def report(name: str, configuration: Configuration) -> None:
    """Print one line of figures for a configuration."""
    state = ConfigurationState(FORMAT, 1, configuration)
    stored = encode_state(state)
    out = with_zone_out(configuration)
    print(
        f"{name}: {len(allocate_guarantees(configuration))} homes, "
        f"{len(encode(configuration))} bytes of JSON, {len(stored)} bytes stored, "
        f"encode {cpu_ms(lambda _: encode_state(state), configuration):.2f} ms, "
        f"decode {cpu_ms(lambda _: decode_state(stored), configuration):.2f} ms, "
        f"problems {cpu_ms(validation_errors, configuration):.2f} ms, "
        f"homes {cpu_ms(allocate_guarantees, configuration):.2f} ms, "
        f"homes with a zone out {cpu_ms(allocate_guarantees, out):.2f} ms"
    )


def main() -> None:
    """Measure the configurations of the two example sites and of the target."""
    for site in ("agencia", "selat"):
        report(site, load_configuration(EXAMPLES / site / "configuration.yaml"))
    report("target", target_configuration())


if __name__ == "__main__":
    main()
