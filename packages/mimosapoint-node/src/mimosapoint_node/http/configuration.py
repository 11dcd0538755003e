"""Routes for operators: the configuration, its patches and the status."""

import attrs
from mimosapoint.codec import to_value
from mimosapoint.configuration import Patch, PatchStatus
from mimosapoint.errors import BadRequest, ConfigurationInvalid

from mimosapoint_node.http._patch_body import read_patch
from mimosapoint_node.http.context import Context
from mimosapoint_node.http.message import Reply, Request, json_reply
from mimosapoint_node.http.routing import route

__all__ = ["configuration", "history", "patch", "patch_status", "status"]

VERSION_DIGITS = 15
"""Longest version number of a query, in digits."""


@route("GET", "/v1/configuration")
async def configuration(context: Context, request: Request) -> Reply:
    """Return the configuration in force, or an earlier version."""
    request.allow_query("version")
    await _check_operator(context, request)
    version = _read_version(request.query.get("version"))
    return json_reply(to_value(await context.operators.configuration(version)))


@route("POST", "/v1/configuration/patches")
async def patch(context: Context, request: Request) -> Reply:
    """Apply a patch; the same id gets the same verdict."""
    request.allow_query()
    await _check_operator(context, request)
    wanted: Patch = read_patch(request.body)
    verdict = await context.operators.patch(wanted)
    if not verdict.accepted:
        raise ConfigurationInvalid("the patch was rejected", reasons=verdict.reasons)
    return _status_reply(verdict)


@route("GET", "/v1/configuration/patches")
async def history(context: Context, request: Request) -> Reply:
    """Return the verdicts that are kept, oldest first."""
    request.allow_query()
    await _check_operator(context, request)
    verdicts = context.operators.history()
    return json_reply({"patches": [attrs.asdict(verdict) for verdict in verdicts]})


@route("GET", "/v1/configuration/patches/{id}")
async def patch_status(context: Context, request: Request) -> Reply:
    """Return a patch's verdict and the nodes that have it in force."""
    request.allow_query()
    await _check_operator(context, request)
    return _status_reply(await context.operators.patch_status(request.parameters["id"]))


@route("GET", "/v1/status")
async def status(context: Context, request: Request) -> Reply:
    """Return what this node knows of the system."""
    request.allow_query()
    await _check_operator(context, request)
    return json_reply(await context.operators.status())


async def _check_operator(context: Context, request: Request) -> None:
    caller = await context.authenticator.caller(request)
    caller.require_operator()


def _read_version(text: str | None) -> int | None:
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= VERSION_DIGITS):
        raise BadRequest("?version: not a version number")
    return int(text)


def _status_reply(verdict: PatchStatus) -> Reply:
    return json_reply(attrs.asdict(verdict))
