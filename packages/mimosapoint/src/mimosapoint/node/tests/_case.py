"""Base class of the tests that run a whole site in memory."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import trio

from mimosapoint.jobs import home_zone_of_job
from mimosapoint.testing import TrioTestCase
from mimosapoint.testing.caller import Caller
from mimosapoint.testing.site import MemorySite

__all__ = ["SiteCase"]


class SiteCase(TrioTestCase):
    """Test case whose sites run on a mock clock."""

    mock_clock = True

    @asynccontextmanager
    async def site(self, **options: Any) -> AsyncIterator[MemorySite]:
        """Run a site and check at the end that it violated no promise."""
        async with trio.open_nursery() as nursery:
            site = MemorySite(nursery, **options)
            await site.start_all()
            yield site
            self.assertEqual(site.violations(), [])
            nursery.cancel_scope.cancel()

    def start_calls(self, nursery, site, count, seconds=5.0, prefix="k", **fields):
        """Start a number of calls, each at the next node first."""
        for number in range(count):
            caller = Caller(site, number)
            nursery.start_soon(
                lambda c=caller, n=number: c.submit_and_wait(f"{prefix}{n}", seconds, **fields)
            )

    def outcomes(self, site):
        """Return the kinds of outcomes that callers received."""
        return {call.outcome for call in site.history.calls}

    def home_zone(self, site):
        """Return the home zone of the first call's job."""
        return home_zone_of_job(site.history.calls[0].job)

    def starts(self, site, job):
        """Return the start events of a job's tasks on all workers."""
        events = [event for event in site.task_events() if event.task.startswith(job + "/")]
        return [event for event in events if event.event.value == "started"]
