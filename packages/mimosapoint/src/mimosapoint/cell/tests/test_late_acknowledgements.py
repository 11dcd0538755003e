"""Tests of acknowledgements of ends that are carried out late, perhaps by another incarnation."""

from contextlib import suppress
from datetime import timedelta
from random import Random

import attrs
import trio

from mimosapoint.cell.order_token import MAX_START_GENERATION, OrderTokens
from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.errors import StaleEpoch, WorkerUnreachable
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, RunEnd, Step

SEEDS = range(8)
ROUNDS = 10
ROUNDS_WITH_LOST_OWNER = (3, 6)


def delay_acknowledgements(site, worker, random, dropped):
    """Let half of the acknowledgements arrive late, and record the ends that are dropped unseen."""
    renew, seen = worker.renew_lease, set()

    async def carry_out(order):
        if order.token >= worker.token:
            forgotten = [end for end in worker.ended if end.number <= order.acknowledged]
            dropped.extend(end for end in forgotten if (worker.born, end.number) not in seen)
        return await renew(order)

    async def carry_out_late(order):
        await trio.sleep(random.uniform(0, 3))
        with suppress(StaleEpoch):
            await carry_out(attrs.evolve(order, wait=timedelta(0)))

    async def renew_lease(order):
        if order.acknowledged and random.random() < 0.5:
            site.nursery.start_soon(carry_out_late, order)
            await trio.sleep(0.8)
            raise WorkerUnreachable("no reply")
        report = await carry_out(order)
        seen.update((report.born, end.number) for end in report.ended)
        return report

    worker.renew_lease = renew_lease


class LateAcknowledgementTest(TrioTestCase):
    mock_clock = True

    async def run_jobs(self, site, workers, random):
        """Run short jobs while workers restart and owners are lost."""
        for number in range(ROUNDS):
            site.simulation.run_time = timedelta(seconds=random.uniform(0.02, 0.4))
            await site.submit(f"a{number}", Step(random.choice((1, 3)), SMALL))
            await trio.sleep(random.uniform(0, 0.5))
            worker = random.choice(workers)
            worker.restart(worker.born + 1)
            if number in ROUNDS_WITH_LOST_OWNER:
                site.owner.kill()
                await trio.sleep(2)
            await site.submit(f"b{number}", Step(1, SMALL))
            await trio.sleep(random.uniform(0, 1.5))
        # A job under which both workers have restarted may fail.
        jobs = [f"{kind}{number}" for kind in "ab" for number in range(ROUNDS)]
        with trio.fail_after(30):
            while not all(site.phase(job).ended for job in jobs):
                await trio.sleep(0.1)

    # Guards against an incarnation that forgets an end that no owner has seen, as a late
    # acknowledgement was meant for the incarnation before.
    async def test_no_late_acknowledgement_drops_an_end_that_no_owner_has_seen(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                random, dropped = Random(seed), []
                async with open_site(nodes=5, workers=2) as site:
                    workers = list(site.simulation.workers_by_id.values())
                    for worker in workers:
                        delay_acknowledgements(site, worker, random, dropped)
                    await self.run_jobs(site, workers, random)
                    self.assertEqual([], dropped)
                    self.assertEqual([], site.violations())

    # Guards against the same where the start that brings the run is the one that is late.
    async def test_no_end_is_acknowledged_while_a_start_is_unanswered(self):
        async with open_site(nodes=2, workers=1) as site:
            worker = site.simulation.workers_by_id["w0"]
            faults = site.workers.network_faults_by_address[worker.registration.address]
            site.simulation.run_time = timedelta(milliseconds=300)
            await site.submit("a", Step(1, SMALL))
            await site.wait_running("a")
            faults.start_delay = timedelta(milliseconds=700)
            await site.submit("b", Step(1, SMALL))
            with trio.fail_after(2):
                while not site.runs("b"):
                    self.assertEqual(0, worker.acknowledged)
                    await trio.sleep(0.01)
            self.assertEqual([RunEnd.DONE], [run.end for run in site.runs("a")])
            faults.start_delay = None
            await site.wait_phase("b", Phase.COMPLETE)
            await trio.sleep(1)
            self.assertEqual(2, worker.acknowledged)

    # Guards against a stop that waits for its repetition, as a start has raised the token.
    async def test_a_stop_that_a_start_overtakes_is_repeated_at_once(self):
        async with open_site(nodes=2, workers=1) as site:
            worker = site.simulation.workers_by_id["w0"]
            tokens = site.owner.cell.owner.fleet.sessions_by_id["w0"].tokens
            stop = worker.stop

            def stop_late(order):
                worker.stop = stop
                tokens.advance()
                worker.token = tokens.current
                stop(order)

            worker.stop = stop_late
            await site.submit("a", Step(1, SMALL))
            await site.wait_running("a")
            await site.other.cell.gateway.cancel("t", "a")
            await trio.sleep(0.6)
            self.assertEqual([RunEnd.STOPPED], [run.end for run in site.runs("a")])

    # Guards against tokens of one epoch that reach into the next one.
    def test_the_starts_of_a_long_ownership_leave_generations_for_restarts(self):
        tokens = OrderTokens(1, MAX_START_GENERATION)
        tokens.record_acknowledgement()
        self.assertEqual(tokens.current, tokens.for_start())
