"""Gossip membership: live nodes, workers of the VM list, and preferred owners of zones."""

from mimosapoint.membership.configuration_source import ConfigurationSource, NullConfigurationSource
from mimosapoint.membership.core import Membership
from mimosapoint.membership.messages import Gossip, GossipReply, NodeState
from mimosapoint.membership.rendezvous import preferred_owner, preferred_owners, ranked_nodes
from mimosapoint.membership.settings import MembershipSettings

__all__ = [
    "ConfigurationSource",
    "Gossip",
    "GossipReply",
    "Membership",
    "MembershipSettings",
    "NullConfigurationSource",
    "NodeState",
    "preferred_owner",
    "preferred_owners",
    "ranked_nodes",
]
