"""Exceptions of the library, each with a stable code."""

from datetime import timedelta
from typing import ClassVar

__all__ = [
    "AdmissionRefused",
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
    "WorkerNotListening",
    "WorkerRefused",
    "WorkerUnreachable",
]


class MimosapointError(Exception):
    """Base class of the library's exceptions.

    :param detail: human-readable description; the code if empty.
    :param retry_after: time after which a retry may succeed; ``None`` when a retry is useless.
    """

    code: ClassVar[str] = "internal"

    def __init__(self, detail: str = "", *, retry_after: timedelta | None = None):
        super().__init__(detail or self.code)
        self.detail = detail or self.code
        self.retry_after = retry_after


class BadRequest(MimosapointError):
    """The request is malformed.

    :param detail: summary of the errors; all reasons if empty.
    :param reasons: every error found, each with the path of the field.
    """

    code = "bad-request"

    def __init__(self, detail: str = "", *, reasons: tuple[str, ...] = ()):
        super().__init__(detail or "; ".join(reasons))
        self.reasons = reasons


class SettingsInvalid(BadRequest):
    """The settings file is invalid."""

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
    """The patch id was already used with different content."""

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
    """The caller lacks the permission for the request."""

    code = "forbidden"


class IdempotencyConflict(MimosapointError):
    """The idempotency key was already used with a different request."""

    code = "idempotency-conflict"


class NeverFits(MimosapointError):
    """The declared capacity can never hold the job."""

    code = "never-fits"


class JobNotFound(MimosapointError):
    """No job with this id is known to the workspace."""

    code = "job-not-found"


class Overloaded(MimosapointError):
    """The request was not accepted, for example because a limit is reached."""

    code = "overloaded"


class AdmissionRefused(MimosapointError):
    """The job was not accepted and never runs, as its result would come too late to be of use.

    :param retry_share: share of a caller's longest retry delay to use if that is shorter.
    """

    code = "admission-refused"

    def __init__(self, detail: str = "", *, retry_after: timedelta, retry_share: float = 1.0):
        super().__init__(detail, retry_after=retry_after)
        self.retry_share = retry_share


class OutcomeUnknown(MimosapointError):
    """It is unknown whether the request had its effect; retry with the same idempotency key."""

    code = "outcome-unknown"


class NotCellOwner(MimosapointError):
    """Only the owner of the cell can serve the request; another node may be asked."""

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

    :param current: the current epoch.
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

    :param current: stored revision; 0 when the key is absent.
    """

    code = "compare-failed"

    def __init__(self, current: int):
        super().__init__(f"the stored revision is {current}")
        self.current = current


class LeaseLost(MimosapointError):
    """The lease has expired."""

    code = "lease-lost"


class ValueTooLarge(MimosapointError):
    """The value exceeds the store's size limit."""

    code = "value-too-large"


class CodecError(MimosapointError):
    """The bytes are not a valid encoded value."""

    code = "codec"


class NewerFormat(CodecError):
    """The value has a newer format than this program supports.

    :param found: format number of the value.
    """

    code = "newer-format"

    def __init__(self, found: int):
        super().__init__(f"format {found} is newer than this program")
        self.found = found


class PeerRefused(MimosapointError):
    """The peer refused the call; it had no effect."""

    code = "peer-refused"


class PeerUnreachable(MimosapointError):
    """The peer did not answer; the call may have had its effect."""

    code = "peer-unreachable"


class UnknownMessage(MimosapointError):
    """The peer does not support this message; it had no effect."""

    code = "unknown-message"


class MessageTooLarge(MimosapointError):
    """The message or its reply exceeds the size limit between peers."""

    code = "message-too-large"


class CircuitOpen(MimosapointError):
    """Calls to a failing dependency are suspended; the call was not sent."""

    code = "circuit-open"


class VmListUnavailable(MimosapointError):
    """The VM list cannot be read."""

    code = "vm-list-unavailable"


class WorkerUnreachable(MimosapointError):
    """The worker did not answer; the call may have had its effect."""

    code = "worker-unreachable"


class WorkerRefused(MimosapointError):
    """The worker refused the command; it had no effect."""

    code = "worker-refused"


class WorkerNotListening(WorkerRefused):
    """No process listens at the worker's address; the command had no effect."""

    code = "worker-not-listening"


class RouteNotFound(MimosapointError):
    """The HTTP interface has no such path."""

    code = "route-not-found"


class MethodNotAllowed(MimosapointError):
    """The path does not support this method.

    :param allowed: methods of the path, in alphabetical order.
    """

    code = "method-not-allowed"

    def __init__(self, allowed: tuple[str, ...]):
        super().__init__(f"allowed: {', '.join(allowed)}")
        self.allowed = allowed


class BodyTooLarge(MimosapointError):
    """The body of the request exceeds the size limit."""

    code = "body-too-large"


class BodyTimeout(MimosapointError):
    """The body of the request did not arrive in time."""

    code = "body-timeout"


class Unauthenticated(MimosapointError):
    """The request carries no valid credentials."""

    code = "unauthenticated"


class ShuttingDown(MimosapointError):
    """The node is stopping; the request was not accepted."""

    code = "shutting-down"
