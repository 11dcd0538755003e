"""Faults that tests and stand-ins bring about."""

from datetime import timedelta

import attrs

from mimosapoint.errors import MimosapointError
from mimosapoint.ports import Clock

__all__ = ["Faults", "FaultGate"]

POLL_INTERVAL = timedelta(milliseconds=50)
"""Time between looks at whether a frozen server goes on."""


@attrs.define
class Faults:
    """Faults in force; each may be set and cleared at any time.

    :param refuse: calls are refused with no effect.
    :param delay: seconds by which calls are delayed before their effect.
    :param lose_replies: number of coming replies that are lost after the effect.
    :param garbage: replies over HTTP are not valid JSON.
    :param frozen: calls wait until the server goes on.
    :param fail_tasks: every task that is started fails at once.
    """

    refuse: bool = False
    delay: float = 0.0
    lose_replies: int = 0
    garbage: bool = False
    frozen: bool = False
    fail_tasks: bool = False

    def become(self, other: "Faults") -> None:
        """Take over every fault of another set."""
        for field in attrs.fields(Faults):
            setattr(self, field.name, getattr(other, field.name))


@attrs.frozen
class FaultGate:
    """Applies the faults to the calls of one server.

    :param faults: the faults in force.
    :param clock: the clock.
    :param timeout: time after which a caller gives up.
    :param refused: error of a call that had no effect.
    :param doubtful: error of a call that may have had its effect.
    """

    faults: Faults
    clock: Clock
    timeout: timedelta
    refused: type[MimosapointError]
    doubtful: type[MimosapointError]

    async def before(self) -> None:
        """Apply the faults that come before the effect.

        :raises MimosapointError: the call is refused, or it timed out without its effect.
        """
        if self.faults.refuse:
            raise self.refused("refused by a fault")
        waited = timedelta()
        while self._waits(waited):
            if waited >= self.timeout:
                raise self.doubtful("timed out")
            await self.clock.sleep(POLL_INTERVAL)
            waited += POLL_INTERVAL

    def after(self) -> None:
        """Apply the faults that come after the effect.

        :raises MimosapointError: the reply is lost.
        """
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            raise self.doubtful("the reply was lost")

    def _waits(self, waited: timedelta) -> bool:
        return self.faults.frozen or waited.total_seconds() < self.faults.delay
