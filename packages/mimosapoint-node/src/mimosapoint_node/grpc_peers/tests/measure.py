"""Measure the cost of gossip over gRPC, with caller and callee in separate processes.

Start ``serve`` before ``call``. To count the bytes on the wire, start ``relay`` as well and pass
its address to ``call``::

    python -m mimosapoint_node.grpc_peers.tests.measure serve 127.0.0.1:7801 48
    python -m mimosapoint_node.grpc_peers.tests.measure relay 127.0.0.1:7802 127.0.0.1:7801
    python -m mimosapoint_node.grpc_peers.tests.measure call 127.0.0.1:7801 48 2000
"""

import os
import random
import sys
import time
from datetime import timedelta

import attrs
import trio
from mimosapoint.membership import Gossip, NodeState, NullConfigurationSource
from mimosapoint.membership._exchange import Exchanger
from mimosapoint.membership._table import NodeTable
from mimosapoint.memory import TrioClock
from mimosapoint.peers import Dispatcher
from mimosapoint.telemetry import LogTelemetry

from mimosapoint_node.grpc_peers import GrpcPeers, serve_peers

HEARTBEAT = 3_592_670_400
HEARTBEAT_SPREAD = 5
SUMMARIES = int(os.environ.get("SUMMARIES", "2"))
"""Number of summaries that each end changes before an exchange."""

SUMMARY_FIELDS = ("epoch", "queued", "running", "free_slots", "free_accelerators", "at")
REPORT_SECONDS = 2.0
TIMEOUT = timedelta(seconds=1)


class GossipEnd:
    """One end of the exchanges, with a node table of the given size.

    :param number: index of this node.
    :param nodes: number of nodes.
    """

    def __init__(self, number, nodes):
        self.clock = TrioClock()
        self.telemetry = LogTelemetry(f"node-{number:02}")
        self.peers = GrpcPeers(f"node-{number:02}", self.telemetry)
        self.round = 0
        self.random = random.Random(number)
        now = self.clock.now()
        states = [self._state(other) for other in range(nodes)]
        self.table = NodeTable(states[number], now)
        for state in states:
            self.table.merge(state, now)
        self.exchanger = Exchanger(
            self.table, self.peers, self.clock, NullConfigurationSource(), self.telemetry, TIMEOUT
        )

    @staticmethod
    def _state(number):
        id, address = f"node-{number:02}", f"10.0.0.{number}:7000"
        return NodeState(id, 1_796_335_200_000, HEARTBEAT, 0, "mvd-centro", address)

    def advance(self, parity):
        """Give this end newer heartbeats of half of the nodes and newer summaries than the peer.

        :param parity: 0 or 1, selects the nodes at even or odd positions.
        """
        self.round += 1
        records = list(self.table.records_by_id.values())
        for number, record in list(enumerate(records))[parity::2]:
            record.heartbeat = HEARTBEAT + 2 * self.round - number % HEARTBEAT_SPREAD
        for _ in range(SUMMARIES):
            self._change_summary()

    def _change_summary(self):
        record = self.random.choice(list(self.table.records_by_id.values())[2:])
        summary = {name: self.random.randrange(500) for name in SUMMARY_FIELDS}
        state = record.state
        record.state = attrs.evolve(
            state,
            heartbeat=record.heartbeat,
            revision=state.revision + 1,
            attachments={"zones": {f"zone-{state.id}": summary}},
        )


async def serve(address, nodes):
    """Serve exchanges and print the processor time of this end."""
    gossip_end = GossipEnd(1, int(nodes))
    dispatcher = Dispatcher()
    served = 0

    async def gossip(message):
        nonlocal served
        served += 1
        gossip_end.advance(1)
        return gossip_end.exchanger.serve(message)

    dispatcher.handle(Gossip, gossip)
    async with trio.open_nursery() as nursery:
        await nursery.start(serve_peers, address, dispatcher, gossip_end.telemetry)
        while True:
            before, started = served, time.process_time()
            await trio.sleep(REPORT_SECONDS)
            used, calls = time.process_time() - started, served - before
            if calls:
                print(f"served={calls} cpu_ms_per_call={1e3 * used / calls:.3f}", flush=True)
            else:
                print(f"idle cpu_percent={100 * used / REPORT_SECONDS:.3f}", flush=True)


async def call(address, nodes, calls):
    """Make exchanges and print the elapsed time and the processor time of this end."""
    gossip_end = GossipEnd(0, int(nodes))
    await gossip_end.exchanger.exchange(address)
    started, cpu = time.perf_counter(), time.process_time()
    for _ in range(int(calls)):
        gossip_end.advance(0)
        await gossip_end.exchanger.exchange(address)
    elapsed, used = time.perf_counter() - started, time.process_time() - cpu
    number = int(calls)
    print(f"calls={number} ms={1e3 * elapsed / number:.3f} cpu_ms={1e3 * used / number:.3f}")
    text = gossip_end.telemetry.render().decode().splitlines()
    print("\n".join(line for line in text if line.startswith("mimosapoint_peer_bytes")))
    gossip_end.peers.close()


async def relay(listen, target):
    """Forward bytes between both ends and print their number in each direction."""
    counts = {"to callee": 0, "to caller": 0}

    async def copy_bytes(source, sink, direction, scope):
        async for data in source:
            counts[direction] += len(data)
            await sink.send_all(data)
        scope.cancel()

    async def forward(stream):
        host, _, port = target.rpartition(":")
        target_stream = await trio.open_tcp_stream(host, int(port))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(copy_bytes, stream, target_stream, "to callee", nursery.cancel_scope)
            nursery.start_soon(copy_bytes, target_stream, stream, "to caller", nursery.cancel_scope)
        print(counts, flush=True)

    host, _, port = listen.rpartition(":")
    await trio.serve_tcp(forward, int(port), host=host)


ROLES = {role.__name__: role for role in (serve, call, relay)}

if __name__ == "__main__":
    trio.run(ROLES[sys.argv[1]], *sys.argv[2:])
