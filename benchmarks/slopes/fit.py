"""Straight lines through measured points."""

import attrs

__all__ = ["Point", "Slope", "fit"]


@attrs.frozen
class Point:
    """One measurement.

    :param x: size at which it was taken.
    :param y: what was measured.
    """

    x: float
    y: float


@attrs.frozen
class Slope:
    """How a cost grows with a size.

    :param name: stable name, by which pages refer to it.
    :param per: what the size counts.
    :param unit: unit of the cost.
    :param slope: cost of one more, in the unit.
    :param intercept: cost at size 0, in the unit.
    :param spread: largest distance of a point from the line, in the unit.
    :param points: the measurements.
    """

    name: str
    per: str
    unit: str
    slope: float
    intercept: float
    spread: float
    points: tuple[Point, ...]


def fit(name: str, per: str, unit: str, points: list[Point]) -> Slope:
    """Return the least-squares line through the points.

    :raises ValueError: the points have fewer than two different sizes.
    """
    mean_x = sum(point.x for point in points) / max(1, len(points))
    mean_y = sum(point.y for point in points) / max(1, len(points))
    across = sum((point.x - mean_x) ** 2 for point in points)
    if across == 0:
        raise ValueError(f"{name} needs two different sizes")
    slope = sum((point.x - mean_x) * (point.y - mean_y) for point in points) / across
    intercept = mean_y - slope * mean_x
    spread = max(abs(point.y - intercept - slope * point.x) for point in points)
    ordered = tuple(sorted(points, key=lambda point: point.x))
    return Slope(name, per, unit, slope, intercept, spread, ordered)
