"""Linear fits of measured points."""

import attrs

__all__ = ["Point", "Slope", "fit"]


@attrs.frozen
class Point:
    """Measured point.

    :param x: size at which it was taken.
    :param y: measured cost.
    """

    x: float
    y: float


@attrs.frozen
class Slope:
    """Linear growth of a cost with a size.

    :param name: stable name, used in the documentation.
    :param per: item that the size counts.
    :param unit: unit of the cost.
    :param slope: cost of one more item, in the unit.
    :param intercept: cost at size 0, in the unit.
    :param spread: largest distance of a point from the line, in the unit.
    :param points: measured points in the order of their sizes.
    """

    name: str
    per: str
    unit: str
    slope: float
    intercept: float
    spread: float
    points: tuple[Point, ...]


def fit(name: str, per: str, unit: str, points: list[Point]) -> Slope:
    """Return the least-squares fit of the points.

    :raises ValueError: the points have fewer than two different sizes.
    """
    mean_x = sum(point.x for point in points) / max(1, len(points))
    mean_y = sum(point.y for point in points) / max(1, len(points))
    variation = sum((point.x - mean_x) ** 2 for point in points)
    if variation == 0:
        raise ValueError(f"{name} needs two different sizes")
    slope = sum((point.x - mean_x) * (point.y - mean_y) for point in points) / variation
    intercept = mean_y - slope * mean_x
    spread = max(abs(point.y - intercept - slope * point.x) for point in points)
    ordered = tuple(sorted(points, key=lambda point: point.x))
    return Slope(name, per, unit, slope, intercept, spread, ordered)
