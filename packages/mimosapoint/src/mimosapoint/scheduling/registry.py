"""Registry of scheduling policies, filled by a decorator."""

from collections.abc import Callable
from typing import Protocol

from mimosapoint.errors import BadRequest
from mimosapoint.model import JobRecord
from mimosapoint.scheduling.view import Decision, ZoneView

__all__ = ["Policy", "make_policy", "policy_names", "scheduling_policy"]


class Policy(Protocol):
    """Decides for one availability zone; it may use the history of ended jobs."""

    def decide(self, view: ZoneView) -> Decision:
        """Return the decision for the view, which is not changed."""
        ...

    def drain_order(self, view: ZoneView) -> list[str]:
        """Return the running jobs in the order in which a withdrawn zone stops them."""
        ...

    def job_ended(self, record: JobRecord) -> None:
        """Update the policy's history with an ended job."""
        ...


_factories_by_name: dict[str, Callable[[], Policy]] = {}


def scheduling_policy(name: str) -> Callable[[type], type]:
    """Return a decorator that registers a policy class.

    :param name: name of the policy in the configuration.
    """

    def register(policy_class: type) -> type:
        _factories_by_name[name] = policy_class
        return policy_class

    return register


def policy_names() -> tuple[str, ...]:
    """Return the registered names in alphabetical order."""
    return tuple(sorted(_factories_by_name))


def make_policy(name: str) -> Policy:
    """Return a new policy.

    :raises BadRequest: no policy has that name.
    """
    factory = _factories_by_name.get(name)
    if factory is None:
        raise BadRequest(f"no scheduling policy {name}; there are {', '.join(policy_names())}")
    return factory()
