"""Interface between the gossip and the configuration that it spreads."""

from datetime import datetime
from typing import Protocol

__all__ = ["ConfigurationSource", "NullConfigurationSource"]


class ConfigurationSource(Protocol):
    """What the gossip needs of the holder of the configuration."""

    def version_and_age(self, now: datetime) -> tuple[int, float | None]:
        """Return the version in force and the seconds since it was known to be current."""
        ...

    def confirm_version(self, version: int, confirmed_at: datetime) -> None:
        """Learn that a version was current at a time."""
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
    """Stands in where no configuration is spread."""

    def version_and_age(self, now: datetime) -> tuple[int, float | None]:
        """Return version 0."""
        return 0, None

    def confirm_version(self, version: int, confirmed_at: datetime) -> None:
        """Ignore the digest."""

    def state_bytes_since(self, version: int) -> bytes | None:
        """Return nothing."""
        return None

    def install_bytes(self, data: bytes) -> None:
        """Ignore the bytes."""
