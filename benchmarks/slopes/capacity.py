"""What each role costs at the size of the target, worked out from the slopes."""

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
VERDICTS = 100
RETENTION_HOURS = 1
SECONDS_PER_DAY = 86_400
CHECKS_PER_SECOND = 2

ZONE_WORKERS = WORKERS / ZONES
ZONE_TASKS = TASKS / ZONES
ZONE_JOBS_PER_SECOND = JOBS_PER_DAY / SECONDS_PER_DAY / ZONES
NODE_JOBS_PER_SECOND = JOBS_PER_DAY / SECONDS_PER_DAY / NODES
PATCHES_PER_SECOND = PATCHES_PER_DAY / SECONDS_PER_DAY
LISTED = WORKERS + NODES
BUCKET_RECORDS = (ZONE_TASKS + JOBS_PER_DAY / 24 * RETENTION_HOURS / ZONES) / BUCKETS

ROLES_WITH_READS = ("peer", "configuration", "zone owner")
"""Roles whose cost follows from how often they read or renew."""

BUDGETS_BY_UNIT = {"ms/s": 33.0, "MiB": 256.0, "B/s": 10_000.0}
"""What a node may spend on control."""


@attrs.frozen
class Term:
    """One part of a role's cost.

    :param role: who bears it.
    :param what: what it is for.
    :param unit: unit of the amount.
    :param formula: how it follows from the slopes.
    :param amount: the amount.
    """

    role: str
    what: str
    unit: str
    formula: str
    amount: float


@attrs.frozen
class Reads:
    """How often a node reads.

    :param suffix: end of the names of the slopes.
    :param lists: reads of the list of VMs each second.
    """

    suffix: str
    lists: float

    @property
    def role(self) -> str:
        """End of the names of the roles."""
        return self.suffix.replace("_", " ")


BY_DEFAULT = Reads("", 1.0)
RARER = Reads("_backed_off", 0.5)


class _Lines:
    """The slopes by name, with a short notation for formulas."""

    def __init__(self, slopes: Iterable[Slope]):
        self._by_name = {each.name: each for each in slopes}

    def at(self, name: str, size: float) -> float:
        """Return the cost at a size."""
        line = self._by_name[name]
        return line.intercept + line.slope * size

    def more(self, name: str, size: float) -> float:
        """Return the cost of a size beyond that of size 0."""
        return self._by_name[name].slope * size


def capacity(slopes: Iterable[Slope]) -> list[Term]:
    """Return every term of every role at the size of the target."""
    lines = _Lines(slopes)
    return [
        *_peer(lines, BY_DEFAULT),
        *_peer(lines, RARER),
        *_configuration(lines, BY_DEFAULT),
        *_configuration(lines, RARER),
        *_entry(lines),
        *_owner(lines, ""),
        *_owner(lines, "_backed_off"),
        *_store(lines),
    ]


def _peer(lines: _Lines, reads: Reads) -> list[Term]:
    role, suffix = f"peer{reads.role}", reads.suffix
    exchanges = 2 * lines.at("node.peer_calls", NODES)
    return [
        Term(
            role,
            "gossip, following, upkeep",
            "ms/s",
            f"node.idle_cpu{suffix}({NODES})",
            lines.at(f"node.idle_cpu{suffix}", NODES),
        ),
        Term(
            role,
            "reading the list of VMs",
            "ms/s",
            f"list.read_cpu'*{LISTED}*{reads.lists:g}/s",
            lines.more("list.read_cpu", LISTED) * reads.lists,
        ),
        Term(
            role,
            "who should own what",
            "ms/s",
            f"ownership.check_cpu({ZONES})*{CHECKS_PER_SECOND}/s",
            lines.at("ownership.check_cpu", ZONES) * CHECKS_PER_SECOND,
        ),
        Term(role, "node", "MiB", f"node.memory({NODES})", lines.at("node.memory", NODES)),
        Term(
            role,
            "gossip made and served",
            "B/s",
            f"2*node.peer_calls({NODES})*peer.exchange_bytes({NODES})",
            exchanges * lines.at("peer.exchange_bytes", NODES),
        ),
        Term(
            role,
            "list of VMs",
            "B/s",
            f"list.read_bytes({LISTED})*{reads.lists:g}/s",
            lines.at("list.read_bytes", LISTED) * reads.lists,
        ),
    ]


def _configuration(lines: _Lines, reads: Reads) -> list[Term]:
    role, calls = f"configuration{reads.role}", f"fleet.store_calls{reads.suffix}"
    size = lines.at("configuration.bytes", VERDICTS)
    return [
        Term(
            role,
            "taking in patches",
            "ms/s",
            f"patch.node_cpu({NODES})*{PATCHES_PER_SECOND:.4f}/s",
            lines.at("patch.node_cpu", NODES) * PATCHES_PER_SECOND,
        ),
        Term(
            role,
            "reads of the store",
            "B/s",
            f"{calls}({NODES})/{NODES}*(store.read_bytes(0)+configuration.bytes({VERDICTS}))",
            lines.at(calls, NODES) / NODES * (lines.at("store.read_bytes", 0) + size),
        ),
        Term(
            role,
            "longest time into force",
            "ms",
            f"patch.in_force({NODES})",
            lines.at("patch.in_force", NODES),
        ),
    ]


def _entry(lines: _Lines) -> list[Term]:
    return [
        Term(
            "entry",
            "jobs of callers",
            "ms/s",
            f"job.life_cpu({ZONE_TASKS:.0f})*{NODE_JOBS_PER_SECOND:.4f}/s",
            lines.at("job.life_cpu", ZONE_TASKS) * NODE_JOBS_PER_SECOND,
        ),
        Term(
            "entry",
            "connections and waiting spans",
            "MiB",
            f"(connection.memory'*{CONNECTIONS}+span.memory'*{WAITING_SPANS})/1024",
            (
                lines.more("connection.memory", CONNECTIONS)
                + lines.more("span.memory", WAITING_SPANS)
            )
            / 1024,
        ),
    ]


def _owner(lines: _Lines, suffix: str) -> list[Term]:
    role = "zone owner" + suffix.replace("_", " ")
    replaced = (FAILED_VMS_PER_DAY + REPLACED_VMS_PER_DAY) / SECONDS_PER_DAY / ZONES
    per_worker = TASKS / WORKERS
    calls = lines.more(f"worker.calls{suffix}", ZONE_WORKERS)
    return [
        Term(
            role,
            "leases of workers",
            "ms/s",
            f"worker.idle_cpu{suffix}'*{ZONE_WORKERS:.0f}",
            lines.more(f"worker.idle_cpu{suffix}", ZONE_WORKERS),
        ),
        Term(
            role,
            "running tasks",
            "ms/s",
            f"task.idle_cpu{suffix}'*{ZONE_TASKS:.0f}",
            lines.more(f"task.idle_cpu{suffix}", ZONE_TASKS),
        ),
        Term(
            role,
            "jobs decided, started and ended",
            "ms/s",
            f"job.life_cpu{suffix}({ZONE_TASKS:.0f})*{ZONE_JOBS_PER_SECOND:.4f}/s",
            lines.at(f"job.life_cpu{suffix}", ZONE_TASKS) * ZONE_JOBS_PER_SECOND,
        ),
        Term(
            role,
            "tasks of lost and replaced VMs",
            "ms/s",
            f"job.life_cpu{suffix}({ZONE_TASKS:.0f})*{per_worker:.1f}*{replaced:.6f}/s",
            lines.at(f"job.life_cpu{suffix}", ZONE_TASKS) * per_worker * replaced,
        ),
        Term(
            role,
            "workers, tasks and ended jobs",
            "MiB",
            f"worker.memory'*{ZONE_WORKERS:.0f}+task.memory'*{BUCKET_RECORDS * BUCKETS:.0f}/1024",
            lines.more("worker.memory", ZONE_WORKERS)
            + lines.more("task.memory", BUCKET_RECORDS * BUCKETS) / 1024,
        ),
        Term(
            role,
            "renewals",
            "B/s",
            f"worker.calls{suffix}'*{ZONE_WORKERS:.0f}*renewal.bytes({per_worker:.1f})",
            calls * lines.at("renewal.bytes", per_worker),
        ),
        Term(
            role,
            "writes of the job table",
            "B/s",
            f"{WRITES_PER_JOB}*{ZONE_JOBS_PER_SECOND:.4f}/s*bucket.write_bytes({BUCKET_RECORDS:.0f})",
            WRITES_PER_JOB * ZONE_JOBS_PER_SECOND * lines.at("bucket.write_bytes", BUCKET_RECORDS),
        ),
    ]


def _store(lines: _Lines) -> list[Term]:
    writes = WRITES_PER_JOB * JOBS_PER_DAY / SECONDS_PER_DAY + 2 * PATCHES_PER_SECOND
    return [
        Term(
            "store",
            "reads of all nodes",
            "calls/s",
            f"fleet.store_calls({NODES})",
            lines.at("fleet.store_calls", NODES),
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
    """Return the terms as a table, each unit of a node beside its budget."""
    lines = [f"{'role':22} {'what':34} {'amount':>10} {'unit':8} formula"]
    for term in terms:
        lines.append(
            f"{term.role:22} {term.what:34} {term.amount:10.4g} {term.unit:8} {term.formula}"
        )
    for reads in (BY_DEFAULT, RARER):
        roles = ("entry", *(f"{name}{reads.role}" for name in ROLES_WITH_READS))
        for unit, budget in BUDGETS_BY_UNIT.items():
            total = sum(t.amount for t in terms if t.role in roles and t.unit == unit)
            verdict = "over" if total > budget else "within"
            line = f"{total:.4g} {unit} of {budget:g}, {verdict} budget"
            lines.append(f"node of every role{reads.role}: {line}")
    return "\n".join(lines)
