"""Tests of node processes around signals, as planned work sends them."""

import signal
from pathlib import Path

import trio
from mimosapoint.testing import TrioTestCase

from tools.tests._node_processes import READY_SECONDS, open_node_processes, request_bytes

JOB = "00112233445566ff"
NODES = ("a", "b")
READS = 150


KILL_SECONDS = 6.0
"""Time from SIGTERM to SIGKILL in the settings of the tests."""


class StopTest(TrioTestCase):
    # Guards against requests that a stopping node ends without a reply, as they take longer than it
    # has: the store is silent, and their callers wait longer than for most requests.
    async def test_requests_that_outlast_the_stop_get_a_reply(self):
        async with open_node_processes() as nodes:
            process = await nodes.start("a")
            await nodes.wait_ready("a")
            nodes.store_delay = 30
            statuses = {"GET": [], "POST": []}
            with trio.fail_after(KILL_SECONDS):
                process.terminate()
                await trio.sleep(2)
                async with trio.open_nursery() as nursery:
                    for number in range(40):
                        method = ("GET", "POST")[number % 2]
                        data = request_bytes(method, f"{number:016x}", deadline_ms=10_000)
                        nursery.start_soon(self.append_status, nodes, data, statuses[method])
                self.assertEqual(0, await process.wait())
            self.assertEqual([503] * 20, statuses["GET"])
            self.assertEqual([504] * 20, statuses["POST"])

    # Guards against requests of other nodes that end without a reply, as the node ends once its own
    # callers are served.
    async def test_forwarded_requests_are_finished(self):
        async with open_node_processes() as nodes:
            process = await nodes.start("a")
            await nodes.wait_ready("a")
            nodes.store_delay = 0.8
            statuses = []
            with trio.fail_after(KILL_SECONDS):
                process.terminate()
                await trio.sleep(2.2)
                data = request_bytes("GET", JOB)
                async with trio.open_nursery() as nursery:
                    for _ in range(5):
                        nursery.start_soon(
                            self.append_status, nodes, data, statuses, "peers_address"
                        )
                self.assertEqual(0, await process.wait())
            self.assertEqual([410] * 5, statuses)

    async def append_status(self, nodes, data, statuses, address="callers_address"):
        connection = await nodes.connect("a", address)
        await connection.stream.send_all(data)
        statuses.append(await connection.reply())


class ManyReadsTest(TrioTestCase):
    # Guards against reads that get no state though their callers wait: they wait for a connection,
    # fail after 1 s, and add to the load of a node that is as busy.
    async def test_many_reads_at_once_at_each_node_are_answered(self):
        async with open_node_processes() as nodes:
            for node in NODES:
                await nodes.start(node)
                await nodes.wait_ready(node)
            # Each node has the other in its list after that.
            await trio.sleep(3)
            nodes.store_delay = 0.1
            statuses = []
            async with trio.open_nursery() as nursery:
                for number in range(READS):
                    for node in NODES:
                        nursery.start_soon(self.append_status, nodes, node, number, statuses)
            self.assertEqual([410] * READS * len(NODES), statuses)

    async def append_status(self, nodes, node, number, statuses):
        connection = await nodes.connect(node)
        data = request_bytes("GET", f"{number:016x}", deadline_ms=10_000)
        await connection.stream.send_all(data)
        statuses.append(await connection.reply())


class ReloadTest(TrioTestCase):
    # Guards against a node that a changed settings file ends, as SIGHUP comes while it starts.
    async def test_sighup_does_not_end_a_node_that_is_starting(self):
        async with open_node_processes() as nodes:
            process = await nodes.start("a")
            # What the program does about it can begin only once Python has started.
            with trio.fail_after(READY_SECONDS):
                while not self.ignores_sighup(process.pid):
                    await trio.sleep(0.01)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.signal_often, process)
                await nodes.wait_ready("a")
                nursery.cancel_scope.cancel()
            self.assertIsNone(process.returncode)

    async def signal_often(self, process):
        while True:
            process.send_signal(signal.SIGHUP)
            await trio.sleep(0.02)

    def ignores_sighup(self, process_id):
        status = Path(f"/proc/{process_id}/status").read_text()
        ignored = next(line for line in status.splitlines() if line.startswith("SigIgn:"))
        return bool(int(ignored.split()[1], 16) & 1 << signal.SIGHUP - 1)

    # Guards against a node that a settings file with an impossible date ends, with its requests.
    async def test_no_content_of_the_settings_file_ends_a_node(self):
        async with open_node_processes() as nodes:
            process = await nodes.start("a")
            await nodes.wait_ready("a")
            connection = await nodes.connect("a")
            for content in (
                b"id: 2020-13-45\n",
                b"\xff\n",
                b"- [\n",
                b"{? [a]: b}\n",
                b"0x\n",
                b"",
            ):
                nodes.settings_path("a").write_bytes(content)
                process.send_signal(signal.SIGHUP)
                await trio.sleep(0.1)
                await connection.stream.send_all(request_bytes("GET", JOB))
                with self.subTest(content=content), trio.fail_after(5):
                    self.assertEqual(410, await connection.reply())
            self.assertIsNone(process.returncode)
            self.assertIn("event=settings-refused", nodes.log("a"))
