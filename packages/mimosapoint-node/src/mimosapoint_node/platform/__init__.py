"""Clients of the platform's HTTP interfaces."""

from mimosapoint_node.platform._client import HttpClient, Reply
from mimosapoint_node.platform.store import HttpStore
from mimosapoint_node.platform.vm_list import HttpVmList
from mimosapoint_node.platform.workers import HttpWorkers

__all__ = ["HttpClient", "HttpStore", "HttpVmList", "HttpWorkers", "Reply"]
