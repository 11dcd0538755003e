"""Scheduler for multi-accelerator jobs under workspace guarantees.

There are two schedulers. :mod:`mimosapoint.cell` runs multi-step jobs on a set of availability
zones with one owner. :mod:`mimosapoint.ownership`, :mod:`mimosapoint.placement` and
:mod:`mimosapoint.scheduling` run single gangs, with an owner for each availability zone.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
