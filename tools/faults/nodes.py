"""Fault cases of node processes."""

import trio

from tools.faults.case_run import CaseRun
from tools.faults.registry import case

__all__: list[str] = []

FREEZE_SECONDS = 8.0
AFTER_THAW_SECONDS = 2.0


@case("owner killed")
async def kill_owner(run: CaseRun) -> None:
    """Kill the owner of the most zones."""
    node, zones = await run.pick_owner()
    run.expect_recovery(zones)
    await run.site.kill(node)


@case("owner killed and replaced")
async def kill_and_restart_owner(run: CaseRun) -> None:
    """Kill an owner and start it again at once."""
    node, zones = await run.pick_owner()
    run.expect_recovery(zones)
    await run.site.kill(node)
    await run.restart(node)


@case("owner frozen")
async def freeze_owner(run: CaseRun) -> None:
    """Freeze an owner for longer than a failover takes."""
    node, zones = await run.pick_owner()
    run.expect_recovery(zones)
    await run.freeze(node, FREEZE_SECONDS)
    await trio.sleep(AFTER_THAW_SECONDS)


@case("owner frozen during a withdrawal")
async def freeze_during_withdrawal(run: CaseRun) -> None:
    """Withdraw a zone while its owner is frozen."""
    node, zones = await run.pick_owner()
    zone = run.pick_zone(zones)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run.freeze, node, FREEZE_SECONDS)
        await trio.sleep(0.5)
        await run.set_mode(zone, "out")
    await trio.sleep(AFTER_THAW_SECONDS)
    await run.set_mode(zone, "in-service")
    run.expect_recovery({zone})


@case("owner stopped")
async def stop_owner(run: CaseRun) -> None:
    """Stop an owner with SIGTERM."""
    node, zones = await run.pick_owner()
    run.expect_recovery(zones)
    await run.stop_node(node)


@case("every node replaced in turn")
async def restart_all_nodes(run: CaseRun) -> None:
    """Stop and restart the nodes one after another."""
    for node in run.site.files.nodes_by_id:
        zones = (await run.site.zones_by_owner()).get(node, set())
        run.expect_recovery(zones)
        await run.stop_node(node)
        await run.restart(node)
        await run.site.wait_owned()
