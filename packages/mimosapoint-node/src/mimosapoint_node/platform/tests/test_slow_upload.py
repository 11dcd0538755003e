"""Tests of large writes on a slow link."""

from contextlib import asynccontextmanager
from datetime import timedelta
from functools import partial

import trio
from mimosapoint.errors import StoreTimeout
from mimosapoint.ports import ABSENT
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase

from mimosapoint_node.platform import HttpStore

LINK_BYTES_PER_SECOND = 250_000.0
PIECE_BYTES = 8192
TIMEOUT = timedelta(milliseconds=500)
REPLY = b'HTTP/1.1 200 OK\r\nx-revision: 7\r\ncontent-length: 14\r\n\r\n{"revision":7}'


async def read_request(stream, bytes_per_second):
    """Read a request at a limited rate."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive_some(PIECE_BYTES)
    head, _, body = data.partition(b"\r\n\r\n")
    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
    received = len(body)
    while received < int(fields.get(b"content-length", 0)):
        piece = await stream.receive_some(PIECE_BYTES)
        received += len(piece)
        await trio.sleep(len(piece) / bytes_per_second)


@asynccontextmanager
async def slow_store(bytes_per_second=LINK_BYTES_PER_SECOND, replies=True):
    """Serve writes that arrive at a limited rate, and yield a client."""

    async def serve(stream):
        async with stream:
            await read_request(stream, bytes_per_second)
            if not replies:
                await trio.sleep_forever()
            await stream.send_all(REPLY)

    async with trio.open_nursery() as nursery:
        (listener,) = await nursery.start(partial(trio.serve_tcp, host="127.0.0.1"), serve, 0)
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        store = HttpStore(address, MemoryTelemetry(), TIMEOUT)
        yield store
        await store.close()
        nursery.cancel_scope.cancel()


class SlowUploadTest(TrioTestCase):
    # Guards against a write that is ended while its request is still on a slow link.
    async def test_a_write_may_take_as_long_as_the_link_needs_for_it(self):
        async with slow_store() as store:
            with trio.fail_after(4):
                revision = await store.compare_and_swap("bucket", bytes(400_000), ABSENT)
        self.assertEqual(7, revision)

    # Guards against reads that fail because large writes occupy every connection.
    async def test_reads_go_on_while_large_writes_are_on_their_way(self):
        async with slow_store() as store:
            async with trio.open_nursery() as nursery:
                for number in range(20):
                    key = f"bucket-{number}"
                    nursery.start_soon(store.compare_and_swap, key, bytes(200_000), ABSENT)
                await trio.sleep(0.1)
                with trio.fail_after(TIMEOUT / timedelta(seconds=1)):
                    entry = await store.get("configuration")
                self.assertEqual(7, entry.revision)

    async def test_a_small_write_without_a_reply_ends_at_the_timeout(self):
        async with slow_store(replies=False) as store:
            with trio.fail_after(2 * TIMEOUT / timedelta(seconds=1)):
                with self.assertRaises(StoreTimeout):
                    await store.compare_and_swap("bucket", bytes(1_000), ABSENT)
