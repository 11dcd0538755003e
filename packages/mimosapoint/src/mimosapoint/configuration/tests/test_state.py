"""Tests of the encoding of the configuration state."""

import unittest

from mimosapoint.codec import decode, encode
from mimosapoint.configuration import ConfigurationState, Patch, PatchRecord
from mimosapoint.configuration.state import FORMAT, MAGIC, decode_state, encode_state, patch_digest
from mimosapoint.configuration.tests._sites import make_configuration, rack_gang
from mimosapoint.errors import CodecError, NewerFormat

STATE = ConfigurationState(
    FORMAT,
    3,
    make_configuration(rack_gang("g", 8), version=2),
    (PatchRecord("p", "d", 1, 2, True), PatchRecord("q", "e", 2, 0, False, ("/zones: no",))),
)
BAD_BYTES = (b"", b"{}", MAGIC, MAGIC + b"1", MAGIC + b"x\n", MAGIC + b"1\nabc", b"\x00" * 9)


class StateTest(unittest.TestCase):
    def test_round_trip_of_a_state(self):
        self.assertEqual(decode_state(encode_state(STATE)), STATE)
        self.assertEqual(decode(encode(STATE), ConfigurationState), STATE)

    def test_bad_bytes_raise_codec_error(self):
        for data in (*BAD_BYTES, encode_state(STATE)[:-5]):
            with self.subTest(data=data[:40]), self.assertRaises(CodecError):
                decode_state(data)

    def test_newer_format_is_detected_by_the_header_alone(self):
        for format_number in (2, 10):
            with (
                self.subTest(format_number=format_number),
                self.assertRaises(NewerFormat) as caught,
            ):
                decode_state(MAGIC + str(format_number).encode() + b"\nanything")
            self.assertEqual(caught.exception.found, format_number)

    def test_digest_covers_base_and_operations(self):
        operation = {"op": "remove", "path": "/zones/a"}
        patches = (Patch("p", 1, (operation,)), Patch("p", 2, (operation,)), Patch("p", 1, ()))
        self.assertEqual(len({patch_digest(patch) for patch in patches}), 3)
        reordered = dict(reversed(operation.items()))
        self.assertEqual(patch_digest(Patch("q", 1, (reordered,))), patch_digest(patches[0]))
