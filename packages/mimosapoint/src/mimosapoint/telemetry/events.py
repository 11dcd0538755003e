"""Registry of log events, and the events of membership, peers, the VM list and telemetry."""

__all__ = ["declare_event", "events_by_name"]

events_by_name: dict[str, str] = {}


def declare_event(name: str, meaning: str) -> str:
    """Add an event to the registry and return its name.

    :param name: name in kebab case.
    :param meaning: when it is logged.
    :raises ValueError: the name is declared already with another meaning.
    """
    if events_by_name.setdefault(name, meaning) != meaning:
        raise ValueError(f"the event {name} is declared twice")
    return name


for _name, _meaning in (
    ("member-live", "A node counts as live from now on."),
    ("member-dead", "A node's heartbeat stopped."),
    ("member-leaving", "A node announced its planned stop."),
    ("member-forgotten", "A silent node that the list of VMs lacks was dropped."),
    ("member-paused", "This node itself was paused; others get time to be heard again."),
    ("configuration-refused", "A configuration that a peer sent cannot be used."),
    ("gossip-failed", "A peer refused gossip, or its gossip could not be used."),
    ("vm-list-unavailable", "The list of VMs cannot be read; the last one stays in use."),
    ("vm-list-available", "The list of VMs can be read again."),
    ("peer-handler-failed", "A handler raised an error that is not typed."),
    ("peers-serving", "The node accepts calls of other nodes."),
    ("span", "One hop of a trace is over."),
    ("undeclared-name", "A metric or event is used that is not declared."),
):
    declare_event(_name, _meaning)
