"""Files of a site: the VMs, settings and configuration of an example, with free ports."""

from pathlib import Path
from typing import Any

import attrs
import yaml

from tools.site.ports import free_addresses

__all__ = ["SiteFiles", "write_files"]


@attrs.frozen
class SiteFiles:
    """Paths and addresses of a site.

    :param folder: folder of the written files.
    :param configuration: initial configuration.
    :param vms: inventory of the VMs.
    :param nodes_by_id: settings file of each node.
    :param http_by_id: address that each node serves callers on.
    :param store_address: address of the stand-in for the store.
    :param vm_list_address: address of the stand-in for the VM list.
    :param workers_by_id: address of each worker.
    """

    folder: Path
    configuration: Path
    vms: Path
    nodes_by_id: dict[str, Path]
    http_by_id: dict[str, str]
    store_address: str
    vm_list_address: str
    workers_by_id: dict[str, str]


def write_files(example: Path, folder: Path, nodes: int) -> SiteFiles:
    """Write the files of a site.

    :param example: folder of the example site.
    :param folder: folder to write to.
    :param nodes: number of nodes, spread over the availability zones.
    """
    folder.mkdir(parents=True, exist_ok=True)
    vms = yaml.safe_load((example / "vms.yaml").read_text())["vms"]
    entries = _select_across_zones([vm for vm in vms if vm["kind"] == "entry"], nodes)
    endpoints = [vm for vm in vms if vm["kind"] == "endpoint"]
    addresses = free_addresses(2 + 2 * len(entries) + len(endpoints))
    store, vm_list = addresses.pop(), addresses.pop()
    for vm in (*entries, *endpoints):
        vm["address"] = addresses.pop()
    settings_by_id = {
        vm["id"]: _node_settings(example, vm, addresses.pop(), store, vm_list) for vm in entries
    }
    vms_file = folder / "vms.yaml"
    vms_file.write_text(yaml.safe_dump({"vms": [*entries, *endpoints]}))
    nodes_by_id = {}
    for id, settings in settings_by_id.items():
        nodes_by_id[id] = folder / f"{id}.yaml"
        nodes_by_id[id].write_text(yaml.safe_dump(settings, sort_keys=False))
    return SiteFiles(
        folder=folder,
        configuration=example / "configuration.yaml",
        vms=vms_file,
        nodes_by_id=nodes_by_id,
        http_by_id={id: settings["http_address"] for id, settings in settings_by_id.items()},
        store_address=store,
        vm_list_address=vm_list,
        workers_by_id={vm["id"]: vm["address"] for vm in endpoints},
    )


def _select_across_zones(entries: list[dict[str, Any]], count: int) -> list[dict[str, Any]]:
    """Return the given number of entry VMs, taken from the availability zones in turn."""
    last_rank_by_zone: dict[str, int] = {}
    ranked = []
    for vm in entries:
        rank = last_rank_by_zone[vm["zone"]] = last_rank_by_zone.get(vm["zone"], -1) + 1
        ranked.append((rank, vm["zone"], vm))
    return [vm for _, _, vm in sorted(ranked, key=lambda item: item[:2])[:count]]


def _node_settings(
    example: Path, vm: dict[str, Any], http: str, store: str, vm_list: str
) -> dict[str, Any]:
    """Return the settings of an example node with the addresses of this site."""
    candidates = (yaml.safe_load(path.read_text()) for path in sorted(example.glob("node-*.yaml")))
    settings = next(each for each in candidates if each["id"] == vm["id"])
    settings["http_address"] = http
    settings["peer_address"] = vm["address"]
    settings["store_address"] = store
    settings["vm_list_address"] = vm_list
    return settings
