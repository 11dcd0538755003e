"""Routes for operators: configuration, patches and status."""

import attrs
from mimosapoint.codec import to_value
from mimosapoint.configuration import Patch, PatchStatus
from mimosapoint.errors import BadRequest, ConfigurationInvalid

from mimosapoint_node.http._patch_body import read_patch
from mimosapoint_node.http.context import Context
from mimosapoint_node.http.message import Reply, Request, json_reply
from mimosapoint_node.http.routing import route

__all__ = ["configuration", "history", "patch", "patch_status", "status"]

MAX_VERSION_DIGITS = 15
"""Maximum number of digits of a version in a query."""


@route("GET", "/v1/configuration")
async def configuration(context: Context, request: Request) -> Reply:
    """Return the configuration in force or an earlier version."""
    request.allow_query("version")
    await _check_operator(context, request)
    version = _read_version(request.query.get("version"))
    return json_reply(to_value(await context.operators.configuration(version)))


@route("POST", "/v1/configuration/patches")
async def patch(context: Context, request: Request) -> Reply:
    """Apply a patch; a repeated id returns the result of the first call."""
    request.allow_query()
    await _check_operator(context, request)
    requested_patch: Patch = read_patch(request.body)
    result = await context.operators.patch(requested_patch)
    if not result.accepted:
        raise ConfigurationInvalid("the patch was rejected", reasons=result.reasons)
    return _status_reply(result)


@route("GET", "/v1/configuration/patches")
async def history(context: Context, request: Request) -> Reply:
    """Return the retained results of patches, oldest first."""
    request.allow_query()
    await _check_operator(context, request)
    results = context.operators.patch_history()
    return json_reply({"patches": [attrs.asdict(result) for result in results]})


@route("GET", "/v1/configuration/patches/{id}")
async def patch_status(context: Context, request: Request) -> Reply:
    """Return the result of a patch and the nodes on which it is in force."""
    request.allow_query()
    await _check_operator(context, request)
    return _status_reply(await context.operators.patch_status(request.parameters["id"]))


@route("GET", "/v1/status")
async def status(context: Context, request: Request) -> Reply:
    """Return the state of the system as this node knows it."""
    request.allow_query()
    await _check_operator(context, request)
    return json_reply(await context.operators.status())


async def _check_operator(context: Context, request: Request) -> None:
    caller = await context.authenticator.caller(request)
    caller.require_operator()


def _read_version(text: str | None) -> int | None:
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_VERSION_DIGITS):
        raise BadRequest("?version: not a version number")
    return int(text)


def _status_reply(result: PatchStatus) -> Reply:
    return json_reply(attrs.asdict(result))
