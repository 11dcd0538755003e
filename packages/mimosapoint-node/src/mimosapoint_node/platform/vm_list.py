"""Client of the platform's VM list over HTTP."""

from datetime import timedelta

from mimosapoint.errors import VmListUnavailable
from mimosapoint.model import Vm
from mimosapoint.platform import VmListReply
from mimosapoint.ports import Telemetry

from mimosapoint_node.platform._client import CALL_TIMEOUT, CONNECT_TIMEOUT, HttpClient, make_path

__all__ = ["HttpVmList"]

VMS_PATH = make_path("vms")

NOT_MODIFIED = 304
"""HTTP status when the list still has the ETag in the request."""


class HttpVmList:
    """VM list at an HTTP address.

    :param address: ``IP:port`` of the service.
    :param telemetry: counts every call as ``vm_list_calls_total``.
    :param timeout: timeout of a call.
    :param connect_timeout: timeout for opening a connection.
    """

    def __init__(
        self,
        address: str,
        telemetry: Telemetry,
        timeout: timedelta = CALL_TIMEOUT,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
    ):
        self._address = address
        self._telemetry = telemetry
        self._cached_vms: tuple[Vm, ...] = ()
        self._etag: str | None = None
        self._client = HttpClient(
            VmListUnavailable,
            VmListUnavailable,
            timeout=timeout,
            connect_timeout=connect_timeout,
        )

    async def vms(self) -> tuple[Vm, ...]:
        """Return the VMs; an unchanged list is neither sent nor decoded again.

        :raises VmListUnavailable: the list cannot be read.
        """
        self._telemetry.count("vm_list_calls_total")
        headers = {"If-None-Match": self._etag} if self._etag else {}
        reply = await self._client.call(
            "GET", self._address, VMS_PATH, accepted=(200, NOT_MODIFIED), headers=headers
        )
        if reply.status != NOT_MODIFIED:
            self._cached_vms = self._client.decode_body(reply, VmListReply).vms
            self._etag = reply.headers.get(b"etag", b"").decode("latin-1") or None
        return self._cached_vms

    async def close(self) -> None:
        """Close all idle connections."""
        await self._client.close()
