"""Inventory file of the VMs that the stand-ins simulate."""

from pathlib import Path

import attrs
import yaml
from mimosapoint.codec import decode, to_json
from mimosapoint.errors import CodecError, SettingsInvalid
from mimosapoint.model import Resources, Vm

__all__ = ["Inventory", "load_inventory"]


@attrs.frozen
class Inventory:
    """VMs and the capacity of each worker.

    :param vms: the VMs.
    :param capacity: resources of the worker on each endpoint VM.
    """

    vms: tuple[Vm, ...]
    capacity: Resources = Resources(slots=8, cores=128, memory_gib=256, accelerators=8)


def load_inventory(path: str) -> Inventory:
    """Load an inventory from a YAML file.

    :raises SettingsInvalid: the file is unreadable or is not a valid inventory.
    """
    try:
        return decode(to_json(yaml.safe_load(Path(path).read_text())), Inventory)
    except (OSError, yaml.YAMLError, CodecError, TypeError) as error:
        raise SettingsInvalid(f"{path}: {error}") from error
