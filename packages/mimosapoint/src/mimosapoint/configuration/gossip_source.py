"""Exchange of the configuration by gossip between nodes."""

from datetime import datetime

from mimosapoint.configuration.service import ConfigurationService
from mimosapoint.configuration.state import decode_state, encode_state

__all__ = ["GossipConfigurationSource"]


class GossipConfigurationSource:
    """Implements :class:`~mimosapoint.membership.ConfigurationSource`.

    :param service: configuration service of this node.
    """

    def __init__(self, service: ConfigurationService):
        self._service = service
        self._encoded_state: tuple[int, bytes] = (-1, b"")

    def version_and_age(self, now: datetime) -> tuple[int, float | None]:
        """Return the version in force and the seconds since its last confirmation.

        The age is ``None`` before the first confirmation.
        """
        confirmed_at = self._service.confirmed_at
        version = self._service.current.version
        if confirmed_at is None:
            return version, None
        return version, max(0.0, (now - confirmed_at).total_seconds())

    def confirm_version(self, version: int, confirmed_at: datetime) -> None:
        """Record that a version was current at a given time."""
        self._service.accept_confirmation(version, confirmed_at)

    def state_bytes_since(self, version: int) -> bytes | None:
        """Return the encoded state if its version is newer than the given one, else ``None``."""
        state = self._service.state
        if state.configuration.version <= version:
            return None
        if self._encoded_state[0] != state.sequence:
            self._encoded_state = (state.sequence, encode_state(state))
        return self._encoded_state[1]

    def install_bytes(self, data: bytes) -> None:
        """Install an encoded configuration state if it is newer.

        :raises CodecError: the data is not a valid configuration state.
        :raises NewerFormat: a newer release wrote the data.
        """
        self._service.install_if_newer(decode_state(data))
