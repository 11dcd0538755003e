"""Tests of gangs that claim a guarantee and are accepted outside its zone, so they must move."""

import attrs
import trio

from mimosapoint.configuration import Guarantee
from mimosapoint.jobs import home_zone_of_job, make_job_id
from mimosapoint.model import Adjacency
from mimosapoint.node.tests._case import SiteCase
from mimosapoint.testing.caller import Caller
from mimosapoint.testing.site import TASK_SHAPE, MemorySite

GANG = 8
CLAIMS = 3
CLAIM_SECONDS = 30.0
"""Time within which a claim moves to the guarantee's zone and runs for one second."""

FILLER_SECONDS = 600.0
"""Run time of the job that occupies the zone that accepts the claims."""


def add_guarantee(site: MemorySite) -> None:
    """Guarantee one gang in zone b, which fills it, to the callers' workspace."""
    guarantee = Guarantee("g", GANG, TASK_SHAPE, Adjacency.WORKER, zones=("b",))
    workspace = attrs.evolve(site.configuration.workspaces_by_id["w"], guarantees=(guarantee,))
    site.configuration = attrs.evolve(site.configuration, workspaces_by_id={"w": workspace})


def keys_with_home_zone(zone: str) -> list[str]:
    """Return idempotency keys whose jobs have the zone as their home zone."""
    keys = (f"claim-{number}" for number in range(50))
    return [key for key in keys if home_zone_of_job(make_job_id("w", key, ("a", "b"))) == zone]


class ClaimsTest(SiteCase):
    async def test_one_claim_after_another_moves_when_the_zones_have_two_owners(self):
        await self.claim_repeatedly(nodes=2)

    async def test_one_claim_after_another_moves_when_the_zones_have_one_owner(self):
        await self.claim_repeatedly(nodes=1)

    async def claim_repeatedly(self, nodes: int) -> None:
        filler, *claims = keys_with_home_zone("a")
        async with trio.open_nursery() as nursery:
            site = MemorySite(nursery, nodes=nodes, workers=1)
            add_guarantee(site)
            await site.start_all()
            nursery.start_soon(self.claim, site, filler, FILLER_SECONDS)
            await trio.sleep(1)
            for key in claims[:CLAIMS]:
                call = await self.claim(site, key, 1.0)
                self.assertEqual(call.outcome, "succeeded", key)
                workers = {event.worker for event in self.starts(site, call.job)}
                self.assertEqual(workers, {"b-w0"}, key)
            nursery.cancel_scope.cancel()

    async def claim(self, site: MemorySite, key: str, seconds: float):
        """Submit a gang of the guarantee's shape and wait for its outcome."""
        return await Caller(site).submit_and_wait(
            key,
            seconds,
            timeout_seconds=CLAIM_SECONDS,
            gang=GANG,
            adjacency=Adjacency.WORKER,
            interruptible=False,
        )
