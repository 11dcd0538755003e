"""Command line of the stand-ins."""

import signal
import sys
from datetime import timedelta

import fire
import trio
from mimosapoint.errors import SettingsInvalid
from mimosapoint.memory import MemoryStore, MemoryVmList, MemoryWorker, TrioClock
from mimosapoint.model import VmKind

from mimosapoint_standins.inventory import load_inventory
from mimosapoint_standins.router import Router
from mimosapoint_standins.server import serve
from mimosapoint_standins.store import store_app
from mimosapoint_standins.vm_list import vm_list_app
from mimosapoint_standins.workers import CALL_TIMEOUT, workers_app


def store(address: str) -> None:
    """Serve an in-memory key-value store.

    :param address: ``IP:port`` to listen on.
    """

    async def main() -> None:
        await serve_until_signal(
            store_app(MemoryStore(TrioClock(), timeout=CALL_TIMEOUT)), [address]
        )

    trio.run(main)


def vm_list(address: str, file: str, lag: float = 0.0) -> None:
    """Serve an in-memory VM list.

    :param address: ``IP:port`` to listen on.
    :param file: YAML file with the VMs.
    :param lag: seconds until the list shows a change.
    """

    async def main() -> None:
        memory_list = MemoryVmList(TrioClock())
        for vm in load_inventory(file).vms:
            memory_list.put(vm)
        await memory_list.vms()
        memory_list.lag = timedelta(seconds=lag)
        await serve_until_signal(vm_list_app(memory_list), [address])

    trio.run(main)


def workers(file: str, zone: str = "") -> None:
    """Serve an in-memory worker for each endpoint VM, at the address of the VM.

    :param file: YAML file with the VMs.
    :param zone: availability zone whose workers are served; all zones by default.
    """

    async def main() -> None:
        clock = TrioClock()
        inventory = load_inventory(file)
        endpoints = [vm for vm in inventory.vms if vm.kind is VmKind.ENDPOINT]
        served = [vm for vm in endpoints if zone in ("", vm.zone)]
        by_address = {vm.address: MemoryWorker(vm.id, inventory.capacity, clock) for vm in served}
        await serve_until_signal(workers_app(by_address), list(by_address))

    trio.run(main)


async def serve_until_signal(app: Router, addresses: list[str]) -> None:
    """Serve until SIGTERM or SIGINT; print one line when the server listens."""
    stop = trio.Event()
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            bound = await nursery.start(serve, app, addresses, stop)
            print(f"ready address={','.join(bound)}", flush=True)
            async for _ in signals:
                stop.set()
                break


def main() -> None:
    """Run the command line; report a failure to start in one line."""
    try:
        fire.Fire({"store": store, "vm-list": vm_list, "workers": workers})
    except* (OSError, SettingsInvalid) as group:
        error = flatten_errors(group)[0]
        sys.exit(f"not started error={type(error).__name__} detail={str(error)!r}")


def flatten_errors(error: BaseException) -> list[BaseException]:
    """Return the nested errors of an exception group, or the error itself."""
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [nested for part in error.exceptions for nested in flatten_errors(part)]


if __name__ == "__main__":
    main()
