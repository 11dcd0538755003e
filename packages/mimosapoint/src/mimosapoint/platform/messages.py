"""HTTP bodies of requests and replies that the ports do not define."""

from base64 import b64decode, b64encode

import attrs

from mimosapoint.model import TaskOutput, Vm
from mimosapoint.ports import Entry

__all__ = [
    "EntryList",
    "EntryMessage",
    "GrantLeaseReply",
    "GrantLeaseRequest",
    "Outputs",
    "Problem",
    "VmListReply",
    "WriteReply",
]


@attrs.frozen
class Problem:
    """Body of every error reply.

    :param code: stable code of the error.
    :param detail: human-readable description.
    :param current: current revision or epoch, if the error carries one.
    """

    code: str
    detail: str = ""
    current: int | None = None


@attrs.frozen
class EntryMessage:
    """Entry of the store.

    :param key: key of the entry.
    :param value: value in base64.
    :param revision: revision of the last write.
    """

    key: str
    value: str
    revision: int

    @classmethod
    def from_entry(cls, entry: Entry) -> "EntryMessage":
        """Encode an entry."""
        return cls(entry.key, b64encode(entry.value).decode(), entry.revision)

    def to_entry(self) -> Entry:
        """Decode the entry.

        :raises ValueError: the value is not base64.
        """
        return Entry(self.key, b64decode(self.value, validate=True), self.revision)


@attrs.frozen
class EntryList:
    """Entries of a scan or a watch, ordered by key."""

    entries: tuple[EntryMessage, ...]


@attrs.frozen
class WriteReply:
    """Reply to a write: the new revision."""

    revision: int


@attrs.frozen
class GrantLeaseRequest:
    """Request for a lease: its time to live in seconds."""

    ttl: float


@attrs.frozen
class GrantLeaseReply:
    """Reply to a request for a lease: its id."""

    lease: str


@attrs.frozen
class Outputs:
    """Output of ended tasks."""

    outputs: tuple[TaskOutput, ...]


@attrs.frozen
class VmListReply:
    """The VMs of the platform's list."""

    vms: tuple[Vm, ...]
