"""Authentication of callers by bearer tokens."""

from __future__ import annotations

import hmac
from collections.abc import Iterable, Iterator, Mapping
from hashlib import sha256
from typing import TYPE_CHECKING

from mimosapoint.errors import Forbidden, StoreUnavailable, Unauthenticated
from mimosapoint.ports import OperatorApi

from mimosapoint_node.http.authentication import Caller, authenticator, named_workspace
from mimosapoint_node.http.message import Request

if TYPE_CHECKING:
    from mimosapoint.configuration import Configuration

__all__ = ["TokenAuthenticator", "bearer_token", "token_digest"]

SCHEME = "bearer"


def token_digest(token: str) -> str:
    """Return the digest of a bearer token as the configuration stores it.

    >>> token_digest("a")[:8]
    'ca978112'
    """
    return sha256(token.encode("latin-1", "replace")).hexdigest()


@authenticator("tokens")
class TokenAuthenticator:
    """Looks up tokens in the configuration that is in force on this node.

    :param operators: port that provides the configuration.
    """

    def __init__(self, operators: OperatorApi):
        self._operators = operators

    async def caller(self, request: Request) -> Caller:
        """Return the operator or the service that the token belongs to.

        :raises Unauthenticated: the token is missing or unknown.
        :raises Forbidden: the request names another workspace than the token's.
        :raises StoreUnavailable: the node has no configuration yet.
        """
        digest = token_digest(_read_token(request))
        configuration = await self._operators.configuration()
        if configuration.version == 0:
            raise StoreUnavailable("this node has no configuration yet")
        workspace_name = named_workspace(request)
        if _contains(configuration.operator_token_digests, digest):
            return Caller(workspace=workspace_name, operator=True)
        callers = [
            caller for known, caller in _service_callers(configuration) if _contains(known, digest)
        ]
        if not callers:
            raise Unauthenticated("the bearer token is not known")
        if workspace_name not in (None, callers[0].workspace):
            raise Forbidden("the bearer token belongs to another workspace")
        return callers[0]


def bearer_token(headers: Mapping[str, str]) -> str | None:
    """Return the bearer token of a request, or ``None`` when it has none.

    :param headers: header values by lower-case name.
    """
    scheme, _, token = headers.get("authorization", "").partition(" ")
    return token.strip() if scheme.lower() == SCHEME and token.strip() else None


def _read_token(request: Request) -> str:
    token = bearer_token(request.headers)
    if token is None:
        raise Unauthenticated("send the header Authorization: Bearer TOKEN")
    return token


def _service_callers(configuration: Configuration) -> Iterator[tuple[tuple[str, ...], Caller]]:
    """Yield the token digests of every service and the caller that they identify."""
    for workspace_id, workspace in configuration.workspaces_by_id.items():
        for service_id, service in workspace.services_by_id.items():
            yield service.token_digests, Caller(workspace=workspace_id, service=service_id)


def _contains(digests: Iterable[str], digest: str) -> bool:
    """Return whether the digest is among the digests; compare with each in constant time."""
    return any([hmac.compare_digest(known, digest) for known in digests])
