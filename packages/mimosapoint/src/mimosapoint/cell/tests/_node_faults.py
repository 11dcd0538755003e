"""Faults of the nodes of a cell in memory, and of the store."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from functools import partial

import trio

from mimosapoint.cell.tests._fault_registry import FaultRegistry
from mimosapoint.cell.tests._recorded_site import RecordedSite
from mimosapoint.cell.tests._site import SMALL
from mimosapoint.memory.run_worker import CRASH_DOWNTIME
from mimosapoint.workload import Step

__all__ = ["node_faults"]

node_faults = FaultRegistry()

LOST_REPLIES = 6
STOP_GRACE_SECONDS = 2.0

MIN_OUTAGE_SECONDS = 4.5
"""Shortest outage that ends with the loss of the owner; longer than the tasks of the pairs run."""

LAST_READ_SECONDS = 0.2
"""Time from the last reads in an outage to the loss of the owner, in seconds."""

MAX_RETURN_DELAY_SECONDS = 1.0
"""Longest time from the loss of the owner to the return of the store, in seconds."""


@node_faults.add("store refused")
async def refuse_store(site: RecordedSite, seconds: float) -> None:
    """Refuse every call to the store."""
    site.store.faults.refuse = True
    await trio.sleep(seconds)
    site.store.faults.refuse = False


@node_faults.add("store slow")
async def slow_store(site: RecordedSite, seconds: float) -> None:
    """Delay every call to the store."""
    site.store_delay_seconds = site.random.choice((0.2, 0.6))
    await trio.sleep(seconds)
    site.store_delay_seconds = 0.0


@node_faults.add("store silent for the owner")
async def silence_store(site: RecordedSite, seconds: float) -> None:
    """Leave the owner's calls to the store without reply."""
    node = site.any_owner
    node.store.fault = "silent"
    await trio.sleep(seconds)
    node.store.fault = ""


@node_faults.add("store refused for one node")
async def refuse_store_for_node(site: RecordedSite, seconds: float) -> None:
    """Refuse the calls of one node to the store."""
    node = site.random.choice(site.live_nodes)
    node.store.fault = "refused"
    await trio.sleep(seconds)
    node.store.fault = ""


@node_faults.add("lost replies of the store")
async def lose_replies(site: RecordedSite, seconds: float) -> None:
    """Lose replies of the store; commits without reply take effect at once or late."""
    site.store.lost_commit_delay = timedelta(seconds=site.random.choice((0.0, 0.7, 2.0)))
    site.store.faults.lose_replies += LOST_REPLIES
    await trio.sleep(seconds)
    site.store.faults.lose_replies = 0


@node_faults.add("history dropped")
async def drop_history(site: RecordedSite, seconds: float) -> None:
    """Drop the store's history of changes, twice."""
    site.store.compact_history()
    await trio.sleep(seconds)
    site.store.compact_history()


@node_faults.add("owner killed")
async def kill_owner(site: RecordedSite, seconds: float) -> None:
    """Kill the owner, and start a new node afterwards."""
    site.any_owner.kill()
    await trio.sleep(seconds)
    site.add_node()


@node_faults.add("owner stopped as planned")
async def stop_owner(site: RecordedSite, seconds: float) -> None:
    """Stop the owner as planned while it serves a slow call; a new node replaces it."""
    node = site.any_owner
    site.add_node()
    job = f"last{len(site.history.submissions)}"
    async with trio.open_nursery() as nursery:
        site.store_delay_seconds = 0.2
        nursery.start_soon(partial(site.call_submit, job, Step(1, SMALL), first_node=node))
        await trio.sleep(0.1)
        nursery.start_soon(site.stop_planned, node, seconds)
        await trio.sleep(0.2)
        site.store_delay_seconds = 0.0


@node_faults.add("outage, then the owner killed")
async def kill_owner_after_outage(site: RecordedSite, seconds: float) -> None:
    """Take the store away, at the end also the owner and workers, and start a new node."""
    with store_outage(site):
        await ask_until_end_of_outage(site, seconds)
        site.any_owner.kill()
        await crash_workers_before_return(site)
    await trio.sleep(CRASH_DOWNTIME.total_seconds())
    site.add_node()


@node_faults.add("outage, then the owner stopped as planned")
async def stop_owner_after_outage(site: RecordedSite, seconds: float) -> None:
    """Take the store away; at the end the owner stops, workers crash, and a new node starts."""
    async with trio.open_nursery() as nursery:
        with store_outage(site):
            await ask_until_end_of_outage(site, seconds)
            nursery.start_soon(site.stop_planned, site.any_owner, STOP_GRACE_SECONDS)
            await crash_workers_before_return(site)
    site.add_node()


@contextmanager
def store_outage(site: RecordedSite) -> Iterator[None]:
    """Refuse all calls to the store, or leave them without reply."""
    name = site.random.choice(("refuse", "frozen"))
    setattr(site.store.faults, name, True)
    yield
    setattr(site.store.faults, name, False)


async def ask_until_end_of_outage(site: RecordedSite, seconds: float) -> None:
    """Wait until jobs have ended, and let callers ask for all jobs shortly before the end."""
    await trio.sleep(max(seconds, MIN_OUTAGE_SECONDS) - LAST_READ_SECONDS)
    for job in {submission.job: None for submission in site.history.submissions}:
        site.nursery.start_soon(site.call_phase, job)
    await trio.sleep(LAST_READ_SECONDS)


async def crash_workers_before_return(site: RecordedSite) -> None:
    """Let workers crash, and wait for the store to return up to a second later."""
    await trio.sleep(site.random.uniform(0, MAX_RETURN_DELAY_SECONDS / 2))
    for worker in site.choose_workers():
        site.nursery.start_soon(site.crash_worker, worker)
    await trio.sleep(site.random.uniform(0, MAX_RETURN_DELAY_SECONDS / 2))


@node_faults.add("owner suspended")
async def suspend_owner(site: RecordedSite, seconds: float) -> None:
    """Suspend the calls of the owner and their replies, while its clock advances."""
    control = site.freeze_controls_by_node[site.any_owner.name]
    control.freeze()
    await trio.sleep(seconds)
    control.thaw()


@node_faults.add("nodes without peers")
async def cut_off_peers(site: RecordedSite, seconds: float) -> None:
    """Let no node open a stream to another one."""
    transports = dict(site.network.transports_by_address)
    site.network.transports_by_address.clear()
    await trio.sleep(seconds)
    site.network.transports_by_address.update(transports)
