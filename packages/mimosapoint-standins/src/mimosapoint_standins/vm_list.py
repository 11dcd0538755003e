"""HTTP interface of the VM list, backed by the in-memory list."""

import hashlib
from collections.abc import Callable

import attrs
from mimosapoint.errors import BadRequest
from mimosapoint.memory import MemoryVmList
from mimosapoint.model import Vm
from mimosapoint.platform import VmListReply

from mimosapoint_standins.faults import add_fault_routes
from mimosapoint_standins.router import Request, Response, Router, json_response

__all__ = ["vm_list_app"]


def vm_list_app(vm_list: MemoryVmList) -> Router:
    """Return the ASGI application of a VM list, with routes that tests use to change it."""
    router = Router(lambda request: vm_list.faults.garbage)
    add_fault_routes(router, lambda request: vm_list.faults)

    @router.route("GET", "/v1/vms")
    async def vms(request: Request) -> Response:
        response = json_response(VmListReply(await vm_list.vms()))
        tag = _tag(response.body)
        if request.headers.get("if-none-match") == tag:
            return Response(304)
        return attrs.evolve(response, headers=(*response.headers, (b"etag", tag.encode())))

    @router.route("POST", "/v1/vms/{id}/leave", corruptible=False)
    async def leave(request: Request) -> Response:
        return _change_vm(vm_list.mark_leaving, request.parameters["id"])

    @router.route("PUT", "/v1/vms/{id}", corruptible=False)
    async def put(request: Request) -> Response:
        vm = request.json(Vm)
        vm_list.put(attrs.evolve(vm, id=request.parameters["id"]))
        return Response(204)

    @router.route("DELETE", "/v1/vms/{id}", corruptible=False)
    async def remove(request: Request) -> Response:
        return _change_vm(vm_list.remove, request.parameters["id"])

    return router


def _tag(body: bytes) -> str:
    """Return the entity tag of an encoded list."""
    return f'"{hashlib.blake2b(body, digest_size=8).hexdigest()}"'


def _change_vm(change: Callable[[str], None], vm_id: str) -> Response:
    try:
        change(vm_id)
    except KeyError as error:
        raise BadRequest(f"no VM {vm_id}") from error
    return Response(204)
