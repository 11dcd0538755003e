"""Starts a whole site on loopback as separate processes; no part of the product."""

from tools.site.client import Client
from tools.site.core import Site

__all__ = ["Client", "Site"]
