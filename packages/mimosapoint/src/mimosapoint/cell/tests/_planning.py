"""A cell of which one decision after another is made, without workers or a store."""

import unittest
from datetime import datetime, timedelta, timezone

from mimosapoint.cell.guarantees import covered_jobs
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.planner import Planner
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import CAPACITY, CATALOG, POOL
from mimosapoint.cell.worker_session import WorkerSession
from mimosapoint.ports import WorkerRegistration
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.workload import AcceptedJob

START = datetime(2026, 1, 1, tzinfo=timezone.utc)
QUEUES = ("urgent", "normal", "low")
RACK_SIZE = 3


class FixedClock:
    """A clock that tests move."""

    def __init__(self):
        self.time = START

    def now(self):
        return self.time


class PlannerCase(unittest.TestCase):
    def setUp(self):
        self.clock = FixedClock()
        self.book = CellJobTable(self.clock, MemoryTelemetry())
        self.planner = Planner()
        self.links = []
        self.runs = 0

    def add_workers(self, count):
        for number in range(count):
            rack = f"r{number // RACK_SIZE}"
            registration = WorkerRegistration(
                f"w{number}", "a:1", POOL, rack, rack, frozenset({"a", rack}), CAPACITY
            )
            link = WorkerSession(
                registration, 1, None, None, self.clock, CellSettings(), MemoryTelemetry()
            )
            self.links.append(link)

    def submit(self, job, queue, *steps, tenant="t"):
        record = AcceptedJob(
            job, QUEUES[queue], tenant, POOL, "", steps, queue, 3, 3.0, timedelta(seconds=1), START
        )
        self.book.add(record, len(self.book.jobs_by_id) + 1)

    def decide(self):
        """Carry a decision out at once and return it."""
        plan = self.planner.plan(
            self.book.waiting_by_id.values(),
            self.book.active_units(),
            self.links,
            CATALOG,
            self.clock.now(),
            covered_jobs(self.book.open_jobs(), CATALOG),
        )
        for stop in plan.stops:
            stop.unit.stop_reason = stop.reason
        for start in plan.starts:
            self.runs += 1
            self.book.activate(start.unit, self.runs)
            for task, link in zip(start.unit.tasks, start.sessions, strict=True):
                link.create_task_run(start.unit, task, self.runs)
        return plan

    def end(self, unit):
        """Take a unit's runs off their workers."""
        for assignment in list(unit.task_runs_by_task.values()):
            link = assignment.session
            del link.task_runs_by_key[assignment.task, assignment.run]
            link.used -= assignment.amounts
        unit.task_runs_by_task.clear()
        if unit.stop_reason:
            self.book.requeue(unit)
        else:
            self.book.finish_unit(unit)

    def started(self, plan):
        return [start.unit.id.job for start in plan.starts]

    def workers_of(self, plan, job):
        return [
            link.id for start in plan.starts if start.unit.id.job == job for link in start.sessions
        ]
