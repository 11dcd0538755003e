"""Routes that read and replace the faults of a stand-in."""

from collections.abc import Callable

from mimosapoint.memory import Faults

from mimosapoint_standins.router import Request, Response, Router, json_response

__all__ = ["add_fault_routes"]


def add_fault_routes(router: Router, faults_of: Callable[[Request], Faults]) -> None:
    """Add the routes of ``/v1/faults``, to which no fault applies.

    :param faults_of: returns the faults of the stand-in that a request addresses.
    """

    @router.route("GET", "/v1/faults", corruptible=False)
    async def read(request: Request) -> Response:
        return json_response(faults_of(request))

    @router.route("PUT", "/v1/faults", corruptible=False)
    async def replace(request: Request) -> Response:
        faults = faults_of(request)
        faults.replace_with(request.json(Faults))
        return json_response(faults)
