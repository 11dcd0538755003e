"""Orders to one worker: starts and stops of runs."""

from __future__ import annotations

from math import inf

import trio

from mimosapoint.cell.decisions.units import TaskRun
from mimosapoint.cell.session_owner import SessionOwner
from mimosapoint.cell.session_state import SessionState
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.worker_lease import WorkerLease
from mimosapoint.errors import StaleEpoch, WorkerRefused, WorkerUnreachable
from mimosapoint.ports import (
    Clock,
    RunWorkers,
    StartOrder,
    StartRefused,
    StopOrder,
    Telemetry,
    WorkerReplaced,
)
from mimosapoint.workload import AcceptedJob, RunEnd

__all__ = ["WorkerOrders"]


class WorkerOrders:
    """Sends the orders of an owner to one worker.

    :param session: the session with the worker.
    :param lease: lease of the worker.
    :param workers: port to the workers.
    :param owner: checks whether an order may be sent.
    :param clock: clock of the owner.
    :param settings: settings of the cell.
    :param telemetry: logs and metrics.
    """

    def __init__(
        self,
        session: SessionState,
        lease: WorkerLease,
        workers: RunWorkers,
        owner: SessionOwner,
        clock: Clock,
        settings: CellSettings,
        telemetry: Telemetry,
    ):
        self._session = session
        self._lease = lease
        self._workers = workers
        self._owner = owner
        self._clock = clock
        self._settings = settings
        self._telemetry = telemetry
        self._starts_in_flight = 0
        self._start_answered = trio.Event()

    @property
    def has_unanswered_start(self) -> bool:
        """Whether the worker may have a run of which this owner has no reply and no report."""
        return self._starts_in_flight > 0 or any(
            task_run.not_after_ms is not None and task_run.confirmed_ms is None
            for task_run in self._session.task_runs_by_key.values()
        )

    async def wait_answered(self) -> None:
        """Wait until no start is unanswered, though not longer than for a repeated renewal."""
        with trio.move_on_after(self._settings.retry_delay.total_seconds()):
            while self.has_unanswered_start:
                await self._start_answered.wait()

    async def start(self, task_run: TaskRun, job: AcceptedJob, checkpoint: str) -> None:
        """Order a start; the worker's next run reports resolve an unknown outcome.

        An unanswered order is repeated within the start window, as the order or its reply may be
        lost. The worker does not start a run again that it already has. A process that is
        short of CPU time does not repeat the order.
        """
        if not self._may_order_start(task_run):
            self._session.end_task_run(task_run, RunEnd.REFUSED, reason="not-sent")
            return
        task_run.not_after_ms = self._lease.extend_for_start(self._owner.valid_until)
        sent_at_ms = self._lease.clock_ms
        order = StartOrder(
            task_run.task,
            task_run.run,
            job,
            self._session.tokens.for_start(),
            task_run.not_after_ms,
            checkpoint,
        )
        self._starts_in_flight += 1
        try:
            clock_ms = await self._send_start(order, task_run)
            if clock_ms < sent_at_ms:
                # Its first run report, under a raised token, shows whether it has the run.
                raise WorkerUnreachable("a new incarnation replied")
            task_run.confirm(clock_ms, self._clock.now())
            self._owner.on_run_confirmed(task_run)
        except StartRefused as refusal:
            self._handle_refusal(task_run, refusal.reason)
        except WorkerReplaced:
            self._session.end_task_run(task_run, RunEnd.REFUSED, reason="replaced")
        except WorkerRefused:
            self._session.end_task_run(task_run, RunEnd.REFUSED, reason="not-sent")
        except (WorkerUnreachable, StaleEpoch) as error:
            self._telemetry.event(
                "start-unanswered",
                **task_run.log_fields(),
                error=error.code,
                detail=str(error),
            )
            if isinstance(error, WorkerUnreachable):
                self._lease.record_unanswered_start()
                self._session.disturbances.record("unanswered-start")
        except Exception as error:
            self._session.record_unexpected("start", error)
        finally:
            self._starts_in_flight -= 1
            self._start_answered.set()
            self._start_answered = trio.Event()

    def _may_order_start(self, task_run: TaskRun) -> bool:
        return (
            self._owner.may_start_on(self._session.worker)
            and self._session.synced
            and self._session.worker.has(task_run)
            and not self._session.worker.is_over_capacity
            and not task_run.stopping
        )

    async def _send_start(self, order: StartOrder, task_run: TaskRun) -> int:
        """Send a start, and repeat it while it is unanswered and another one can be in time."""
        if not self._owner.has_spare_cpu():
            return await self._workers.start(self._session.registration, order)
        with trio.move_on_after(self._settings.start_retry_after.total_seconds()):
            return await self._workers.start(self._session.registration, order)
        attempts = max(3, self._settings.start_window // self._settings.start_retry_after)
        for attempt in range(2, attempts):
            if not self._may_order_start(task_run):
                raise WorkerUnreachable("not repeated, as it may no longer be ordered")
            self._telemetry.count("cell_starts_repeated")
            # The last attempt may wait longer: its reply tells whether the run exists.
            is_last = attempt == attempts - 1
            timeout = inf if is_last else self._settings.start_retry_after.total_seconds()
            try:
                with trio.move_on_after(timeout):
                    return await self._workers.start(self._session.registration, order)
            except (StartRefused, WorkerRefused) as refusal:
                # An earlier order may have had its effect; its run may go on or have ended since.
                raise WorkerUnreachable(f"refused when repeated: {refusal.detail}") from refusal
        raise WorkerUnreachable("no reply to a start")

    async def stop(self, task_run: TaskRun) -> None:
        """Repeat a stop order until the run is no longer on the worker.

        ``stop-unanswered`` is logged for refusals too.
        """
        while self._session.worker.has(task_run):
            if self._owner.holds_ownership():
                order = StopOrder(task_run.task, task_run.run, self._session.tokens.current)
                try:
                    await self._workers.stop(self._session.registration, order)
                except (WorkerUnreachable, WorkerRefused, StaleEpoch, WorkerReplaced) as error:
                    self._telemetry.event(
                        "stop-unanswered", **task_run.log_fields(), error=error.code
                    )
                    # A start that raised the token has overtaken the stop.
                    is_overtaken = order.token != self._session.tokens.current
                    if isinstance(error, StaleEpoch) and is_overtaken:
                        continue
                except Exception as error:
                    self._session.record_unexpected("stop", error)
            await trio.sleep(self._settings.order_timeout.total_seconds())

    def _handle_refusal(self, task_run: TaskRun, reason: str) -> None:
        if reason == "unhealthy":
            self._session.refusing_until = self._clock.now() + self._settings.refusal_backoff
        if reason in ("unhealthy", "late"):
            self._session.disturbances.record("refusal")
        self._session.end_task_run(task_run, RunEnd.REFUSED, reason=reason)
        self._owner.request_decision()
