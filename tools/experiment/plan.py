"""What an experiment plays: variants, cases and seeds."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import attrs
import yaml
from mimosapoint.codec.strict import decode_document

__all__ = ["Case", "Experiment", "Play", "Variant", "load_experiment"]


@attrs.frozen
class Variant:
    """A variant of the system.

    :param checkout: folder with its code; empty for that of the experiment.
    :param settings: changed settings, by dotted name, such as ``decisions.durations``.
    """

    checkout: str = ""
    settings: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class Case:
    """A load with faults that every variant plays.

    :param site: site, as the player names it.
    :param load: name of the load, or a file that describes it.
    """

    site: str
    load: str

    @property
    def name(self) -> str:
        """Short name for tables."""
        return f"{Path(self.site).stem}/{Path(self.load).stem}"


@attrs.frozen
class Play:
    """One run of one variant.

    :param variant: name of the variant.
    :param case: the case.
    :param seed: seed of everything random in it.
    """

    variant: str
    case: Case
    seed: int

    @property
    def key(self) -> str:
        """Key under which its figures are stored."""
        return f"{self.variant} {self.case.site} {self.case.load} {self.seed}"


@attrs.frozen
class Experiment:
    """An experiment, as its YAML file describes it.

    :param question: hypothesis that it tests.
    :param player: name of the player that runs it.
    :param baseline: name of the variant that the others are compared with.
    :param variants: variants by name.
    :param cases: the cases.
    :param seeds: seeds that each variant plays in each case.
    """

    question: str
    player: str
    baseline: str
    variants: dict[str, Variant]
    cases: list[Case]
    seeds: list[int]

    def plays(self) -> Iterator[Play]:
        """Yield all plays; those of one pair follow each other."""
        for seed in self.seeds:
            for case in self.cases:
                for variant in self.variants:
                    yield Play(variant, case, seed)


def load_experiment(path: Path) -> Experiment:
    """Read an experiment.

    :param path: YAML file.
    :raises DocumentInvalid: the document is no experiment.
    :raises ValueError: the baseline is none of the variants.
    """
    experiment = decode_document(yaml.safe_load(path.read_text()), Experiment)
    if experiment.baseline not in experiment.variants:
        raise ValueError(f"{path}: the baseline {experiment.baseline!r} is no variant")
    return experiment
