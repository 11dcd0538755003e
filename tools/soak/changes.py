"""Changes by operators that the soak test makes, registered as faults."""

from __future__ import annotations

from random import Random

import trio

from tools.soak.configurations import CAPS, STABLE_KEY, STABLE_QUEUES
from tools.soak.faults import fault
from tools.soak.profile import FIRST_CHANGES_SEED, FIRST_QUOTA_SEED
from tools.soak.site import SoakSite

__all__ = ["GROWTH"]

GROWTH = "grow-configuration"

QUEUE_BYTES = 230
"""Bytes of a queue in the entry, as the store transmits it."""

GROWTH_SECONDS = (2.2, 4.0)
"""Time of the transfer on the slowest link; longer than the timeouts of the store's client."""

STABLE_QUEUE_NAMES = frozenset(queue.name for queue in STABLE_QUEUES)


@fault(GROWTH, FIRST_CHANGES_SEED)
async def grow_configuration(site: SoakSite, random: Random) -> None:
    """Add so many queues that the transfer on the slowest link outlasts the client's timeouts."""
    rate = site.profile.slowest_bytes_per_second
    wanted = int(rate * random.uniform(*GROWTH_SECONDS) / QUEUE_BYTES)
    missing = wanted - len(site.configurations.latest.queues)
    if missing > 0:
        site.configurations.add_queues(missing, host="grown")


@fault("configuration-storm", FIRST_CHANGES_SEED)
async def configuration_storm(site: SoakSite, random: Random) -> None:
    """Publish several versions within a second, which add and remove queues of callers."""
    for _ in range(random.randint(2, 5)):
        queues = [
            name for name in site.configurations.caller_queues if name not in STABLE_QUEUE_NAMES
        ]
        if queues and random.random() < 0.5:
            site.configurations.remove_queue(random.choice(queues))
        else:
            site.configurations.add_queues(1)
        await trio.sleep(random.uniform(0, 0.2))


@fault("replace-key", FIRST_CHANGES_SEED)
async def replace_key(site: SoakSite, random: Random) -> None:
    """Revoke an API key and add another."""
    replaceable = [key for key in site.configurations.keys if key != STABLE_KEY]
    revoked = random.choice(replaceable) if replaceable else None
    site.configurations.replace_key(revoked, f"key-{len(site.configurations.versions)}")


@fault("withdraw-zone", FIRST_CHANGES_SEED)
async def withdraw_zone(site: SoakSite, random: Random) -> None:
    """Withdraw an availability zone and return it, unless it is withdrawn already."""
    zone = random.choice(site.workers).registration.zone
    if site.zones.is_withdrawn(zone):
        return
    site.zones.withdraw(zone)
    await trio.sleep(random.uniform(0.5, 6))
    site.zones.give_back(zone)


@fault("change-cap", FIRST_QUOTA_SEED)
async def change_cap(site: SoakSite, random: Random) -> None:
    """Raise or lower the cap of the workspace."""
    site.configurations.change_cap(random.choice(CAPS))
