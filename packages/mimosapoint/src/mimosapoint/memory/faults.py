"""Faults that tests and stand-ins inject."""

from datetime import timedelta

import attrs

from mimosapoint.errors import MimosapointError
from mimosapoint.ports import Clock

__all__ = ["Faults", "FaultInjector"]

POLL_INTERVAL = timedelta(milliseconds=50)
"""Interval at which a waiting call checks whether its fault is over."""


@attrs.define
class Faults:
    """Faults in force; each may be set and cleared at any time.

    :param refuse: calls are refused without an effect.
    :param delay: delay of calls before their effect, in seconds.
    :param lose_replies: number of the next replies that are lost after the effect.
    :param garbage: replies over HTTP are not valid JSON.
    :param frozen: calls wait until the server is thawed.
    :param fail_tasks: every task that is started fails at once.
    """

    refuse: bool = False
    delay: float = 0.0
    lose_replies: int = 0
    garbage: bool = False
    frozen: bool = False
    fail_tasks: bool = False

    def replace_with(self, other: "Faults") -> None:
        """Copy every fault of another set."""
        for field in attrs.fields(Faults):
            setattr(self, field.name, getattr(other, field.name))


@attrs.frozen
class FaultInjector:
    """Applies the faults to the calls of one server.

    :param faults: the faults in force.
    :param clock: clock that calls wait on.
    :param timeout: time after which a call that waits on a fault fails.
    :param no_effect_error: error of a call that had no effect.
    :param unknown_outcome_error: error of a call that may have had its effect.
    """

    faults: Faults
    clock: Clock
    timeout: timedelta
    no_effect_error: type[MimosapointError]
    unknown_outcome_error: type[MimosapointError]

    async def before_effect(self) -> None:
        """Apply the faults that precede the effect of a call.

        :raises MimosapointError: the call was refused or timed out; no effect.
        """
        if self.faults.refuse:
            raise self.no_effect_error("refused by a fault")
        waited = timedelta()
        while self._is_delayed(waited):
            if waited >= self.timeout:
                raise self.unknown_outcome_error("timed out")
            await self.clock.sleep(POLL_INTERVAL)
            waited += POLL_INTERVAL

    def after_effect(self) -> None:
        """Apply the faults that follow the effect of a call.

        :raises MimosapointError: the reply is lost.
        """
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            raise self.unknown_outcome_error("the reply was lost")

    def _is_delayed(self, waited: timedelta) -> bool:
        return self.faults.frozen or waited.total_seconds() < self.faults.delay
