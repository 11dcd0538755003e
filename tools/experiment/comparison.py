"""Paired differences between variants, with their standard errors."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import attrs
import numpy as np

from tools.experiment.plan import Experiment, Play
from tools.experiment.results import Figures

__all__ = ["Difference", "compare", "format_table"]

SIGNIFICANCE = 2.0
"""Standard errors from which a difference counts as one."""


@attrs.frozen
class Difference:
    """Difference of one figure between a variant and the baseline.

    :param pairs: number of plays of each.
    :param baseline: mean of the figure under the baseline.
    :param mean: mean of the differences.
    :param error: standard error of that mean; not a number for a single pair.
    :param greater: number of pairs in which the variant has the greater figure.
    :param less: number of pairs in which it has the smaller one.
    """

    pairs: int
    baseline: float
    mean: float
    error: float
    greater: int
    less: int

    @property
    def is_significant(self) -> bool:
        """Whether the mean difference is beyond what chance explains."""
        return abs(self.mean) > SIGNIFICANCE * self.error

    @classmethod
    def of(cls, baseline: Iterable[float], variant: Iterable[float]) -> Difference:
        """Return the difference between paired samples, of which there is at least one."""
        baseline, variant = np.asarray(list(baseline)), np.asarray(list(variant))
        differences = variant - baseline
        count = len(differences)
        error = differences.std(ddof=1) / math.sqrt(count) if count > 1 else math.nan
        return cls(
            count,
            float(baseline.mean()),
            float(differences.mean()),
            float(error),
            int((differences > 0).sum()),
            int((differences < 0).sum()),
        )


def compare(
    experiment: Experiment, figures_by_play: Mapping[str, Figures], variant: str, case: str = ""
) -> dict[str, Difference]:
    """Return the differences of a variant from the baseline, by figure.

    :param experiment: the experiment.
    :param figures_by_play: figures of the plays so far; a pair of which one is missing is left out.
    :param variant: name of the variant.
    :param case: name of the case to which the comparison is limited; empty for all.
    """
    pairs = []
    for play in experiment.plays():
        if play.variant != variant or (case and play.case.name != case):
            continue
        other = Play(experiment.baseline, play.case, play.seed)
        if play.key in figures_by_play and other.key in figures_by_play:
            pairs.append((figures_by_play[other.key], figures_by_play[play.key]))
    names = set.intersection(*(set(each) for pair in pairs for each in pair)) if pairs else ()
    return {
        name: Difference.of([old[name] for old, _ in pairs], [new[name] for _, new in pairs])
        for name in sorted(names)
    }


def format_table(experiment: Experiment, figures_by_play: Mapping[str, Figures]) -> str:
    """Return a Markdown table of all differences; those beyond two standard errors are bold."""
    lines = [
        f"{experiment.question}",
        "",
        "| Variant | Case | Pairs | Figure | Baseline | Difference | Greater / less |",
        "|---|---|---|---|---|---|---|",
    ]
    cases = [case.name for case in experiment.cases]
    for variant in experiment.variants:
        if variant == experiment.baseline:
            continue
        for case in (*cases, "") if len(cases) > 1 else cases:
            for name, each in compare(experiment, figures_by_play, variant, case).items():
                shown = f"{each.mean:+.3f} ({each.error:.3f})"
                shown = f"**{shown}**" if each.is_significant else shown
                lines.append(
                    f"| {variant} | {case or 'all'} | {each.pairs} | {name} | {each.baseline:.3f} "
                    f"| {shown} | {each.greater} / {each.less} |"
                )
    return "\n".join(lines)
