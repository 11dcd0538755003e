"""Interface of the configuration that the gossip spreads."""

from datetime import datetime
from typing import Protocol

__all__ = ["ConfigurationSource", "NullConfigurationSource"]


class ConfigurationSource(Protocol):
    """Access of the gossip to the configuration of this node."""

    def version_and_age(self, now: datetime) -> tuple[int, float | None]:
        """Return the version in force and the seconds since it was confirmed as current."""
        ...

    def confirm_version(self, version: int, confirmed_at: datetime) -> None:
        """Record that a version was current at a time."""
        ...

    def state_bytes_since(self, version: int) -> bytes | None:
        """Return the encoded configuration for a peer that has an older version."""
        ...

    def install_bytes(self, data: bytes) -> None:
        """Install an encoded configuration if it is newer.

        :raises CodecError: the bytes are not a configuration.
        """
        ...


class NullConfigurationSource:
    """Source for a membership that spreads no configuration."""

    def version_and_age(self, now: datetime) -> tuple[int, float | None]:
        """Return version 0."""
        return 0, None

    def confirm_version(self, version: int, confirmed_at: datetime) -> None:
        """Ignore the confirmation."""

    def state_bytes_since(self, version: int) -> bytes | None:
        """Return ``None``."""
        return None

    def install_bytes(self, data: bytes) -> None:
        """Ignore the bytes."""
