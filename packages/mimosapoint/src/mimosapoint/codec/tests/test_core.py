"""Tests of the codec."""

import unittest
from datetime import datetime, timezone

from mimosapoint.codec import decode, encode
from mimosapoint.errors import CodecError
from mimosapoint.model import (
    Adjacency,
    Cancelled,
    Failed,
    JobRecord,
    JobRequest,
    JobState,
    MayHaveRun,
    NotRun,
    Succeeded,
)
from mimosapoint.scheduling import ZoneSummary

OUTCOMES = (
    None,
    Succeeded((1, {"screen": "lobby"}, None)),
    Failed("task-failed", "exit 3"),
    Cancelled(True),
    NotRun("never-fits", retry_after=2.5),
    MayHaveRun("worker-lost"),
)
NOW = datetime(2026, 12, 3, 22, 0, tzinfo=timezone.utc)
BAD_RECORDS = (b"", b"{", b"[]", b"null", b"7", b'{"id":"a"}', b"\xff\xfe")


class CodecTest(unittest.TestCase):
    def test_round_trip_of_every_outcome(self):
        for outcome in OUTCOMES:
            with self.subTest(outcome=outcome):
                request = JobRequest("bulletins", "civil-protection", "k1")
                record = JobRecord("z~1", request, JobState.ENDED, NOW, outcome=outcome)
                self.assertEqual(decode(encode(record), JobRecord), record)

    def test_enum_keys_are_encoded_by_value(self):
        largest_blocks = {Adjacency.WORKER: 8, Adjacency.RACK: 48}
        summary = ZoneSummary("z", True, largest_block_by_adjacency=largest_blocks)
        self.assertIn(b'"rack":48', encode(summary))
        self.assertEqual(decode(encode(summary), ZoneSummary), summary)

    def test_bad_bytes_raise_codec_error(self):
        for data in BAD_RECORDS:
            with self.subTest(data=data), self.assertRaises(CodecError):
                decode(data, JobRecord)
