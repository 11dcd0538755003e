"""Tests of the grpc_peers subpackage."""
