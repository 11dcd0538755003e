"""Plays mixes of jobs with the planner in simulated time, for experiments."""

from __future__ import annotations

from pathlib import Path

import attrs
import trio
from mimosapoint.cell.settings import CellSettings

from benchmarks.decisions.cell import BASE, CELL_POLICIES, CellPlay
from benchmarks.decisions.cell_workload import MIXES
from tools.experiment.plan import Play, Variant
from tools.experiment.players import player
from tools.experiment.results import Figures
from tools.experiment.runner import PlayFailed

__all__ = ["DecisionsPlayer"]

POLICY = "policy"
"""Setting of a variant that names one of the policies of the benchmark."""


@player("decisions")
class DecisionsPlayer:
    """Plays mixes of jobs; a case names a mix as its load.

    :param folder: not used, as there are no files.
    """

    def __init__(self, folder: Path):
        self._folder = folder

    async def play(self, play: Play, variant: Variant) -> Figures:
        """Play a mix and return its figures.

        :raises PlayFailed: the mix, or a setting of the variant, is not known.
        """
        try:
            mix, settings = MIXES[play.case.load], _settings_of(variant)
        except (KeyError, ValueError) as error:
            raise PlayFailed(f"not known: {error}") from error
        return await trio.to_thread.run_sync(CellPlay(mix, settings, play.seed).run)


def _settings_of(variant: Variant) -> CellSettings:
    values = dict(variant.settings)
    changes = dict(CELL_POLICIES[values.pop(POLICY)]) if POLICY in values else {}
    types = attrs.fields_dict(attrs.resolve_types(CellSettings))
    changes |= {name: types[name].type(value) for name, value in values.items()}
    return attrs.evolve(BASE, **changes)
