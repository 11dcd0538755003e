"""Routes for callers: jobs and their outcomes."""

from datetime import timedelta

from mimosapoint.errors import MimosapointError
from mimosapoint.model import JobView

from mimosapoint_node.http._disconnect import unless_disconnected
from mimosapoint_node.http._job_body import job_value, read_job_request, read_wait
from mimosapoint_node.http.context import Context
from mimosapoint_node.http.message import Reply, Request, json_reply
from mimosapoint_node.http.routing import route

__all__ = ["answer", "cancel", "job", "jobs", "submit"]


@route("POST", "/v1/jobs")
async def submit(context: Context, request: Request) -> Reply:
    """Accept a job and, when a wait is requested, wait for its outcome."""
    request.allow_query("wait", "workspace")
    wait = _requested_wait(context, request)
    caller = await context.authenticator.caller(request)
    job_request = read_job_request(request.body, request.headers.get("idempotency-key"))
    caller.check_submit(job_request.workspace, job_request.service)
    if not wait:
        return _job_reply(await context.jobs.submit(job_request, request.trace))
    with context.waiting.enter():
        view = await context.jobs.submit(job_request, request.trace)
        return _job_reply(await _wait_for_outcome(context, request, view, wait))


@route("GET", "/v1/jobs/{id}")
async def job(context: Context, request: Request) -> Reply:
    """Return a job of the caller's workspace."""
    request.allow_query("workspace")
    workspace = await _caller_workspace(context, request)
    return json_reply(job_value(await context.jobs.job(workspace, request.parameters["id"])))


@route("GET", "/v1/jobs/{id}/answer")
async def answer(context: Context, request: Request) -> Reply:
    """Return the job as soon as it has ended, or its current state after the wait."""
    request.allow_query("wait", "workspace")
    wait = _requested_wait(context, request)
    workspace = await _caller_workspace(context, request)
    job_id = request.parameters["id"]
    if not wait:
        return _job_reply(await context.jobs.wait_for_outcome(workspace, job_id, wait))
    with context.waiting.enter():
        view = await unless_disconnected(
            request, lambda: context.jobs.wait_for_outcome(workspace, job_id, wait)
        )
        return _job_reply(view)


@route("DELETE", "/v1/jobs/{id}")
async def cancel(context: Context, request: Request) -> Reply:
    """Cancel a job of the caller's workspace."""
    request.allow_query("workspace")
    workspace = await _caller_workspace(context, request)
    return _job_reply(await context.jobs.cancel(workspace, request.parameters["id"]))


@route("GET", "/v1/jobs")
async def jobs(context: Context, request: Request) -> Reply:
    """Return the jobs of the caller's workspace, oldest first."""
    request.allow_query("workspace")
    workspace = await _caller_workspace(context, request)
    views = await context.jobs.jobs(workspace)
    return json_reply({"jobs": [job_value(view) for view in views]})


async def _wait_for_outcome(
    context: Context, request: Request, view: JobView, wait: timedelta
) -> JobView:
    """Wait for the outcome of an accepted job.

    When waiting fails, return the job as accepted, so that the caller learns of its acceptance.
    """
    if view.outcome is not None:
        return view
    try:
        return await unless_disconnected(
            request, lambda: context.jobs.wait_for_outcome(view.workspace, view.id, wait)
        )
    except MimosapointError as error:
        context.telemetry.event("answer-wait-failed", job=view.id, code=error.code)
        return view


def _requested_wait(context: Context, request: Request) -> timedelta:
    max_wait = context.limits.max_wait.total_seconds()
    return timedelta(seconds=read_wait(request.query.get("wait"), max_wait))


async def _caller_workspace(context: Context, request: Request) -> str:
    caller = await context.authenticator.caller(request)
    return caller.require_workspace()


def _job_reply(view: JobView) -> Reply:
    """Return a reply with status 200 for an ended job and 202 for any other."""
    return json_reply(job_value(view), 202 if view.outcome is None else 200)
