"""Checks of a job request against the configuration, before it is sent to a zone owner."""

from datetime import timedelta

from mimosapoint.configuration import Configuration, Service, Workspace
from mimosapoint.errors import BadRequest, Overloaded, UnknownService, UnknownWorkspace
from mimosapoint.model import JobRequest
from mimosapoint.placement import check_feasible

__all__ = ["check_request", "find_workspace"]

RETRY_AFTER = timedelta(seconds=1)


def find_workspace(configuration: Configuration, workspace: str) -> Workspace:
    """Return a workspace.

    :raises Overloaded: no configuration is loaded yet.
    :raises UnknownWorkspace: there is no such workspace.
    """
    if configuration.version == 0:
        raise Overloaded("no configuration is loaded yet", retry_after=RETRY_AFTER)
    found = configuration.workspaces_by_id.get(workspace)
    if found is None:
        raise UnknownWorkspace(f"no workspace {workspace}")
    return found


def check_request(configuration: Configuration, request: JobRequest) -> None:
    """Check that the service may submit the job and that a zone could hold its gang.

    :raises Overloaded: no configuration is loaded yet.
    :raises UnknownWorkspace: there is no such workspace.
    :raises UnknownService: the workspace has no such service.
    :raises BadRequest: the service may not use the job class or one of the zones.
    :raises NeverFits: the gang does not fit into any allowed zone, even when it is empty.
    """
    workspace = find_workspace(configuration, request.workspace)
    service = workspace.services_by_id.get(request.service)
    if service is None:
        raise UnknownService(f"no service {request.service} in {request.workspace}")
    reasons = _refusal_reasons(configuration, workspace, service, request)
    if reasons:
        raise BadRequest(reasons=reasons)
    check_feasible(request, configuration.allowed_zones(request).values())


def _refusal_reasons(
    configuration: Configuration, workspace: Workspace, service: Service, request: JobRequest
) -> tuple[str, ...]:
    """Return every reason to refuse the request, each with the path of its field."""
    reasons = []
    if request.job_class not in service.classes:
        allowed = ", ".join(job_class.value for job_class in service.classes)
        reasons.append(f"/class: this service may ask for {allowed}")
    zones = service.zones or configuration.zones_of(workspace.region)
    for index, zone in enumerate(request.zones):
        if zone not in zones:
            reasons.append(f"/zones/{index}: {zone} is not a zone of this service")
    return tuple(reasons)
