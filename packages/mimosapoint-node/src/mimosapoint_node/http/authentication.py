"""Who the caller of a request is: port and registry of authenticators."""

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
    """The caller of a request.

    :param workspace: workspace that the caller belongs to; ``None`` when it named none.
    :param service: service that the caller is bound to; ``None`` for every one.
    :param operator: whether the caller may see and change the configuration.
    """

    workspace: str | None = None
    service: str | None = None
    operator: bool = False

    def require_workspace(self) -> str:
        """Return the workspace.

        :raises BadRequest: the caller named none.
        """
        if not self.workspace:
            raise BadRequest("name the workspace in Mimosapoint-Workspace or ?workspace=")
        return self.workspace

    def require_operator(self) -> None:
        """Refuse a caller that is no operator.

        :raises Forbidden: the caller is none.
        """
        if not self.operator:
            raise Forbidden("only operators may do this")

    def check_submit(self, workspace: str, service: str) -> None:
        """Refuse a job for another workspace or service.

        :raises Forbidden: the job is for another one.
        """
        if self.workspace not in (None, workspace):
            raise Forbidden("the job names another workspace than the caller's")
        if self.service not in (None, service):
            raise Forbidden("the job names another service than the caller's")


class Authenticator(Protocol):
    """Tells who sent a request."""

    async def caller(self, request: Request) -> Caller:
        """Return the caller.

        :raises Unauthenticated: the request does not show who sent it.
        """
        ...


_factories_by_name: dict[str, Callable[[OperatorApi], Authenticator]] = {}


def authenticator(name: str) -> Callable[[type], type]:
    """Register a class, made from the operators' port, under the name in the settings."""

    def register(kind: type) -> type:
        _factories_by_name[name] = kind
        return kind

    return register


def make_authenticator(name: str, operators: OperatorApi) -> Authenticator:
    """Return a new authenticator.

    :raises BadRequest: none has that name.
    """
    factory = _factories_by_name.get(name)
    if factory is None:
        known = ", ".join(sorted(_factories_by_name))
        raise BadRequest(f"no authenticator {name}; there are {known}")
    return factory(operators)


def named_workspace(request: Request) -> str | None:
    """Return the workspace that the header or the query names.

    :raises BadRequest: they name two.
    """
    header = request.headers.get(WORKSPACE_HEADER)
    query = request.query.get("workspace")
    if header and query and header != query:
        raise BadRequest("the header and the query name two workspaces")
    return header or query


@authenticator("none")
class NoAuthenticator:
    """Believes the workspace that the caller names; everybody is an operator."""

    def __init__(self, operators: OperatorApi):
        pass

    async def caller(self, request: Request) -> Caller:
        """Return the caller as it names itself."""
        return Caller(workspace=named_workspace(request), operator=True)
