"""Random schedule of the faults of a run."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import trio

from tools.soak.changes import GROWTH
from tools.soak.cut_faults import CUTS, UNSEEN_FAULTS
from tools.soak.deployment import phases_of
from tools.soak.deployment_faults import PLANNED_DEPLOYMENT_FAULTS
from tools.soak.faults import OUTAGE_FAULTS, fault_names, faults_by_name
from tools.soak.site import SoakSite

__all__ = ["inject", "inject_cuts", "inject_faults", "inject_phases"]

PLANNED_FAULTS = frozenset(
    ("change-cap", "replace-key", "rolling-stop", "stop-node", *PLANNED_DEPLOYMENT_FAULTS)
)
"""Planned work, around which no request may be cut that was read."""

SERIES_LENGTHS = (1, 1, 2, 3, 4)
SERIES_GAP_SECONDS = 0.4
OUTAGE_GAP_SECONDS = (1.0, 7.0)
"""Time from the begin of an outage in which the owner is lost to the next; they may overlap."""

CUT_GAP_SECONDS = (0.5, 3.0)
CUT_SERIES_SECONDS = 6.0


async def inject_cuts(site: SoakSite, random: Random, injected: list[str]) -> None:
    """Put workers out of sight of a new owner, and return once all faults are over.

    Four seeds of eight have a series of cuts beside that, which often hide it.

    :param injected: receives the names of the faults.
    """
    async with trio.open_nursery() as nursery:

        def start(name: str) -> None:
            injected.append(name)
            nursery.start_soon(inject, site, name, Random(random.random()))

        start(UNSEEN_FAULTS[site.profile.seed // 2 % len(UNSEEN_FAULTS)])
        with trio.move_on_after(CUT_SERIES_SECONDS):
            while site.profile.seed & 4:
                await trio.sleep(random.uniform(*CUT_GAP_SECONDS))
                start(random.choice(CUTS))


async def inject_faults(
    site: SoakSite, random: Random, seconds: float, injected: list[str]
) -> None:
    """Start faults for some seconds, and return once all are cleared.

    Seeds with changes begin with a growth of the configuration, and start faults in series while
    others are in force. Seeds with outages also start a series of outages in which the owner is
    lost.

    :param injected: receives the names of the faults.
    """
    names = fault_names(site.profile)
    async with trio.open_nursery() as nursery:

        def start(name: str) -> None:
            injected.append(name)
            nursery.start_soon(inject, site, name, Random(random.random()))

        if site.profile.has_outages:
            nursery.start_soon(_start_outages, start, Random(random.random()), seconds)
        with trio.move_on_after(seconds):
            if site.profile.has_changes:
                start(GROWTH)
            while True:
                if site.profile.has_changes:
                    for _ in range(random.choice(SERIES_LENGTHS)):
                        start(random.choice(names))
                        await trio.sleep(random.uniform(0, SERIES_GAP_SECONDS))
                else:
                    start(random.choice(names))
                await trio.sleep(random.expovariate(0.7))


async def _start_outages(start: Callable[[str], None], random: Random, seconds: float) -> None:
    with trio.move_on_after(seconds):
        while True:
            await trio.sleep(random.uniform(*OUTAGE_GAP_SECONDS))
            start(random.choice(OUTAGE_FAULTS))


async def inject_phases(site: SoakSite, random: Random, injected: list[str]) -> None:
    """Go through the phases of a deployment; return once the faults of the last are cleared.

    :param injected: receives the names of the faults.
    """
    for number, phase in enumerate(phases_of(site.profile.seed)):
        site.log.write("phase-begins", number=number)
        if not phase.faults:
            await trio.sleep(phase.seconds)
            continue
        async with trio.open_nursery() as nursery:
            ends_at = trio.current_time() + phase.seconds
            while trio.current_time() < ends_at:
                name = random.choice(phase.faults)
                injected.append(name)
                nursery.start_soon(inject, site, name, Random(random.random()))
                await trio.sleep(random.uniform(*phase.gap_seconds))


async def inject(site: SoakSite, name: str, random: Random) -> None:
    """Inject a fault, and log and record when it begins and when it is cleared."""
    site.log.write("fault-begins", name=name)
    with site.disturbed(name, is_planned=name in PLANNED_FAULTS):
        await faults_by_name[name](site, random)
    site.log.write("fault-ended", name=name)
