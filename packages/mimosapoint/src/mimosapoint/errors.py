"""Exceptions of the library, each with a stable code."""

from datetime import timedelta
from typing import ClassVar

__all__ = [
    "BadRequest",
    "CircuitOpen",
    "BodyTimeout",
    "BodyTooLarge",
    "CodecError",
    "CompareFailed",
    "ConfigurationInvalid",
    "ConfigurationStale",
    "Forbidden",
    "IdempotencyConflict",
    "JobNotFound",
    "LeaseLost",
    "MessageTooLarge",
    "MethodNotAllowed",
    "MimosapointError",
    "NeverFits",
    "NewerFormat",
    "NotCellOwner",
    "NotOwner",
    "OutcomeUnknown",
    "Overloaded",
    "PatchConflict",
    "PatchNotFound",
    "PeerRefused",
    "PeerUnreachable",
    "RouteNotFound",
    "SettingsInvalid",
    "ShuttingDown",
    "StaleEpoch",
    "StoreTimeout",
    "StoreUnavailable",
    "UnknownMessage",
    "Unauthenticated",
    "UnknownService",
    "UnknownWorkspace",
    "ValueTooLarge",
    "VmListUnavailable",
    "WorkerRefused",
    "WorkerUnreachable",
]


class MimosapointError(Exception):
    """Base of every failure of the system.

    :param detail: what happened, for people.
    :param retry_after: when a repeat may succeed; ``None`` when a repeat is useless.
    """

    code: ClassVar[str] = "internal"

    def __init__(self, detail: str = "", *, retry_after: timedelta | None = None):
        super().__init__(detail or self.code)
        self.detail = detail or self.code
        self.retry_after = retry_after


class BadRequest(MimosapointError):
    """The request is malformed.

    :param detail: summary of the fault.
    :param reasons: every fault found, each with the path of the field.
    """

    code = "bad-request"

    def __init__(self, detail: str = "", *, reasons: tuple[str, ...] = ()):
        super().__init__(detail or "; ".join(reasons))
        self.reasons = reasons


class SettingsInvalid(BadRequest):
    """The settings file has faults."""

    code = "settings-invalid"


class ConfigurationInvalid(BadRequest):
    """The configuration would be invalid after the patch."""

    code = "configuration-invalid"


class ConfigurationStale(MimosapointError):
    """The patch names a base version that is not the current one.

    :param current: number of the current version.
    """

    code = "configuration-stale"

    def __init__(self, current: int):
        super().__init__(f"the current version is {current}")
        self.current = current


class PatchConflict(MimosapointError):
    """The patch id was used before with another content."""

    code = "patch-conflict"


class PatchNotFound(MimosapointError):
    """No patch with this id is known."""

    code = "patch-not-found"


class UnknownWorkspace(MimosapointError):
    """The workspace is not in the configuration."""

    code = "unknown-workspace"


class UnknownService(MimosapointError):
    """The service is not in the workspace."""

    code = "unknown-service"


class Forbidden(MimosapointError):
    """The caller may not do this."""

    code = "forbidden"


class IdempotencyConflict(MimosapointError):
    """The idempotency key was used before with another request."""

    code = "idempotency-conflict"


class NeverFits(MimosapointError):
    """The job can never run on the declared capacity."""

    code = "never-fits"


class JobNotFound(MimosapointError):
    """No job with this id is known to the workspace."""

    code = "job-not-found"


class Overloaded(MimosapointError):
    """A bound is reached; the request was not accepted."""

    code = "overloaded"


class OutcomeUnknown(MimosapointError):
    """The effect of a request is unknown; repeat it with the same idempotency key."""

    code = "outcome-unknown"


class NotCellOwner(MimosapointError):
    """Only the owner of the cell can tell; another node may be asked."""

    code = "not-cell-owner"


class NotOwner(MimosapointError):
    """The node does not own the availability zone.

    :param zone: the availability zone.
    """

    code = "not-owner"

    def __init__(self, zone: str):
        super().__init__(f"this node does not own {zone}", retry_after=timedelta(seconds=1))
        self.zone = zone


class StaleEpoch(MimosapointError):
    """A newer owner has fenced the sender.

    :param current: the epoch that is in force.
    """

    code = "stale-epoch"

    def __init__(self, current: int):
        super().__init__(f"epoch {current} is in force")
        self.current = current


class StoreUnavailable(MimosapointError):
    """The store refused the call; it had no effect."""

    code = "store-unavailable"


class StoreTimeout(MimosapointError):
    """The store did not answer; the call may have had its effect."""

    code = "store-timeout"


class CompareFailed(MimosapointError):
    """The stored revision is not the expected one.

    :param current: revision that is stored, 0 when the key is absent.
    """

    code = "compare-failed"

    def __init__(self, current: int):
        super().__init__(f"the stored revision is {current}")
        self.current = current


class LeaseLost(MimosapointError):
    """The lease has lapsed."""

    code = "lease-lost"


class ValueTooLarge(MimosapointError):
    """The value is over the store's limit."""

    code = "value-too-large"


class CodecError(MimosapointError):
    """The bytes are not a valid encoded value."""

    code = "codec"


class NewerFormat(CodecError):
    """The value was written in a newer format than this program knows.

    :param found: format number of the value.
    """

    code = "newer-format"

    def __init__(self, found: int):
        super().__init__(f"format {found} is newer than this program")
        self.found = found


class PeerRefused(MimosapointError):
    """The peer did not take the call; it had no effect."""

    code = "peer-refused"


class PeerUnreachable(MimosapointError):
    """The peer did not answer; the call may have had its effect."""

    code = "peer-unreachable"


class UnknownMessage(MimosapointError):
    """The peer does not serve this message; it had no effect."""

    code = "unknown-message"


class MessageTooLarge(MimosapointError):
    """The message or its reply is over the limit between peers."""

    code = "message-too-large"


class CircuitOpen(MimosapointError):
    """Calls to a failing dependency are suspended; the call was not sent."""

    code = "circuit-open"


class VmListUnavailable(MimosapointError):
    """The list of VMs cannot be read."""

    code = "vm-list-unavailable"


class WorkerUnreachable(MimosapointError):
    """The worker did not answer; the call may have had its effect."""

    code = "worker-unreachable"


class WorkerRefused(MimosapointError):
    """The worker refused the command; it had no effect."""

    code = "worker-refused"


class RouteNotFound(MimosapointError):
    """The HTTP interface has no such path."""

    code = "route-not-found"


class MethodNotAllowed(MimosapointError):
    """The path exists, but not with this method.

    :param allowed: methods of the path, in alphabetical order.
    """

    code = "method-not-allowed"

    def __init__(self, allowed: tuple[str, ...]):
        super().__init__(f"allowed: {', '.join(allowed)}")
        self.allowed = allowed


class BodyTooLarge(MimosapointError):
    """The body of the request is over the limit."""

    code = "body-too-large"


class BodyTimeout(MimosapointError):
    """The body of the request did not arrive in time."""

    code = "body-timeout"


class Unauthenticated(MimosapointError):
    """The caller has not shown who it is."""

    code = "unauthenticated"


class ShuttingDown(MimosapointError):
    """The node is stopping; the request was not accepted."""

    code = "shutting-down"
