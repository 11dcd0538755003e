"""Samples of metrics in the text format of Prometheus."""

import math
import re
from collections.abc import Iterable

import attrs
from mimosapoint.telemetry import METRIC_PREFIX

from mimosapoint_cli.report import samples
from mimosapoint_cli.report.errors import BrokenLine

__all__ = ["Histogram", "MetricSample", "MetricTotals", "parse_metric_line"]

SAMPLE = re.compile(r"([a-zA-Z_:][\w:]*)(?:\{(.*)\})?\s+(\S+)(?:\s+-?\d+)?")
LABEL = re.compile(r'([a-zA-Z_]\w*)="((?:[^"\\]|\\.)*)"(?:,|$)')
LABELS = re.compile(r'(?>[a-zA-Z_]\w*="(?:[^"\\]|\\.)*"(?:,|$))*')
ESCAPE = re.compile(r"\\(.)")

NODE_LABELS = ("node", "instance")
"""Labels that name the node; without them it is named by the file."""

BUCKET_LABEL = "le"
"""Label with the upper bound of a bucket of a histogram."""

SERIES_LENGTH_LIMIT = 500
"""Longest name and labels of a series in characters."""

Labels = tuple[tuple[str, str], ...]


@attrs.frozen
class MetricSample:
    """One sample.

    :param name: name without the common prefix.
    """

    name: str
    labels: Labels
    value: float


def parse_metric_line(text: str) -> MetricSample:
    """Parse a sample.

    :raises BrokenLine: the line is no sample.
    """
    match = SAMPLE.fullmatch(text)
    if match is None:
        raise BrokenLine("neither an event nor a metric")
    name, label_text, value_text = match.groups()
    label_text = label_text or ""
    if not LABELS.fullmatch(label_text):
        raise BrokenLine("the labels of a metric are malformed")
    value = _parse_number(value_text, "the value of a metric")
    labels = tuple(sorted((key, _unescape(text)) for key, text in LABEL.findall(label_text)))
    for key, text in labels:
        if key == BUCKET_LABEL:
            _parse_number(text, "the bound of a bucket")
    return MetricSample(name.removeprefix(METRIC_PREFIX), labels, value)


def _parse_number(text: str, what: str) -> float:
    try:
        return float(text)
    except ValueError as error:
        raise BrokenLine(f"{what} is not a number") from error


def _unescape(text: str) -> str:
    return ESCAPE.sub(lambda match: "\n" if match[1] == "n" else match[1], text)


@attrs.define
class _Series:
    last: float
    increase: float


@attrs.frozen
class Histogram:
    """Distribution of observed values.

    :param counts_by_bound: cumulative counts by the upper bound of the bucket, ascending.
    :param total: sum of the observed values.
    """

    counts_by_bound: dict[float, float]
    total: float

    @property
    def count(self) -> float:
        """Number of observed values."""
        return max(self.counts_by_bound.values(), default=0.0)

    def quantile(self, share: float) -> float:
        """Return the upper bound of the bucket in which the quantile lies.

        :returns: the bound in the unit of the metric, ``inf`` above the last finite one.
        """
        wanted = share * self.count
        bounds = (bound for bound, count in self.counts_by_bound.items() if count >= wanted)
        return next(bounds, math.inf)


@attrs.define
class MetricTotals:
    """Increase of each series of counters and histograms, over the restarts of nodes.

    A node's samples come in the order of time. A value below the one before means that the node
    has restarted and counts from zero again.

    :param families: names of the metrics to keep, without prefix.
    :ivar samples: number of valid samples, also of other metrics.
    :ivar dropped: number of samples that are not kept, because there are more series than
        ``MOST_KEYS`` or the series is longer than ``SERIES_LENGTH_LIMIT``.
    """

    families: frozenset[str]
    samples: int = 0
    dropped: int = 0
    _series_by_key: dict[tuple[str, str, Labels], _Series] = attrs.field(factory=dict)

    def add(self, node: str, sample: MetricSample) -> None:
        """Add a sample of a node."""
        self.samples += 1
        if _family(sample.name) not in self.families or not math.isfinite(sample.value):
            return
        labels_by_name = dict(sample.labels)
        for label in NODE_LABELS:
            node = labels_by_name.pop(label, node)
        key = (node, sample.name, tuple(labels_by_name.items()))
        series = self._series_by_key.get(key)
        if series is not None:
            restarted = sample.value < series.last
            series.increase += sample.value if restarted else sample.value - series.last
            series.last = sample.value
        elif len(self._series_by_key) < samples.MOST_KEYS and len(str(key)) < SERIES_LENGTH_LIMIT:
            self._series_by_key[key] = _Series(sample.value, sample.value)
        else:
            self.dropped += 1

    def totals(self, name: str, *labels: str) -> dict[tuple[str, ...], float]:
        """Return the increase of a counter by the values of some of its labels.

        :param labels: names of labels; ``node`` is one of every series.
        """
        totals: dict[tuple[str, ...], float] = {}
        for (node, series_name, pairs), series in self._series_by_key.items():
            if series_name == name:
                key = _label_values(node, pairs, labels)
                totals[key] = totals.get(key, 0.0) + series.increase
        return totals

    def histograms(self, name: str, *labels: str) -> dict[tuple[str, ...], Histogram]:
        """Return the histograms of a metric by the values of some of its labels."""
        totals = self.totals(f"{name}_sum", *labels)
        counts_by_key: dict[tuple[str, ...], dict[float, float]] = {}
        for (*key, bound), count in self.totals(f"{name}_bucket", *labels, BUCKET_LABEL).items():
            counts_by_key.setdefault(tuple(key), {})[float(bound)] = count
        return {
            key: Histogram(dict(sorted(counts.items())), totals.get(key, 0.0))
            for key, counts in sorted(counts_by_key.items())
        }


def _family(name: str) -> str:
    for suffix in ("_bucket", "_sum", "_count"):
        name = name.removesuffix(suffix)
    return name


def _label_values(node: str, pairs: Labels, labels: Iterable[str]) -> tuple[str, ...]:
    values_by_label = {**dict(pairs), "node": node}
    return tuple(values_by_label.get(label, "") for label in labels)
