"""gRPC adapter of the ``Peers`` port."""

from mimosapoint_node.grpc_peers.client import GrpcPeers
from mimosapoint_node.grpc_peers.server import serve_peers
from mimosapoint_node.grpc_peers.settings import GrpcPeersSettings

__all__ = ["GrpcPeers", "GrpcPeersSettings", "serve_peers"]
