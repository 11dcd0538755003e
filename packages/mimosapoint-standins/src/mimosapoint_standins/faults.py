"""Routes that set the faults of a stand-in."""

from collections.abc import Callable

from mimosapoint.memory import Faults

from mimosapoint_standins.router import Request, Response, Router, json_response

__all__ = ["add_fault_routes"]


def add_fault_routes(router: Router, faults_of: Callable[[Request], Faults]) -> None:
    """Let ``/v1/faults`` read and replace the faults in force.

    :param faults_of: returns the faults that a request is about.
    """

    @router.route("GET", "/v1/faults", corruptible=False)
    async def read(request: Request) -> Response:
        return json_response(faults_of(request))

    @router.route("PUT", "/v1/faults", corruptible=False)
    async def replace(request: Request) -> Response:
        faults = faults_of(request)
        faults.replace_with(request.json(Faults))
        return json_response(faults)
