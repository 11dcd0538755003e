"""Sites of separate processes on loopback for tools and tests; not part of the product."""

from tools.site.client import Client
from tools.site.core import Site

__all__ = ["Client", "Site"]
