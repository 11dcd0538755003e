"""Stand-ins for the platform's store, VM list and workers, for tests and demos."""

from mimosapoint_standins.inventory import Inventory, load_inventory
from mimosapoint_standins.server import serve
from mimosapoint_standins.store import store_app
from mimosapoint_standins.vm_list import vm_list_app
from mimosapoint_standins.workers import workers_app

__all__ = [
    "Inventory",
    "load_inventory",
    "serve",
    "store_app",
    "vm_list_app",
    "workers_app",
]
