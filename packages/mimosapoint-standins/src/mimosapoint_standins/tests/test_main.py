"""Tests of the command line and of the inventory."""

import contextlib
import io
import os
import signal
import tempfile
import unittest
from collections import Counter
from pathlib import Path

import trio
from mimosapoint.errors import SettingsInvalid
from mimosapoint.memory import MemoryStore, TrioClock
from mimosapoint.model import VmKind
from mimosapoint.testing import TrioTestCase

from mimosapoint_standins import load_inventory, store_app
from mimosapoint_standins.__main__ import serve_until_signal

EXAMPLES = Path(__file__).resolve().parents[5] / "examples"
VMS = """
vms:
- {id: node-1, kind: entry, zone: klang-a, address: "127.0.0.1:1"}
- {id: worker-1, kind: endpoint, zone: klang-a, address: "127.0.0.1:2", rack: r1}
capacity: {slots: 2, cores: 4}
"""
INVALID_FILES = ("", "[]", "vms: 7", "vms: [{id: a}]", "{", "vms: [2026-01-01]", "a: !!python/x y")


class ServeTest(TrioTestCase):
    async def test_prints_ready_and_stops_on_a_signal(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(signal=number):
                output = io.StringIO()
                with contextlib.redirect_stdout(output), trio.fail_after(5):
                    async with trio.open_nursery() as nursery:
                        app = store_app(MemoryStore(TrioClock()))
                        nursery.start_soon(serve_until_signal, app, ["127.0.0.1:0"])
                        while not output.getvalue():
                            await trio.sleep(0.01)
                        os.kill(os.getpid(), number)
                self.assertRegex(output.getvalue(), r"\Aready address=127\.0\.0\.1:\d+\n\Z")


class InventoryTest(unittest.TestCase):
    def load(self, text: str):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "vms.yaml"
            path.write_text(text)
            return load_inventory(str(path))

    def test_file_is_loaded(self):
        inventory = self.load(VMS)
        self.assertEqual([vm.kind for vm in inventory.vms], [VmKind.ENTRY, VmKind.ENDPOINT])
        self.assertEqual(inventory.capacity.cores, 4)

    def test_examples_are_loaded(self):
        for site in ("agencia", "selat"):
            with self.subTest(site=site):
                inventory = load_inventory(str(EXAMPLES / site / "vms.yaml"))
                kinds = Counter(vm.kind for vm in inventory.vms)
                self.assertEqual(kinds, {VmKind.ENTRY: 8, VmKind.ENDPOINT: 24})

    def test_invalid_files_are_rejected(self):
        for text in INVALID_FILES:
            with self.subTest(text=text), self.assertRaises(SettingsInvalid):
                self.load(text)
        with self.assertRaises(SettingsInvalid):
            load_inventory("/nonexistent")
