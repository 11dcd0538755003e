"""Transfer of a large configuration in parts, so that heartbeats do not wait for it."""

import hashlib
from collections.abc import Callable
from datetime import datetime, timedelta
from random import Random

import attrs
import trio

from mimosapoint.errors import CodecError, MimosapointError, Overloaded
from mimosapoint.membership.configuration_source import ConfigurationSource
from mimosapoint.membership.messages import ConfigurationPart, ConfigurationPartReply
from mimosapoint.ports import VALUE_LIMIT_BYTES, Clock, Peers, Telemetry
from mimosapoint.resilience import Backoff

__all__ = ["INLINE_LIMIT_BYTES", "StateFetcher", "StateServer"]

PART_BYTES = 16_000
"""Largest part in one message; a heartbeat waits for a few of them on a slow link."""

INLINE_LIMIT_BYTES = PART_BYTES
"""Largest configuration that the gossip carries itself."""

PART_TIMEOUT = timedelta(seconds=5)
"""Timeout of the call for one part. It may be longer than that of a heartbeat, as nothing but the
configuration waits for it."""

MAX_TRANSFERS = 4
"""Largest number of nodes to which a node sends parts at a time; the others have other sources once
these are served."""

INITIAL_BACKOFF = timedelta(milliseconds=200)
MAX_BACKOFF = timedelta(seconds=5)
RETRY_AFTER = timedelta(seconds=1)


@attrs.define
class _Transfer:
    """Configuration that a node is fetching; it stays the same when a newer one is installed."""

    data: bytes
    digest: str
    used_at: datetime


class StateServer:
    """Serves the parts of the configuration.

    :param configuration_source: the configuration of this node.
    """

    def __init__(self, clock: Clock, configuration_source: ConfigurationSource) -> None:
        self._clock = clock
        self._configuration_source = configuration_source
        self._transfers_by_node: dict[str, _Transfer] = {}

    def serve(self, request: ConfigurationPart) -> ConfigurationPartReply:
        """Return a part.

        :raises Overloaded: too many nodes are fetching the configuration.
        """
        now = self._clock.now()
        self._drop_abandoned(now)
        transfer = self._transfers_by_node.get(request.node)
        if transfer is None or transfer.digest != request.digest:
            transfer = self._begin(request, now)
        if transfer is None:
            return ConfigurationPartReply()
        transfer.used_at = now
        offset = request.offset if request.digest == transfer.digest else 0
        end = offset + PART_BYTES
        if end >= len(transfer.data):
            self._transfers_by_node.pop(request.node)
        part = transfer.data[offset:end]
        return ConfigurationPartReply(transfer.digest, len(transfer.data), offset, part)

    def _begin(self, request: ConfigurationPart, now: datetime) -> _Transfer | None:
        """Begin to send the version in force, unless it is not newer than the caller's."""
        data = self._configuration_source.state_bytes_since(request.version)
        if data is None:
            return None
        others = self._transfers_by_node.keys() - {request.node}
        if len(others) >= MAX_TRANSFERS:
            raise Overloaded("other nodes are fetching", retry_after=RETRY_AFTER)
        transfer = _Transfer(data, _digest(data), now)
        self._transfers_by_node[request.node] = transfer
        return transfer

    def _drop_abandoned(self, now: datetime) -> None:
        for node, transfer in list(self._transfers_by_node.items()):
            if now - transfer.used_at > 2 * PART_TIMEOUT:
                del self._transfers_by_node[node]


class StateFetcher:
    """Fetches a newer configuration from a peer, and after a failure the rest of it from any peer.

    :param node: id of this node.
    :param peers: calls to other nodes.
    :param configuration_source: the configuration of this node.
    :param random: source of jitter and of the choice of a peer.
    :param install: installs an encoded configuration; returns whether it could be used.
    """

    def __init__(
        self,
        node: str,
        peers: Peers,
        clock: Clock,
        configuration_source: ConfigurationSource,
        telemetry: Telemetry,
        random: Random,
        install: Callable[[bytes], bool],
    ) -> None:
        self._node = node
        self._peers = peers
        self._clock = clock
        self._configuration_source = configuration_source
        self._telemetry = telemetry
        self._random = random
        self._install = install
        self._versions_by_source: dict[str, int] = {}
        self._source_added = trio.Event()
        self._refused_version = 0
        self._digest = ""
        self._received = bytearray()

    def add_source(self, address: str, version: int) -> None:
        """Record that a peer has a version that this node may lack."""
        if version > max(self._version_in_force(), self._refused_version):
            self._versions_by_source[address] = version
            self._source_added.set()

    async def run(self) -> None:
        """Fetch newer versions until cancelled."""
        backoff = Backoff(self._random, INITIAL_BACKOFF, MAX_BACKOFF)
        while True:
            address = await self._next_source()
            try:
                await self._fetch(address)
            except MimosapointError as error:
                if not isinstance(error, Overloaded):
                    self._versions_by_source.pop(address, None)
                self._telemetry.event(
                    "configuration-fetch-failed", peer=address, code=error.code, detail=error.detail
                )
                await self._clock.sleep(backoff.next_delay())
            else:
                backoff.reset()

    async def _next_source(self) -> str:
        """Wait for a source and return one of those with the highest version."""
        while True:
            in_force = self._version_in_force()
            self._versions_by_source = {
                address: version
                for address, version in self._versions_by_source.items()
                if version > max(in_force, self._refused_version)
            }
            highest = max(self._versions_by_source.values(), default=None)
            if highest is not None:
                sources = [
                    a for a, version in self._versions_by_source.items() if version == highest
                ]
                return self._random.choice(sources)
            self._source_added = trio.Event()
            await self._source_added.wait()

    async def _fetch(self, address: str) -> None:
        """Fetch the parts that are missing and install the configuration.

        :raises CodecError: the parts are not those of one configuration.
        """
        while self._versions_by_source.get(address, 0) > self._version_in_force():
            request = ConfigurationPart(
                self._node, self._version_in_force(), self._digest, len(self._received)
            )
            reply = await self._peers.call(address, request, PART_TIMEOUT)
            if not reply.size:
                self._versions_by_source.pop(address, None)
            elif self._add_part(reply):
                self._install_received(self._versions_by_source[address])
                return

    def _add_part(self, reply: ConfigurationPartReply) -> bool:
        """Add a part and return whether it was the last one."""
        if reply.digest != self._digest:
            self._digest = reply.digest
            self._received.clear()
        if reply.offset != len(self._received) or not 0 < reply.size <= VALUE_LIMIT_BYTES:
            self._drop_received()
            raise CodecError(f"unusable part at {reply.offset} of {reply.size} bytes")
        self._received += reply.part
        return len(self._received) >= reply.size

    def _install_received(self, version: int) -> None:
        data, digest = bytes(self._received), self._digest
        self._drop_received()
        if _digest(data) != digest:
            raise CodecError("the parts are not those of one configuration")
        if not self._install(data):
            # What cannot be used is not fetched again.
            self._refused_version = version

    def _drop_received(self) -> None:
        self._digest = ""
        self._received.clear()

    def _version_in_force(self) -> int:
        return self._configuration_source.version_and_age(self._clock.now())[0]


def _digest(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()
