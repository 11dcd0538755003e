"""Players: programs that play a case under a variant and report figures."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from tools.experiment.plan import Play, Variant
from tools.experiment.results import Figures

__all__ = ["Player", "find_player", "player", "player_names"]


class Player(Protocol):
    """Plays cases."""

    async def play(self, play: Play, variant: Variant) -> Figures:
        """Play a case and return its figures.

        :raises PlayFailed: there are none.
        """
        ...


_players_by_name: dict[str, Callable[[Path], Player]] = {}


def player(name: str) -> Callable[[Callable[[Path], Player]], Callable[[Path], Player]]:
    """Register a class of players under a name that experiments may state.

    Its constructor gets the folder of the experiment.
    """

    def register(cls: Callable[[Path], Player]) -> Callable[[Path], Player]:
        _players_by_name[name] = cls
        return cls

    return register


def player_names() -> tuple[str, ...]:
    """Return the names of all players."""
    return tuple(sorted(_players_by_name))


def find_player(name: str) -> Callable[[Path], Player]:
    """Return the class of players with a name.

    :raises KeyError: there is none.
    """
    return _players_by_name[name]
