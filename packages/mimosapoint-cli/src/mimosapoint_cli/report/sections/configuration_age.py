"""Age of the configuration view of nodes, and the versions in force."""

from collections.abc import Iterable

from mimosapoint_cli.report.figures import Content, HeatMap, Table
from mimosapoint_cli.report.log_lines import LogLine
from mimosapoint_cli.report.metric_lines import MetricTotals
from mimosapoint_cli.report.samples import BoundedMap
from mimosapoint_cli.report.sections.core import (
    Section,
    format_seconds,
    format_time,
    page_section,
)
from mimosapoint_cli.report.time_bins import TimeBins

__all__ = ["ConfigurationAge"]

MOST_NODES_DRAWN = 60
NODES_NAMED = 40

VERSION_EVENTS = ("configuration-in-force", "configuration-installed")


@page_section(
    "configuration-age",
    "Age of the configuration view",
    position=20,
    events=(*VERSION_EVENTS, "request-refused", "job-accepted", "unit-started"),
)
class ConfigurationAge(Section):
    """How long ago each node confirmed its configuration, and the last version of each."""

    def __init__(self) -> None:
        self._ages = TimeBins(combine=max, most_series=MOST_NODES_DRAWN)
        self._largest_age = 0.0
        self._node_of_largest = ""
        self._versions_by_node = BoundedMap()

    def add(self, line: LogLine) -> None:
        """Add an event that tells the age of the view or a version in force."""
        if line.event in VERSION_EVENTS:
            version = line.number("version")
            if version is not None:
                self._versions_by_node.put((line.event, line.node), (int(version), line.time))
            return
        age = line.number("view_age")
        if age is None:
            return
        self._ages.add(line.time, line.node, age)
        if age > self._largest_age:
            self._largest_age, self._node_of_largest = age, line.node

    def highlights(self, metrics: MetricTotals) -> Iterable[tuple[str, str]]:
        """Return the largest age and the nodes without the newest version."""
        if self._node_of_largest:
            age = format_seconds(self._largest_age)
            yield "largest age of a configuration view", f"{age} on {self._node_of_largest}"
        for event in VERSION_EVENTS:
            versions = [v for (name, _), (v, _) in self._versions_by_node.items() if name == event]
            if versions:
                behind = sum(version < max(versions) for version in versions)
                text = f"{behind} of {len(versions)}"
                yield f"nodes that did not reach configuration version {max(versions)}", text

    def contents(self, metrics: MetricTotals) -> Iterable[Content]:
        """Return the age by node and the nodes by their last version."""
        yield (
            "A node refuses requests while its view of the configuration is older than the "
            "freshness bound. Events that name the age are refusals, acceptances and starts."
        )
        yield HeatMap(
            "Largest age of the configuration view by node",
            "seconds",
            self._ages.series(absent=float("nan")),
        )
        yield Table(
            "Nodes by the last configuration version in force there",
            ("event", "version", "nodes", "last in force at (UTC)", "names"),
            list(self._version_rows()),
        )

    def _version_rows(self) -> Iterable[tuple[object, ...]]:
        nodes_by_version: dict[tuple[str, int], list[tuple[str, float]]] = {}
        for (event, node), (version, time) in self._versions_by_node.items():
            nodes_by_version.setdefault((event, version), []).append((node, time))
        for (event, version), nodes in sorted(nodes_by_version.items(), reverse=True):
            names = sorted(node for node, _ in nodes)
            more = f" and {len(names) - NODES_NAMED} more" if len(names) > NODES_NAMED else ""
            last = format_time(max(time for _, time in nodes))
            yield event, version, len(nodes), last, ", ".join(names[:NODES_NAMED]) + more
