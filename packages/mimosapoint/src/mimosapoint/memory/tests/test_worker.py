"""Tests of the simulated worker beyond the contract tests of its port."""

from datetime import timedelta

from mimosapoint.errors import WorkerRefused
from mimosapoint.memory import MemoryWorker, TrioClock
from mimosapoint.memory._task_table import TOMBSTONE_LIMIT
from mimosapoint.model import (
    CollectRequest,
    LeaseRequest,
    ReserveRequest,
    Resources,
    StartRequest,
    StopMode,
    StopRequest,
    TaskSpec,
    TaskState,
)
from mimosapoint.testing import TrioTestCase

CAPACITY = Resources(8, 128, 256, 8)
COMPOSE = {"kind": "compose", "screens": ["lobby", "gate", "ministry"], "text": "Storm"}
PLAN = {
    "kind": "plan",
    "stands": ["A1"],
    "flights": [
        {"id": "MH1", "arrives": 0, "departs": 10},
        {"id": "MH2", "arrives": 5, "departs": 20},
        {"id": "MH3", "arrives": 10, "departs": 30},
    ],
}


def spec(task_id: str, payload: object, index: int = 0, gang: int = 1) -> TaskSpec:
    return TaskSpec(task_id, "bulletins", "desk", Resources(), index, gang, payload)


class SimulatedWorkerTest(TrioTestCase):
    mock_clock = True

    async def run_payload(self, payload, index=0, gang=1):
        clock = TrioClock()
        worker = MemoryWorker("w1", CAPACITY, clock)
        worker.lease(LeaseRequest("n1", "z1", 1, 60.0))
        worker.reserve(ReserveRequest(1, (spec("j/1/0", payload, index, gang),), 5.0))
        worker.start(StartRequest(1, ("j/1/0",)))
        await clock.sleep(timedelta(seconds=1))
        (output,) = worker.collect(CollectRequest(1, ("j/1/0",)))
        return output

    async def test_a_worker_remembers_a_bounded_number_of_ids(self):
        worker = MemoryWorker("w1", CAPACITY, TrioClock())
        worker.lease(LeaseRequest("n1", "z1", 1, 60.0))
        ids = tuple(f"t{number}" for number in range(TOMBSTONE_LIMIT + 1))
        worker.stop(StopRequest(1, ids))
        worker.reserve(ReserveRequest(1, (spec(ids[0], None),), 5.0))
        with self.assertRaises(WorkerRefused):
            worker.reserve(ReserveRequest(1, (spec(ids[1], None),), 5.0))

    async def test_a_checkpoint_takes_its_duration_unless_it_is_discarded(self):
        cases = ((StopMode.CHECKPOINT, 2.0, True), (StopMode.DISCARD, 0.0, False))
        for second_mode, progress, has_checkpoint in cases:
            with self.subTest(second_mode=second_mode):
                clock = TrioClock()
                worker = MemoryWorker("w1", CAPACITY, clock, checkpoint_time=timedelta(seconds=2))
                worker.lease(LeaseRequest("n1", "z1", 1, 60.0))
                worker.reserve(ReserveRequest(1, (spec("t", {"seconds": 50}),), 5.0))
                worker.start(StartRequest(1, ("t",)))
                report = worker.stop(StopRequest(1, ("t",), StopMode.CHECKPOINT))
                self.assertIs(report.tasks[0].state, TaskState.RUNNING)
                await clock.sleep(timedelta(seconds=1))
                worker.stop(StopRequest(1, ("t",), second_mode))
                await clock.sleep(timedelta(seconds=1))
                (task,) = worker.stop(StopRequest(1, ("t",))).tasks
                self.assertIs(task.state, TaskState.STOPPED)
                self.assertAlmostEqual(task.progress, progress)
                self.assertEqual(task.checkpoint is not None, has_checkpoint)

    async def test_compose_splits_the_screens_over_the_gang(self):
        shares = [await self.run_payload(COMPOSE, index, 2) for index in range(2)]
        screens = [[frame["screen"] for frame in share.output["frames"]] for share in shares]
        self.assertEqual(screens, [["lobby", "ministry"], ["gate"]])
        self.assertIn("Storm", shares[0].output["frames"][0]["lines"][1])

    async def test_plan_assigns_no_stand_twice_at_one_time(self):
        output = (await self.run_payload(PLAN)).output
        assigned = [(a["flight"], a["stand"]) for a in output["assignments"]]
        self.assertEqual(assigned, [("MH1", "A1"), ("MH3", "A1")])
        self.assertEqual(output["unassigned"], ["MH2"])

    async def test_invalid_payloads_fail_with_a_detail(self):
        deep = []
        for _ in range(400):
            deep = [deep]
        cases = (
            {"kind": "echo", "value": deep},
            {"kind": "compose", "screens": [7], "text": "x"},
            {"kind": "plan", "flights": [{}], "stands": ["A1"]},
            None,
            7,
            {},
            {"kind": "none"},
            {"kind": ["x"]},
            {"kind": "compose"},
            {"kind": "fail"},
        )
        for payload in cases:
            with self.subTest(payload=payload):
                output = await self.run_payload(payload)
                self.assertIs(output.state, TaskState.FAILED)
                self.assertTrue(output.detail)
