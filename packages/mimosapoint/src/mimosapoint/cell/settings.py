"""Settings of a cell: times and sizes, each with its unit and its origin."""

from datetime import timedelta

import attrs

__all__ = ["CellSettings"]


def _ms(value: float) -> timedelta:
    return timedelta(milliseconds=value)


@attrs.frozen
class CellSettings:
    """How nodes share a cell and its owner runs it.

    :param ownership_ttl: life of the ownership without renewal; bounds the gap after a crash;
        the store's shortest lease.
    :param ownership_renewal: time between renewals; three fit into the life.
    :param ownership_margin: part of the life in which the owner no longer acts; covers its own
        delays between a check and the order that follows.
    :param owner_watch_timeout: longest wait of the watch on the owner's key; bounds how long a connection
        that went silent hides the end of an ownership.
    :param worker_lease: lease that workers get; longer than an outage of the store of 4.5 s.
    :param long_poll_wait: longest time that a worker may hold back an answer; a lost answer hides
        an end for that long.
    :param long_poll_wait_max: the same for large fleets; the longest that workers accept.
    :param renewals_per_second: calls above which the owner lets workers hold back answers longer,
        on a node with one core or more.
    :param start_window: time in which a start takes effect or never does; below the time that
        a gang's members wait for each other.
    :param order_timeout: time that a worker has to answer an order.
    :param start_retry_after: time after which an unanswered start is ordered again; workers answer
        within 5 ms, the farthest zone is some ms away, and most of the start's window is left.
    :param retry_delay: pause before a failed order or commit is repeated.
    :param clock_drift: largest share by which a worker's clock is slow; from the platform's pages.
    :param lease_expiry_slack: time added before a lease counts as lapsed; covers a worker's own pause.
    :param watch_timeout: longest wait of the watch on the operators' entries.
    :param freshness_bound: age beyond which what operators, callers and workers wrote is not acted on;
        below the time in which a configuration must be in force.
    :param registration_poll: time between readings of the workers' entries.
    :param missing_grace: time for which a worker without an entry is kept; entries return
        within two seconds of an outage of the store.
    :param silent_after: time without an answer after which a worker gets no new work.
    :param cores: processor that the node has, in cores.
    :param link_mbps: the node's link, in Mbit/s.
    :param preferred_owner_cores: cores from which a node claims at once; an owner of 176 workers was
        measured to need half a core.
    :param preferred_owner_link_mbps: link from which a node claims at once; an owner of 176 workers sends
        and receives some Mbit/s.
    :param fallback_claim_delay: time that other nodes leave to the strong ones.
    :param decision_pause: shortest time between two decisions; what happens meanwhile is
        decided together.
    :param max_decision_share: largest share of the time that decisions take, so that links and
        commits go on while many units wait; a fifth leaves them most of the processor.
    :param decision_pause_max: longest pause between two decisions; below half of the shortest
        latency objective of both sites, 250 ms.
    :param lag_probe_interval: time between two looks at how late this process's timers are.
    :param lag_limit: delay of a timer from which the processor counts as short; three renewals
        fit into an ownership, so a quarter of it leaves room for two delays.
    :param max_concurrent_starts: most starts under way while there is processor enough; above the largest
        step of both sites, 230 tasks.
    :param min_concurrent_starts: fewest starts that may always be under way.
    :param concurrent_starts_step: starts by which the window grows with each look.
    :param member_ttl: life of a node's entry without renewal; requests that are handed over to a
        node that has died cost a connection that fails, so it may be some seconds.
    :param member_renewal: time between renewals, and between readings of the others' entries;
        three fit into the life.
    :param claim_jitter: largest random delay before a claim; keeps candidates apart.
    :param retention: time for which ended jobs can be read; from the platform's pages.
    :param backlog_interval: shortest time between two counts of waiting jobs.
    """

    ownership_ttl: timedelta = _ms(1000)
    ownership_renewal: timedelta = _ms(250)
    ownership_margin: timedelta = _ms(150)
    owner_watch_timeout: timedelta = _ms(2000)
    worker_lease: timedelta = _ms(7000)
    long_poll_wait: timedelta = _ms(1000)
    long_poll_wait_max: timedelta = _ms(2000)
    renewals_per_second: float = 90.0
    start_window: timedelta = _ms(1000)
    order_timeout: timedelta = _ms(700)
    start_retry_after: timedelta = _ms(200)
    retry_delay: timedelta = _ms(100)
    clock_drift: float = 0.02
    lease_expiry_slack: timedelta = _ms(500)
    watch_timeout: timedelta = _ms(800)
    freshness_bound: timedelta = _ms(1700)
    registration_poll: timedelta = _ms(600)
    missing_grace: timedelta = _ms(2500)
    silent_after: timedelta = _ms(2500)
    cores: float = 1.0
    link_mbps: float = 1000.0
    preferred_owner_cores: float = 1.0
    preferred_owner_link_mbps: float = 50.0
    fallback_claim_delay: timedelta = _ms(1500)
    decision_pause: timedelta = _ms(4)
    max_decision_share: float = 0.2
    decision_pause_max: timedelta = _ms(100)
    lag_probe_interval: timedelta = _ms(100)
    lag_limit: timedelta = _ms(150)
    max_concurrent_starts: int = 512
    min_concurrent_starts: int = 4
    concurrent_starts_step: int = 4
    member_ttl: timedelta = _ms(10_000)
    member_renewal: timedelta = _ms(3000)
    claim_jitter: timedelta = _ms(80)
    retention: timedelta = timedelta(seconds=150)
    backlog_interval: timedelta = _ms(500)

    @property
    def is_preferred_owner(self) -> bool:
        """Whether the node is one that should own the cell."""
        return (
            self.cores >= self.preferred_owner_cores
            and self.link_mbps >= self.preferred_owner_link_mbps
        )

    def long_poll_wait_for(self, workers: int) -> timedelta:
        """Return how long each of so many workers may hold back an answer."""
        wait = timedelta(seconds=workers / (self.renewals_per_second * min(1.0, self.cores)))
        return min(max(wait, self.long_poll_wait), self.long_poll_wait_max)

    def pause_after(self, decision: timedelta) -> timedelta:
        """Return the pause after a decision that took so long."""
        pause = decision * (1 / self.max_decision_share - 1)
        return min(max(pause, self.decision_pause), self.decision_pause_max)
