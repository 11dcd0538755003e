"""Figures of the plays of an experiment, kept in a file so that it can be continued."""

from __future__ import annotations

from pathlib import Path

import orjson

from tools.experiment.plan import Play

__all__ = ["Figures", "ResultFile"]

Figures = dict[str, float]
"""Figures of a play, by name."""


class ResultFile:
    """Figures by play, one JSON line each.

    :param path: the file; a line that an interruption has cut off is ignored.
    """

    def __init__(self, path: Path):
        self._path = path
        self.figures_by_play: dict[str, Figures] = {}
        content = path.read_bytes() if path.exists() else b""
        if content and not content.endswith(b"\n"):
            path.write_bytes(content + b"\n")
        for line in content.splitlines():
            try:
                record = orjson.loads(line)
            except orjson.JSONDecodeError:
                continue
            self.figures_by_play[record["play"]] = record["figures"]

    def add(self, play: Play, figures: Figures) -> None:
        """Store the figures of a play."""
        self.figures_by_play[play.key] = figures
        with self._path.open("ab") as file:
            file.write(orjson.dumps({"play": play.key, "figures": figures}) + b"\n")
