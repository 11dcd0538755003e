"""Authentication of callers: the interface of authenticators and their registry."""

from collections.abc import Callable
from typing import Protocol

import attrs
from mimosapoint.errors import BadRequest, Forbidden
from mimosapoint.ports import OperatorApi

from mimosapoint_node.http.message import Request

__all__ = ["Authenticator", "Caller", "authenticator", "make_authenticator"]

WORKSPACE_HEADER = "mimosapoint-workspace"


@attrs.frozen
class Caller:
    """Caller of a request and its permissions.

    :param workspace: workspace of the caller; ``None`` when the request named none.
    :param service: service that the caller is restricted to; ``None`` for all services.
    :param operator: whether the caller may read and change the configuration.
    """

    workspace: str | None = None
    service: str | None = None
    operator: bool = False

    def require_workspace(self) -> str:
        """Return the workspace of the caller.

        :raises BadRequest: the request named no workspace.
        """
        if not self.workspace:
            raise BadRequest("name the workspace in Mimosapoint-Workspace or ?workspace=")
        return self.workspace

    def require_operator(self) -> None:
        """Check that the caller is an operator.

        :raises Forbidden: the caller is not an operator.
        """
        if not self.operator:
            raise Forbidden("only operators may do this")

    def check_submit(self, workspace: str, service: str) -> None:
        """Check that the caller may submit a job for a workspace and a service.

        :raises Forbidden: the caller is restricted to another workspace or service.
        """
        if self.workspace not in (None, workspace):
            raise Forbidden("the job names another workspace than the caller's")
        if self.service not in (None, service):
            raise Forbidden("the job names another service than the caller's")


class Authenticator(Protocol):
    """Identifies the caller of a request."""

    async def caller(self, request: Request) -> Caller:
        """Return the caller.

        :raises Unauthenticated: the request does not identify its caller.
        """
        ...


_factories_by_name: dict[str, Callable[[OperatorApi], Authenticator]] = {}


def authenticator(name: str) -> Callable[[type], type]:
    """Register an authenticator class under its name in the settings.

    The class is called with the port for operators.
    """

    def register(authenticator_class: type) -> type:
        _factories_by_name[name] = authenticator_class
        return authenticator_class

    return register


def make_authenticator(name: str, operators: OperatorApi) -> Authenticator:
    """Return a new authenticator of a registered class.

    :raises BadRequest: no authenticator has that name.
    """
    factory = _factories_by_name.get(name)
    if factory is None:
        known = ", ".join(sorted(_factories_by_name))
        raise BadRequest(f"no authenticator {name}; there are {known}")
    return factory(operators)


def named_workspace(request: Request) -> str | None:
    """Return the workspace that the header or the query names, or ``None``.

    :raises BadRequest: they name different workspaces.
    """
    header = request.headers.get(WORKSPACE_HEADER)
    query = request.query.get("workspace")
    if header and query and header != query:
        raise BadRequest("the header and the query name two workspaces")
    return header or query


@authenticator("none")
class NoAuthenticator:
    """Accepts the workspace that a request names and treats every caller as an operator."""

    def __init__(self, operators: OperatorApi):
        pass

    async def caller(self, request: Request) -> Caller:
        """Return an operator in the workspace that the request names."""
        return Caller(workspace=named_workspace(request), operator=True)
