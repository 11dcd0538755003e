"""Cost of each role of a node at the target size, calculated from the slopes."""

from collections.abc import Iterable

import attrs

from benchmarks.slopes.fit import Slope

__all__ = ["Term", "capacity", "capacity_table"]

REGIONS = 7
ZONES = 16
NODES = 3 * ZONES
WORKERS = 3_500
TASKS = 13_000
JOBS_PER_DAY = 13_000
PATCHES_PER_DAY = 4_300
FAILED_VMS_PER_DAY = 20
REPLACED_VMS_PER_DAY = 190
CONNECTIONS = 400
WAITING_SPANS = 2_048
BUCKETS = 16
WRITES_PER_JOB = 4
PATCH_RECORDS = 100
RETENTION_HOURS = 1
SECONDS_PER_DAY = 86_400
CHECKS_PER_SECOND = 2

ZONE_WORKERS = WORKERS / ZONES
ZONE_TASKS = TASKS / ZONES
ZONE_JOBS_PER_SECOND = JOBS_PER_DAY / SECONDS_PER_DAY / ZONES
NODE_JOBS_PER_SECOND = JOBS_PER_DAY / SECONDS_PER_DAY / NODES
PATCHES_PER_SECOND = PATCHES_PER_DAY / SECONDS_PER_DAY
LISTED_VMS = WORKERS + NODES
BUCKET_RECORDS = (ZONE_TASKS + JOBS_PER_DAY / 24 * RETENTION_HOURS / ZONES) / BUCKETS

ROLES_WITH_READS = ("peer", "configuration", "zone owner")
"""Roles whose cost depends on how often they read or renew leases."""

BUDGETS_BY_UNIT = {"ms/s": 33.0, "MiB": 256.0, "B/s": 10_000.0}
"""Budget of a node for control work, by unit."""


@attrs.frozen
class Term:
    """One term of the cost of a role.

    :param role: role that has the cost.
    :param what: work that causes the cost.
    :param unit: unit of the amount.
    :param formula: calculation from the slopes.
    :param amount: cost in the unit.
    """

    role: str
    what: str
    unit: str
    formula: str
    amount: float


@attrs.frozen
class Reads:
    """Frequency of the reads of a node.

    :param suffix: suffix of the names of the slopes.
    :param lists: reads of the VM list per second.
    """

    suffix: str
    lists: float

    @property
    def role(self) -> str:
        """Suffix of the names of the roles."""
        return self.suffix.replace("_", " ")


DEFAULT_READS = Reads("", 1.0)
BACKED_OFF_READS = Reads("_backed_off", 0.5)


class _SlopeCosts:
    """Costs from the slopes, looked up by name."""

    def __init__(self, slopes: Iterable[Slope]):
        self._by_name = {slope.name: slope for slope in slopes}

    def at(self, name: str, size: float) -> float:
        """Return the cost at a size, the intercept included."""
        slope = self._by_name[name]
        return slope.intercept + slope.slope * size

    def increase(self, name: str, size: float) -> float:
        """Return the difference between the cost at a size and the cost at size 0."""
        return self._by_name[name].slope * size


def capacity(slopes: Iterable[Slope]) -> list[Term]:
    """Return the terms of the cost of every role at the target size."""
    costs = _SlopeCosts(slopes)
    return [
        *_peer(costs, DEFAULT_READS),
        *_peer(costs, BACKED_OFF_READS),
        *_configuration(costs, DEFAULT_READS),
        *_configuration(costs, BACKED_OFF_READS),
        *_entry(costs),
        *_owner(costs, ""),
        *_owner(costs, "_backed_off"),
        *_store(costs),
    ]


def _peer(costs: _SlopeCosts, reads: Reads) -> list[Term]:
    role, suffix = f"peer{reads.role}", reads.suffix
    exchanges = 2 * costs.at("node.peer_calls", NODES)
    return [
        Term(
            role,
            "gossip, following, upkeep",
            "ms/s",
            f"node.idle_cpu{suffix}({NODES})",
            costs.at(f"node.idle_cpu{suffix}", NODES),
        ),
        Term(
            role,
            "reading the list of VMs",
            "ms/s",
            f"list.read_cpu'*{LISTED_VMS}*{reads.lists:g}/s",
            costs.increase("list.read_cpu", LISTED_VMS) * reads.lists,
        ),
        Term(
            role,
            "who should own what",
            "ms/s",
            f"ownership.check_cpu({ZONES})*{CHECKS_PER_SECOND}/s",
            costs.at("ownership.check_cpu", ZONES) * CHECKS_PER_SECOND,
        ),
        Term(role, "node", "MiB", f"node.memory({NODES})", costs.at("node.memory", NODES)),
        Term(
            role,
            "gossip made and served",
            "B/s",
            f"2*node.peer_calls({NODES})*peer.exchange_bytes({NODES})",
            exchanges * costs.at("peer.exchange_bytes", NODES),
        ),
        Term(
            role,
            "list of VMs",
            "B/s",
            f"list.read_bytes({LISTED_VMS})*{reads.lists:g}/s",
            costs.at("list.read_bytes", LISTED_VMS) * reads.lists,
        ),
    ]


def _configuration(costs: _SlopeCosts, reads: Reads) -> list[Term]:
    role, calls = f"configuration{reads.role}", f"fleet.store_calls{reads.suffix}"
    size = costs.at("configuration.bytes", PATCH_RECORDS)
    return [
        Term(
            role,
            "taking in patches",
            "ms/s",
            f"patch.node_cpu({NODES})*{PATCHES_PER_SECOND:.4f}/s",
            costs.at("patch.node_cpu", NODES) * PATCHES_PER_SECOND,
        ),
        Term(
            role,
            "reads of the store",
            "B/s",
            f"{calls}({NODES})/{NODES}*(store.read_bytes(0)+configuration.bytes({PATCH_RECORDS}))",
            costs.at(calls, NODES) / NODES * (costs.at("store.read_bytes", 0) + size),
        ),
        Term(
            role,
            "longest time into force",
            "ms",
            f"patch.in_force({NODES})",
            costs.at("patch.in_force", NODES),
        ),
    ]


def _entry(costs: _SlopeCosts) -> list[Term]:
    return [
        Term(
            "entry",
            "jobs of callers",
            "ms/s",
            f"job.life_cpu({ZONE_TASKS:.0f})*{NODE_JOBS_PER_SECOND:.4f}/s",
            costs.at("job.life_cpu", ZONE_TASKS) * NODE_JOBS_PER_SECOND,
        ),
        Term(
            "entry",
            "connections and waiting spans",
            "MiB",
            f"(connection.memory'*{CONNECTIONS}+span.memory'*{WAITING_SPANS})/1024",
            (
                costs.increase("connection.memory", CONNECTIONS)
                + costs.increase("span.memory", WAITING_SPANS)
            )
            / 1024,
        ),
    ]


def _owner(costs: _SlopeCosts, suffix: str) -> list[Term]:
    role = "zone owner" + suffix.replace("_", " ")
    replaced = (FAILED_VMS_PER_DAY + REPLACED_VMS_PER_DAY) / SECONDS_PER_DAY / ZONES
    per_worker = TASKS / WORKERS
    calls = costs.increase(f"worker.calls{suffix}", ZONE_WORKERS)
    return [
        Term(
            role,
            "leases of workers",
            "ms/s",
            f"worker.idle_cpu{suffix}'*{ZONE_WORKERS:.0f}",
            costs.increase(f"worker.idle_cpu{suffix}", ZONE_WORKERS),
        ),
        Term(
            role,
            "running tasks",
            "ms/s",
            f"task.idle_cpu{suffix}'*{ZONE_TASKS:.0f}",
            costs.increase(f"task.idle_cpu{suffix}", ZONE_TASKS),
        ),
        Term(
            role,
            "jobs decided, started and ended",
            "ms/s",
            f"job.life_cpu{suffix}({ZONE_TASKS:.0f})*{ZONE_JOBS_PER_SECOND:.4f}/s",
            costs.at(f"job.life_cpu{suffix}", ZONE_TASKS) * ZONE_JOBS_PER_SECOND,
        ),
        Term(
            role,
            "tasks of lost and replaced VMs",
            "ms/s",
            f"job.life_cpu{suffix}({ZONE_TASKS:.0f})*{per_worker:.1f}*{replaced:.6f}/s",
            costs.at(f"job.life_cpu{suffix}", ZONE_TASKS) * per_worker * replaced,
        ),
        Term(
            role,
            "workers, tasks and ended jobs",
            "MiB",
            f"worker.memory'*{ZONE_WORKERS:.0f}+task.memory'*{BUCKET_RECORDS * BUCKETS:.0f}/1024",
            costs.increase("worker.memory", ZONE_WORKERS)
            + costs.increase("task.memory", BUCKET_RECORDS * BUCKETS) / 1024,
        ),
        Term(
            role,
            "renewals",
            "B/s",
            f"worker.calls{suffix}'*{ZONE_WORKERS:.0f}*renewal.bytes({per_worker:.1f})",
            calls * costs.at("renewal.bytes", per_worker),
        ),
        Term(
            role,
            "writes of the job table",
            "B/s",
            f"{WRITES_PER_JOB}*{ZONE_JOBS_PER_SECOND:.4f}/s*bucket.write_bytes({BUCKET_RECORDS:.0f})",
            WRITES_PER_JOB * ZONE_JOBS_PER_SECOND * costs.at("bucket.write_bytes", BUCKET_RECORDS),
        ),
    ]


def _store(costs: _SlopeCosts) -> list[Term]:
    writes = WRITES_PER_JOB * JOBS_PER_DAY / SECONDS_PER_DAY + 2 * PATCHES_PER_SECOND
    return [
        Term(
            "store",
            "reads of all nodes",
            "calls/s",
            f"fleet.store_calls({NODES})",
            costs.at("fleet.store_calls", NODES),
        ),
        Term(
            "store",
            "writes of all nodes",
            "calls/s",
            f"{WRITES_PER_JOB}*{JOBS_PER_DAY}/86400+2*{PATCHES_PER_DAY}/86400",
            writes,
        ),
    ]


def capacity_table(terms: list[Term]) -> str:
    """Return the terms as a table, and a node's total in each unit compared with its budget."""
    lines = [f"{'role':22} {'what':34} {'amount':>10} {'unit':8} formula"]
    for term in terms:
        lines.append(
            f"{term.role:22} {term.what:34} {term.amount:10.4g} {term.unit:8} {term.formula}"
        )
    for reads in (DEFAULT_READS, BACKED_OFF_READS):
        roles = ("entry", *(f"{name}{reads.role}" for name in ROLES_WITH_READS))
        for unit, budget in BUDGETS_BY_UNIT.items():
            total = sum(t.amount for t in terms if t.role in roles and t.unit == unit)
            verdict = "over" if total > budget else "within"
            line = f"{total:.4g} {unit} of {budget:g}, {verdict} budget"
            lines.append(f"node of every role{reads.role}: {line}")
    return "\n".join(lines)
