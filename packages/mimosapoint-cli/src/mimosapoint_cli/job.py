"""Commands for callers: jobs and their outcomes."""

import sys
from typing import Any
from uuid import uuid4

from fire.decorators import SetParseFn

from mimosapoint_cli._job_flags import job_body
from mimosapoint_cli._output import print_json, print_rows
from mimosapoint_cli._values import seconds
from mimosapoint_cli.client import Client, Reply, segment
from mimosapoint_cli.errors import ExitCode, Unreachable, UsageError, WaitOver
from mimosapoint_cli.session import Action, Session

__all__ = ["JobCommands"]

MAX_POLL_SECONDS = 20.0
"""Maximum wait of one request, in seconds."""

ENDED_STATUS = 200
COLUMNS = ("id", "state", "class", "service", "zone", "submitted_at", "outcome")


class JobCommands:
    """Submit jobs and get their answers."""

    def __init__(self, session: Session):
        self._session = session

    @SetParseFn(str)
    def submit(
        self,
        file=None,
        workspace=None,
        service=None,
        job_class=None,
        gang=None,
        slots=None,
        cores=None,
        memory_gib=None,
        accelerators=None,
        adjacency=None,
        zones=None,
        run_time=None,
        repeatable=None,
        interruptible=None,
        start_by=None,
        finish_by=None,
        payload=None,
        key=None,
        wait="0",
    ):
        """Submit a job; the idempotency key is printed before the request is sent.

        :param file: YAML file with the fields of the request; flags override it.
        :param zones: availability zones, separated by commas.
        :param run_time: declared run time in seconds.
        :param payload: JSON value.
        :param key: idempotency key; random by default.
        :param wait: seconds to wait for the answer.
        """
        flags = {
            "service": service,
            "class": job_class,
            "gang": gang,
            "slots": slots,
            "cores": cores,
            "memory_gib": memory_gib,
            "accelerators": accelerators,
            "adjacency": adjacency,
            "zones": zones,
            "run_time": run_time,
            "repeatable": repeatable,
            "interruptible": interruptible,
            "start_by": start_by,
            "finish_by": finish_by,
            "payload": payload,
        }
        return Action(lambda: self._submit(file, workspace, flags, key, wait))

    @SetParseFn(str)
    def status(self, id, workspace=None):
        """Show a job."""
        return Action(lambda: self._status(id, workspace))

    @SetParseFn(str)
    def answer(self, id, workspace=None, wait="0"):
        """Show the answer of a job; wait for it at most WAIT seconds."""
        return Action(lambda: self._answer(id, workspace, wait))

    @SetParseFn(str)
    def cancel(self, id, workspace=None):
        """Cancel a job."""
        return Action(lambda: self._cancel(id, workspace))

    @SetParseFn(str)
    def list(self, workspace=None):
        """List the jobs of a workspace, oldest first."""
        return Action(lambda: self._list(workspace))

    def _submit(self, file, workspace, flags, key, wait) -> ExitCode:
        seconds_left = seconds("wait", wait)
        body = job_body(file, flags)
        if workspace or "workspace" not in body:
            body["workspace"] = self._session.workspace(workspace)
        key = uuid4().hex if key is None else _validated_key(key)
        client = self._session.client(str(body["workspace"]))
        print(f"idempotency-key: {key}", file=sys.stderr)
        reply = _submit_with_key(client, body, key)
        if not seconds_left:
            self._show(reply.value)
            return ExitCode.OK
        return self._wait(client, reply.value["id"], seconds_left)

    def _status(self, id: str, workspace: str | None) -> None:
        client = self._session.client(self._session.workspace(workspace))
        self._show(client.call("GET", f"/v1/jobs/{segment(id)}").value)

    def _answer(self, id: str, workspace: str | None, wait: str) -> ExitCode:
        seconds_left = seconds("wait", wait)
        client = self._session.client(self._session.workspace(workspace))
        return self._wait(client, id, seconds_left)

    def _cancel(self, id: str, workspace: str | None) -> None:
        client = self._session.client(self._session.workspace(workspace))
        self._show(client.call("DELETE", f"/v1/jobs/{segment(id)}").value)

    def _list(self, workspace: str | None) -> None:
        client = self._session.client(self._session.workspace(workspace))
        jobs = client.call("GET", "/v1/jobs").value["jobs"]
        self._session.show(jobs, lambda: print_rows(COLUMNS, [_row(job) for job in jobs]))

    def _wait(self, client: Client, id: str, seconds_left: float) -> ExitCode:
        """Request the outcome until the job has ended or the wait is over."""
        while True:
            wait = min(seconds_left, MAX_POLL_SECONDS)
            path = f"/v1/jobs/{segment(id)}/answer"
            reply = client.call("GET", path, query={"wait": f"{wait:.3f}"}, wait=wait)
            seconds_left -= wait
            if reply.status == ENDED_STATUS:
                self._show(reply.value)
                return _exit_code(reply.value)
            if seconds_left <= 0:
                self._show(reply.value)
                raise WaitOver(f"job {id} has not ended yet")

    def _show(self, job: dict[str, Any]) -> None:
        self._session.show(job, lambda: _print_job(job))


def _submit_with_key(client: Client, body: dict[str, Any], key: str) -> Reply:
    try:
        return client.call("POST", "/v1/jobs", body=body, headers={"Idempotency-Key": key})
    except Unreachable as error:
        hint = f"the job may have been accepted; repeat with --key {key}"
        raise Unreachable(error.detail, (hint,)) from error


def _validated_key(key: str) -> str:
    if not (key.isascii() and key.isprintable() and key.strip()):
        raise UsageError("--key: not printable characters")
    return key


def _exit_code(job: dict[str, Any]) -> ExitCode:
    succeeded = job["outcome"]["outcome"] == "succeeded"
    return ExitCode.OK if succeeded else ExitCode.JOB_FAILED


def _row(job: dict[str, Any]) -> list[Any]:
    outcome = job["outcome"]["outcome"] if job["outcome"] else None
    return [*(job[column] for column in COLUMNS[:-1]), outcome]


def _print_job(job: dict[str, Any]) -> None:
    outcome = job["outcome"] or {}
    rows = [(key, value) for key, value in job.items() if key != "outcome"]
    rows += [(key, value) for key, value in outcome.items() if key != "parts"]
    print_rows(("field", "value"), rows)
    for part in outcome.get("parts", ()):
        print_json(part)
