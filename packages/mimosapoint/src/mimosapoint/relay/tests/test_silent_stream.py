"""Test of a stream between nodes that goes silent without a reset."""

import trio
import trio.testing

from mimosapoint.relay._framed_stream import FramedStream
from mimosapoint.testing import TrioTestCase

CONTACT_SECONDS = 3.0
"""Time for which the platform excuses the effects of a silence."""


class SilentStreamTest(TrioTestCase):
    mock_clock = True

    # Guards against orders that wait for a relay node whose stream is silent.
    async def test_a_silent_stream_ends_within_the_contact_time(self):
        stream, _other_end = trio.testing.memory_stream_pair()
        with trio.fail_after(CONTACT_SECONDS):
            reason = await FramedStream(stream).run(lambda message: None)
        self.assertEqual("silent", reason)
