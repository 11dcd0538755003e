"""Cost of single calls and of single parts of a node by size."""

import hashlib
import os
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from datetime import datetime, timezone
from pathlib import Path

import attrs
from mimosapoint.configuration import ConfigurationState, PatchRecord, load_configuration
from mimosapoint.configuration.state import FORMAT, encode_state
from mimosapoint.jobs import Bucket
from mimosapoint.membership import preferred_owners
from mimosapoint.model import (
    JobRecord,
    JobRequest,
    JobState,
    LeaseRequest,
    Placement,
    ReserveRequest,
    Resources,
    StartRequest,
    TaskSpec,
    Vm,
    VmKind,
)
from mimosapoint.telemetry import LogTelemetry
from mimosapoint_node.platform import HttpStore, HttpVmList, HttpWorkers
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from benchmarks.slopes.fit import Point, Slope, fit
from benchmarks.slopes.relay import Relay
from benchmarks.slopes.site import SizedSite, write_example
from benchmarks.slopes.usage import KIB

__all__ = [
    "measure_bucket",
    "measure_list",
    "measure_spans",
    "measure_store",
    "measure_worker_call",
]

ZONE_COUNTS = (4, 8, 16, 32)
NODES = 48
CHECKS = 40
PATCH_RECORD_COUNTS = (0, 25, 50, 100)
VALUE_SIZES_KIB = (1, 16, 64, 256, 512)
STORE_CALLS = 60
LISTED_VM_COUNTS = (24, 220, 880, 3500)
LIST_CALLS = 5
REPORTED_TASK_COUNTS = (0, 2, 4, 8)
LEASE_CALLS = 100
RECORD_COUNTS = (10, 50, 100, 200, 400)
ENCODINGS = 50
SPAN_COUNTS = (500, 1000, 2000, 4000)
NOW = datetime(2026, 1, 5, tzinfo=timezone.utc)
LEASE_SECONDS = 60.0


async def _processor_ms(calls: int, action: Callable[[], Awaitable[object]]) -> float:
    """Return ms of processor time of this process per call."""
    before = time.process_time()
    for _ in range(calls):
        await action()
    return 1e3 * (time.process_time() - before) / calls


async def _start_stand_ins(folder: Path, workers: int, stack: AsyncExitStack) -> SizedSite:
    """Start the stand-ins of a site, but no node."""
    site = SizedSite(folder, 1, workers)
    stack.push_async_callback(site.stop)
    site.files = attrs.evolve(site.files, nodes_by_id={}, http_by_id={})
    await site.start()
    return site


async def measure_store(folder: Path) -> list[Slope]:
    """Return the slopes of a read and a write of the store over the size of the value."""
    reads, writes, sizes = [], [], []
    async with AsyncExitStack() as stack:
        site = await _start_stand_ins(folder / "store", 1, stack)
        store = HttpStore(site.files.store_address, LogTelemetry("bench"))
        stack.push_async_callback(store.close)
        relay = await stack.enter_async_context(Relay.opened())
        relayed = HttpStore(await relay.listen_for(site.files.store_address), LogTelemetry("bench"))
        stack.push_async_callback(relayed.close)
        for size in VALUE_SIZES_KIB:
            value = os.urandom(size * KIB)
            revision = 0

            async def write(key: str = f"value-{size}", value: bytes = value) -> None:
                nonlocal revision
                revision = await store.compare_and_swap(key, value, revision)

            async def read(key: str = f"value-{size}") -> None:
                await store.get(key)

            await write()
            writes.append(Point(size, await _processor_ms(STORE_CALLS, write)))
            reads.append(Point(size, await _processor_ms(STORE_CALLS, read)))
            before = relay.byte_count
            await relayed.get(f"value-{size}")
            sizes.append(Point(size, relay.byte_count - before))
    return [
        fit("store.read_cpu", "KiB", "ms", reads),
        fit("store.write_cpu", "KiB", "ms", writes),
        fit("store.read_bytes", "KiB", "B", sizes),
    ]


async def measure_list(folder: Path) -> list[Slope]:
    """Return the slopes of a read of the VM list over its length."""
    costs, changed, sizes = [], [], []
    telemetry = LogTelemetry("bench")
    for count in LISTED_VM_COUNTS:
        async with AsyncExitStack() as stack:
            relay = await stack.enter_async_context(Relay.opened())
            site = await _start_vm_list(folder / f"list-{count}", count, stack)
            vms = HttpVmList(
                await relay.listen_for(site.files.vm_list_address), LogTelemetry("bench")
            )
            stack.push_async_callback(vms.close)
            await vms.vms()
            before = relay.byte_count
            await vms.vms()
            sizes.append(Point(count, relay.byte_count - before))
            direct = HttpVmList(site.files.vm_list_address, LogTelemetry("bench"))
            stack.push_async_callback(direct.close)
            await direct.vms()
            costs.append(Point(count, await _processor_ms(LIST_CALLS, direct.vms)))

            async def read_uncached(address: str = site.files.vm_list_address) -> None:
                uncached = HttpVmList(address, telemetry)
                await uncached.vms()
                await uncached.close()

            changed.append(Point(count, await _processor_ms(LIST_CALLS, read_uncached)))
    return [
        fit("list.read_cpu", "listed VM", "ms", costs),
        fit("list.changed_cpu", "listed VM", "ms", changed),
        fit("list.read_bytes", "listed VM", "B", sizes),
    ]


async def _start_vm_list(folder: Path, count: int, stack: AsyncExitStack) -> SizedSite:
    """Start only the stand-in for the VM list, with the given number of endpoint VMs."""
    site = SizedSite(folder, 1, count)
    stack.push_async_callback(site.stop)
    await site.start_list()
    return site


async def measure_worker_call(folder: Path) -> list[Slope]:
    """Return the slopes of a lease renewal over the number of tasks in the worker's report."""
    costs, sizes = [], []
    async with AsyncExitStack() as stack:
        relay = await stack.enter_async_context(Relay.opened())
        site = await _start_stand_ins(folder / "calls", len(REPORTED_TASK_COUNTS), stack)
        workers = HttpWorkers(LogTelemetry("bench"))
        stack.push_async_callback(workers.close)
        for address, tasks in zip(site.worker_addresses, REPORTED_TASK_COUNTS, strict=True):
            request = LeaseRequest("node-000", "r1-a", 1, LEASE_SECONDS)
            await workers.lease(address, request)
            await _start_tasks(workers, address, tasks)

            async def renew(address: str = address, request: LeaseRequest = request) -> None:
                await workers.lease(address, request)

            costs.append(Point(tasks, await _processor_ms(LEASE_CALLS, renew)))
            relayed = await relay.listen_for(address)
            await workers.lease(relayed, request)
            before = relay.byte_count
            await workers.lease(relayed, request)
            sizes.append(Point(tasks, relay.byte_count - before))
    return [
        fit("renewal.cpu", "reported task", "ms", costs),
        fit("renewal.bytes", "reported task", "B", sizes),
    ]


async def _start_tasks(workers: HttpWorkers, address: str, count: int) -> None:
    ids = tuple(f"r1-a~{number:032}/1/0" for number in range(count))
    payload = {"kind": "sleep", "seconds": LEASE_SECONDS}
    shape = Resources(1, 16, 32, 1)
    specs = tuple(TaskSpec(id, "workspace-00", "rebuilds", shape, 0, 1, payload) for id in ids)
    await workers.reserve(address, ReserveRequest(1, specs, LEASE_SECONDS))
    await workers.start(address, StartRequest(1, ids))


async def measure_bucket(folder: Path) -> list[Slope]:
    """Return the slopes of a write of a bucket over the number of its records."""
    costs, sizes = [], []
    for count in RECORD_COUNTS:
        bucket = Bucket("r1-a", 0)
        bucket.load([_record(number) for number in range(count)], 1)

        async def write(bucket: Bucket = bucket) -> None:
            bucket.put(_record(0))
            bucket.encode(1, "node-000#1")

        costs.append(Point(count, await _processor_ms(ENCODINGS, write)))
        sizes.append(Point(count, len(bucket.encode(1, "node-000#1"))))
    return [
        fit("bucket.write_cpu", "record in the bucket", "ms", costs),
        fit("bucket.write_bytes", "record in the bucket", "B", sizes),
    ]


def _record(number: int) -> JobRecord:
    payload = {"kind": "sleep", "seconds": 600}
    request = JobRequest("workspace-00", "rebuilds", f"key-{number}", payload=payload)
    placement = Placement(1, ("worker-0001",), None, ("worker-0001/2026-01-05T00:00:00",))
    return JobRecord(f"r1-a~{number:032}", request, JobState.RUNNING, NOW, placement, NOW)


async def measure_configuration(folder: Path) -> list[Slope]:
    """Return the slope of the stored configuration's size over its number of patch records."""
    example = write_example(folder / "configuration", 1, 0)
    configuration = load_configuration(str(example / "configuration.yaml"))
    sizes = []
    for count in PATCH_RECORD_COUNTS:
        patches = tuple(_patch_record(number) for number in range(count))
        state = ConfigurationState(FORMAT, 1 + count, configuration, patches)
        sizes.append(Point(count, len(encode_state(state))))
    return [fit("configuration.bytes", "verdict", "B", sizes)]


def _patch_record(number: int) -> PatchRecord:
    digest = hashlib.sha256(str(number).encode()).hexdigest()
    return PatchRecord(f"patch-{number}", digest, number, number + 1, True, at=NOW)


async def measure_ownership(folder: Path) -> list[Slope]:
    """Return the slope of the calculation of the preferred owners over the number of zones."""
    ids = [f"node-{number:03}" for number in range(NODES)]
    nodes = {id: Vm(id, VmKind.ENTRY, f"zone-{at % 16}", "") for at, id in enumerate(ids)}
    costs = []
    for count in ZONE_COUNTS:
        zones = {f"zone-{number}": f"region-{number % 7}" for number in range(count)}

        async def check(zones: dict[str, str] = zones) -> None:
            preferred_owners(zones, nodes, zones)

        costs.append(Point(count, await _processor_ms(CHECKS, check)))
    return [fit("ownership.check_cpu", "zone", "ms", costs)]


async def measure_spans(folder: Path) -> list[Slope]:
    """Return the slopes of processor time and memory over the number of recorded spans."""
    costs, memories = [], []
    for count in SPAN_COUNTS:
        telemetry = LogTelemetry("bench", folder / f"spans-{count}")
        before = time.process_time()
        _record_spans(telemetry, count)
        costs.append(Point(count, 1e3 * (time.process_time() - before)))
        telemetry.close()
        memories.append(Point(count, _span_bytes(count) / KIB))
    return [
        fit("span.cpu", "recorded span", "ms", costs),
        fit("span.memory", "span that waits for export", "KiB", memories),
    ]


def _record_spans(telemetry: LogTelemetry, count: int) -> None:
    for _ in range(count):
        with telemetry.span("peer-call") as span:
            span.set("message", "submit-job")


def _span_bytes(count: int) -> int:
    """Return the memory of the given number of spans while the exporter keeps them, in bytes."""
    exporter = InMemorySpanExporter()
    telemetry = LogTelemetry("bench", exporter=exporter)
    tracemalloc.start()
    _record_spans(telemetry, count)
    telemetry._provider.force_flush()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    telemetry.close()
    return allocated
