"""Tests of the settings file: invalid values of every key and reporting of all errors."""

import tempfile
import unittest
from pathlib import Path

from mimosapoint.errors import SettingsInvalid
from mimosapoint.settings import load_settings, parse_settings, settings_reference

VALID_SETTINGS = {
    "id": "node-1",
    "zone": "klang-a",
    "region": "my-central",
    "http_address": "127.0.0.1:22001",
    "peer_address": "127.0.0.1:22101",
    "store_address": "127.0.0.1:22900",
    "vm_list_address": "[::1]:22901",
}
BAD_IDS = ("", "Klang", "a b", "a" * 41, "ñ", 7, None, ["a"])
BAD_ADDRESSES = ("", "127.0.0.1", "localhost:80", "127.0.0.1:0", "127.0.0.1:65536", ":80", 80, None)
BAD_COUNTS = (0, -1, 1.5, "10", True, None, 10**9)
BAD_SECONDS = (0, -1, "1", False, None, float("nan"), float("inf"), 10**9)
BAD_NAMES = ("", "INFO", 3, None)
BAD_VALUES_BY_KEY = {
    "id": BAD_IDS,
    "zone": BAD_IDS,
    "region": BAD_IDS,
    "http_address": BAD_ADDRESSES,
    "peer_address": BAD_ADDRESSES,
    "store_address": BAD_ADDRESSES,
    "vm_list_address": BAD_ADDRESSES,
    "limits.authentication": BAD_NAMES,
    "limits.body_bytes": BAD_COUNTS,
    "limits.header_bytes": (*BAD_COUNTS, 255),
    "limits.connections": BAD_COUNTS,
    "limits.in_flight_requests": BAD_COUNTS,
    "limits.waiting_answers": BAD_COUNTS,
    "configuration.freshness_bound_seconds": (*BAD_SECONDS, 3.1),
    "configuration.poll_after_seconds": BAD_SECONDS,
    "configuration.retry_min_seconds": BAD_SECONDS,
    "configuration.retry_max_seconds": BAD_SECONDS,
    "configuration.settle_timeout_seconds": BAD_SECONDS,
    "configuration.patch_log": BAD_COUNTS,
    "configuration.versions_kept": (-1, 1.5, "10", True, None, 10_001),
    "owner.buckets": (*BAD_COUNTS, 257),
    "owner.commit_interval_seconds": BAD_SECONDS,
    "owner.reservation_ttl_seconds": (*BAD_SECONDS, 3.1),
    "owner.ended_retention_seconds": BAD_SECONDS,
    "workers.lease_ttl_seconds": BAD_SECONDS,
    "workers.lease_wait_seconds": BAD_SECONDS,
    "workers.call_timeout_seconds": BAD_SECONDS,
    "peers.heartbeat_interval_seconds": BAD_SECONDS,
    "peers.call_timeout_seconds": BAD_SECONDS,
    "peers.list_interval_seconds": BAD_SECONDS,
    "store.writes_per_second": BAD_SECONDS,
    "store.call_timeout_seconds": BAD_SECONDS,
    "telemetry.log_level": BAD_NAMES,
    "telemetry.trace_exporter": BAD_NAMES,
}
INCONSISTENT_SETTINGS = (
    ({"configuration": {"poll_after_seconds": 1.5}}, "/configuration/poll_after_seconds: "),
    ({"configuration": {"retry_min_seconds": 3}}, "/configuration/retry_min_seconds: "),
    ({"workers": {"lease_wait_seconds": 13}}, "/workers/lease_wait_seconds: "),
    ({"peer_address": VALID_SETTINGS["http_address"]}, "/peer_address: "),
)


def with_value(key, value):
    *groups, name = key.split(".")
    document = dict(VALID_SETTINGS)
    group_document = document
    for group in groups:
        group_document = group_document.setdefault(group, {})
    group_document[name] = value
    return document


def reasons(document):
    try:
        parse_settings(document)
    except SettingsInvalid as error:
        return error.reasons
    return ()


class SettingsTest(unittest.TestCase):
    def test_bad_values_cover_every_key(self):
        keys = [reference.key for reference in settings_reference()]
        self.assertEqual(list(BAD_VALUES_BY_KEY), keys)

    def test_each_bad_value_gets_one_reason_with_its_path(self):
        for key, values in BAD_VALUES_BY_KEY.items():
            path = "/" + key.replace(".", "/")
            for value in values:
                with self.subTest(key=key, value=value):
                    (reason,) = reasons(with_value(key, value))
                    self.assertTrue(reason.startswith(f"{path}: must be "), reason)

    def test_inconsistent_settings_are_rejected(self):
        for override, expected_prefix in INCONSISTENT_SETTINGS:
            with self.subTest(override=override):
                (reason,) = reasons({**VALID_SETTINGS, **override})
                self.assertTrue(reason.startswith(expected_prefix), reason)

    def test_every_fault_is_listed_at_once(self):
        document = {
            **VALID_SETTINGS,
            "zone": 1,
            "limits": {"body_byte": 5},
            "owner": [],
            "extra": {},
        }
        del document["region"]
        expected = {
            "/zone: must be a string",
            "/region: required",
            "/limits/body_byte: unknown key",
            "/owner: must be a mapping",
            "/extra: unknown key",
        }
        self.assertEqual(set(reasons(document)), expected)

    def test_non_mapping_document_is_rejected(self):
        for document in (None, [], "id", 3):
            with self.subTest(document=document):
                self.assertEqual(reasons(document), ("/: must be a mapping",))

    def test_defaults_and_documentation_are_complete(self):
        settings = parse_settings(VALID_SETTINGS)
        for reference in settings_reference():
            with self.subTest(key=reference.key):
                value = settings
                for name in reference.key.split("."):
                    value = getattr(value, name.removesuffix("_seconds"), None)
                self.assertIsNotNone(value)
                self.assertTrue(reference.doc.endswith("."))
                self.assertNotEqual(reference.allowed, "")

    def test_unreadable_files_are_rejected(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.yaml"
            for content in (None, b"\xff\xfe\xfa", b"id: [", b"", b"- id"):
                with self.subTest(content=content):
                    if content is not None:
                        path.write_bytes(content)
                    with self.assertRaises(SettingsInvalid):
                        load_settings(path)
