"""Settings of a cell: durations, limits and the reasons for their defaults."""

from datetime import timedelta

import attrs

__all__ = ["CellSettings"]


def _ms(value: float) -> timedelta:
    return timedelta(milliseconds=value)


@attrs.frozen
class CellSettings:
    """Settings of ownership, worker sessions and decisions in a cell.

    :param ownership_ttl: lease duration of the ownership; bounds the gap after a crash of the
        owner. It is the shortest lease that the store grants.
    :param ownership_renewal: interval between renewals; three fit into the lease.
    :param ownership_margin: time before the end of the lease from which the owner no longer acts;
        covers its own delays between a check and the order that follows.
    :param owner_watch_timeout: timeout of the watch on the owner's key; bounds how long a dead
        connection hides the end of an ownership.
    :param worker_lease: duration of the workers' leases; covers the gap between two owners.
    :param max_worker_lease: longest lease that a worker grants. An order whose deadline is on the
        clock of an earlier incarnation may bring a lease of this length.
    :param orphan_renewal_time: time after the end of its ownership for which an owner goes on
        renewing the workers' leases, and gives no other order, unless a worker refuses it; lets
        runs outlive a store outage. The next owner waits that much longer for silent workers.
    :param long_poll_wait: longest time for which a worker may hold back a long-poll reply; a lost
        reply hides the end of a run for that long. Also the longest wait for the storage of ended
        runs before the next renewal.
    :param long_poll_wait_max: the same for large fleets; the maximum that workers accept.
    :param renewal_reply_time: time beyond the long-poll wait after which a renewal counts as
        unanswered and is repeated; workers reply within 5 ms of the wait, so this allows for
        repeated packets on a slow link.
    :param renewals_per_second: call rate on a node with one core or more above which the owner lets
        workers hold back replies longer.
    :param start_window: time within which a start takes effect or never does; shorter than the
        time for which the tasks of a gang wait for each other.
    :param run_stop_time: longest time that a worker takes to stop a run.
    :param reclaim_delay: wait after which a covered job takes precedence and may preempt urgent
        borrowers; leaves time for a stop and a start before the guarantee must be met.
    :param order_timeout: interval at which a stop is repeated, and delay of a renewal after a fence
        or a replacement; it does not bound the wait for a worker's reply.
    :param start_retry_after: time after which an unanswered start is ordered again. Workers reply
        within 5 ms and the farthest zone is some milliseconds away, so that most of
        ``start_window`` is left.
    :param retry_delay: delay before a failed call to the store, or a failed renewal of a worker's
        lease, is repeated.
    :param probe_interval: interval at which a read is repeated while the store does not reply;
        bounds how late its return is noticed. Refused calls are repeated after ``retry_delay``.
    :param max_probes: most of these reads that are outstanding; as many as begin within the timeout
        of one, and one more.
    :param clock_drift: largest share by which a worker's clock is slow, as documented by the
        platform.
    :param lease_expiry_slack: additional time before a lease counts as expired; covers a pause of
        the worker's process.
    :param watch_timeout: timeout of the watches on the operators' entries and on the inbox.
    :param freshness_bound: age above which data of operators, callers and workers is not acted
        on; shorter than the time within which a configuration must be in force.
    :param registration_poll: interval between reads of the workers' registrations.
    :param status_report_interval: interval at which workers report to the store, as the platform
        states it, 0 if not known; it removes the entry of a worker that was silent for three.
    :param missing_grace: time for which a worker without a registration is kept; registrations
        reappear within two seconds of a store outage.
    :param patience_step: time by which an owner waits longer for the reply to a renewal after each
        failure, so that it hears a worker that replies late before the worker's lease is over.
    :param patience_max: most of this time. The failed renewal and the first retry end within 3.5 s,
        half of ``worker_lease``. A silence that ends during a retry lasts up to this much longer.
    :param silent_after: time without a reply, beyond the long-poll wait, after which a worker gets
        no new work.
    :param refusal_backoff: time for which a worker gets no work after it refused a start as
        unhealthy.
    :param crash_blame_window: time that a run has to work, as run reports prove, to be no suspect
        when its worker crashes. Covers the start window and one long poll, so that a run of a live
        worker is listed in a report by then.
    :param max_worker_crashes: number of crashes of workers under one task at which its job fails.
        One that only the task explains counts twice. The users tolerate two more starts after
        three crashes, which leaves room for crashes that no owner saw.
    :param isolation_patience: time for which a suspect unit waits for workers that no run of
        another unit might crash; a worker that gets no new runs has only proven ones after
        ``crash_blame_window`` and one long poll.
    :param max_standstill: longest time for which a unit that fits is held back for other units, or
        waits for a single rack, while nothing of its job runs and its service and workspace use
        less than half. Callers take such a job for lost after three seconds.
    :param cores: processor capacity of the node, in cores.
    :param link_mbps: network bandwidth of the node, in Mbit/s.
    :param preferred_owner_cores: processor capacity from which a node claims the cell without the
        fallback delay; an owner of 176 workers needs half a core.
    :param preferred_owner_link_mbps: bandwidth from which a node claims the cell without the
        fallback delay; an owner of 176 workers sends and receives some Mbit/s.
    :param direct_workers_per_core: number of workers for each core up to which a preferred owner
        sends all orders itself; with more, relay nodes carry them. A renewal costs 0.4 to 0.7 ms of
        processor time and is due every two seconds, so that this many take a fifth of a core.
    :param fallback_claim_delay: delay before other nodes claim, to leave preferred owners time.
    :param decision_pause: minimum pause between two decisions; changes in the meantime are
        decided together.
    :param max_decision_share: maximum share of time spent on decisions while many units wait; a
        fifth leaves most of the processor to worker sessions and commits.
    :param decision_pause_max: maximum pause between two decisions; a small part of the 1.7 s within
        which an urgent job should start.
    :param lag_probe_interval: interval between measurements of the timer lag.
    :param lag_limit: timer lag above which the node counts as overloaded. Three renewals fit into
        an ownership lease, so that even a lag of a quarter of it leaves time for two such delays.
    :param max_concurrent_starts: limit of concurrent starts without overload; room
        for several gangs of the largest size, 128 tasks.
    :param min_concurrent_starts: limit of concurrent starts under the worst overload.
    :param concurrent_starts_step: number of starts by which the limit grows after a measurement
        without overload.
    :param member_ttl: lease duration of a node's entry. Several seconds suffice, as a request that
        is forwarded to a dead node costs only a failed connection.
    :param member_renewal: interval between renewals and between reads of the other nodes' entries;
        three fit into the lease.
    :param claim_jitter: maximum random delay before a claim; reduces conflicts of candidates.
    :param retention: time for which ended jobs can be read, as documented by the platform.
    :param backlog_interval: minimum interval between two counts of the backlog.
    :param admission: whether jobs that surely come too late are refused. All nodes must agree:
        nodes of earlier versions heed the marks of refused jobs only with admission.
    :param start_order: name of the order in which waiting units of one priority start.
    :param placement: name of the rule that chooses the workers of a unit.
    :param durations: name of the source of expected run times, from which the soft deadlines of
        decisions follow too.
    :param preemption_cost: name of the rule by which victims of a preemption are chosen.
    :param gang_reservation: name of the rule by which capacity is reserved for waiting gangs.
    :param max_reserved_gangs: maximum number of gangs with a reservation in one decision; more
        leave more capacity idle.
    :param checkpoint_interval: interval at which runs save checkpoints; ``None`` if not known.
    :param restore_time: time in which a run resumes from a checkpoint; ``None`` if not known.
    """

    ownership_ttl: timedelta = _ms(1000)
    ownership_renewal: timedelta = _ms(250)
    ownership_margin: timedelta = _ms(150)
    owner_watch_timeout: timedelta = _ms(2000)
    worker_lease: timedelta = _ms(7000)
    max_worker_lease: timedelta = _ms(10_000)
    orphan_renewal_time: timedelta = _ms(5000)
    long_poll_wait: timedelta = _ms(1000)
    long_poll_wait_max: timedelta = _ms(2000)
    renewal_reply_time: timedelta = _ms(400)
    renewals_per_second: float = 90.0
    start_window: timedelta = _ms(1000)
    run_stop_time: timedelta = _ms(400)
    reclaim_delay: timedelta = _ms(800)
    order_timeout: timedelta = _ms(700)
    start_retry_after: timedelta = _ms(200)
    retry_delay: timedelta = _ms(100)
    probe_interval: timedelta = _ms(250)
    max_probes: int = 5
    clock_drift: float = 0.02
    lease_expiry_slack: timedelta = _ms(500)
    watch_timeout: timedelta = _ms(800)
    freshness_bound: timedelta = _ms(1700)
    registration_poll: timedelta = _ms(600)
    status_report_interval: timedelta = _ms(1500)
    missing_grace: timedelta = _ms(2500)
    patience_step: timedelta = _ms(800)
    patience_max: timedelta = _ms(1600)
    silent_after: timedelta = _ms(1500)
    refusal_backoff: timedelta = _ms(2500)
    crash_blame_window: timedelta = _ms(3000)
    max_worker_crashes: int = 3
    isolation_patience: timedelta = _ms(6000)
    max_standstill: timedelta = _ms(2000)
    cores: float = 1.0
    link_mbps: float = 1000.0
    preferred_owner_cores: float = 1.0
    preferred_owner_link_mbps: float = 50.0
    direct_workers_per_core: int = 600
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
    start_order: str = "latest-start"
    placement: str = "fullest"
    durations: str = "declared"
    preemption_cost: str = "since-start"
    gang_reservation: str = "current-fit"
    max_reserved_gangs: int = 2
    checkpoint_interval: timedelta | None = None
    restore_time: timedelta | None = None
    admission: bool = False

    @property
    def load_summary_max_age(self) -> timedelta:
        """Age above which a load summary is not acted on."""
        return self.freshness_bound + self.backlog_interval

    @property
    def direct_workers(self) -> int:
        """Number of workers up to which the node as owner uses no relay nodes."""
        return int(self.direct_workers_per_core * self.cores) if self.is_preferred_owner else 0

    @property
    def capacity_hold_ttl(self) -> timedelta:
        """Lifetime of a capacity hold.

        It covers a stop, one repetition of a lost stop order, and the report of the end.
        """
        return self.run_stop_time + self.order_timeout + self.start_retry_after * 2

    @property
    def unexplained_memory(self) -> timedelta:
        """Time for which the crash of a worker that no run explains weakens the next evidence.

        Workers that crash for other reasons do so again within some leases.
        """
        return 8 * self.worker_lease

    @property
    def is_preferred_owner(self) -> bool:
        """Whether the node has enough processor and bandwidth to be preferred as owner."""
        return (
            self.cores >= self.preferred_owner_cores
            and self.link_mbps >= self.preferred_owner_link_mbps
        )

    def long_poll_wait_for(self, workers: int) -> timedelta:
        """Return how long each worker of a fleet may hold back a long-poll reply.

        :param workers: number of workers in the fleet.
        """
        wait = timedelta(seconds=workers / (self.renewals_per_second * min(1.0, self.cores)))
        wait = min(max(wait, self.long_poll_wait), self.long_poll_wait_max)
        return min(wait, self.max_long_poll_wait)

    @property
    def max_long_poll_wait(self) -> timedelta:
        """Longest wait with which a lease outlasts one renewal without effect.

        The lease then runs from the renewal before, and the repetition has to arrive in time.
        """
        repetition = 2 * self.renewal_reply_time + self.retry_delay
        return max((self.worker_lease - repetition) / 2, timedelta(0))

    def pause_after(self, decision: timedelta) -> timedelta:
        """Return the pause after a decision.

        :param decision: duration of the decision.
        """
        pause = decision * (1 / self.max_decision_share - 1)
        return min(max(pause, self.decision_pause), self.decision_pause_max)
