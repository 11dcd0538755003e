"""Commands for a cell: its owner, queues, workers and jobs with several steps."""

from typing import Any

from fire.decorators import SetParseFn

from mimosapoint_cli._output import print_rows, print_yaml
from mimosapoint_cli._values import read_yaml_object
from mimosapoint_cli.client import segment
from mimosapoint_cli.errors import ExitCode, Refused
from mimosapoint_cli.session import Action, Session

__all__ = ["CellCommands"]

PATH = "/v1/cell"

NOT_OWNER_CODE = "not-cell-owner"


class CellCommands:
    """Inspect a cell and submit jobs with several steps to it."""

    def __init__(self, session: Session):
        self._session = session

    @SetParseFn(str)
    def status(self):
        """Show who owns the cell and what the asked node knows of it."""
        return Action(lambda: self._show(PATH, print_yaml))

    @SetParseFn(str)
    def queues(self):
        """Show what waits and runs in each queue."""
        return Action(lambda: self._show(f"{PATH}/queues", _print_table))

    @SetParseFn(str)
    def workers(self):
        """Show the workers, and why some take no new work."""
        return Action(lambda: self._show(f"{PATH}/workers", _print_table))

    @SetParseFn(str)
    def job(self, id):
        """Show a job's steps, and why what waits has not started."""
        return Action(lambda: self._show(f"{PATH}/jobs/{segment(id)}", _print_job))

    @SetParseFn(str)
    def phase(self, id):
        """Show the state of a job as its caller sees it; any node can reply."""
        return Action(lambda: self._show(f"{PATH}/jobs/{segment(id)}/phase", print_yaml))

    @SetParseFn(str)
    def submit(self, id, file):
        """Submit a job; repeating it with the same id is harmless.

        :param id: id of the job.
        :param file: YAML file with queue, steps and, for scheduled jobs, first, interval_seconds
            and occurrences.
        """
        return Action(lambda: self._submit(id, file))

    @SetParseFn(str)
    def where(self, file):
        """Show what would happen to a job now, without submitting it.

        :param file: YAML file as for ``submit``.
        """
        return Action(lambda: self._where(file))

    @SetParseFn(str)
    def cancel(self, id):
        """Cancel a job."""
        return Action(lambda: self._call("DELETE", f"{PATH}/jobs/{segment(id)}"))

    def _submit(self, id: str, file: str) -> None:
        self._call("PUT", f"{PATH}/jobs/{segment(id)}", read_yaml_object(file))

    def _where(self, file: str) -> ExitCode:
        body, client = read_yaml_object(file), self._session.client()
        try:
            value = client.call("POST", f"{PATH}/where/owner", body=body).value
        except Refused as refusal:
            if refusal.problem_code != NOT_OWNER_CODE:
                raise
            # None of the named servers is the owner; one of them knows the load summary.
            value = client.call("POST", f"{PATH}/where", body=body).value
        self._session.show(value, lambda: _print_where(value))
        return ExitCode.OK if value["admitted"] else ExitCode.REFUSED

    def _call(self, method: str, path: str, body: Any = None) -> None:
        value = self._session.client().call(method, path, body=body).value
        self._session.show(value, lambda: print_yaml(value))

    def _show(self, path: str, show: Any) -> None:
        value = self._session.client().call("GET", path).value
        self._session.show(value, lambda: show(value))


def _print_table(items: list[dict[str, Any]]) -> None:
    if not items:
        print("none")
        return
    headers = list(dict.fromkeys(key for item in items for key in item))
    print_rows(headers, [[item.get(header) for header in headers] for item in items])


def _print_job(item: dict[str, Any]) -> None:
    steps = item.pop("steps", [])
    print_yaml(item)
    for step in steps:
        counts = f"{step['done']} of {step['units']} done, {step['active']} active"
        print(f"step {step['occurrence']}.{step['step']}: {counts}")
        for reason, count in step["waiting"].items():
            print(f"  {count} wait: {reason}")


def _print_where(item: dict[str, Any]) -> None:
    preempted_units = item.pop("preempts", None)
    print_yaml(item)
    for unit in preempted_units or ():
        cost = unit["lost_core_seconds"]
        print(f"preempts {unit['unit']} of {unit['queue']}: {cost} core-seconds are lost")
