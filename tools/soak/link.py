"""Network link of limited bandwidth."""

from __future__ import annotations

import attrs
import trio

__all__ = ["Link"]


@attrs.define
class Link:
    """Link of a node, whose bandwidth its connections share in each direction.

    :param bytes_per_second: bandwidth in each direction; infinite by default.
    """

    bytes_per_second: float = float("inf")
    _free_at_by_direction: dict[str, float] = attrs.field(factory=dict)

    @property
    def is_unlimited(self) -> bool:
        """Whether data takes no time."""
        return self.bytes_per_second == float("inf")

    async def transmit(self, size: int, direction: str) -> None:
        """Return once the link has transmitted the bytes of this call and of earlier ones.

        :param size: number of bytes.
        :param direction: ``up`` or ``down``.
        """
        begins_at = max(trio.current_time(), self._free_at_by_direction.get(direction, 0.0))
        ends_at = begins_at + size / self.bytes_per_second
        self._free_at_by_direction[direction] = ends_at
        await trio.sleep_until(ends_at)
