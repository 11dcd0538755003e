"""Tests of the sites that ship as examples."""

import unittest
from collections import Counter
from pathlib import Path

import attrs
import yaml

from mimosapoint.codec.strict import decode_document
from mimosapoint.configuration import ZoneMode, load_configuration, load_patch, warnings
from mimosapoint.configuration.operations import apply_patch
from mimosapoint.model import Vm, VmKind
from mimosapoint.settings import load_settings

EXAMPLES = Path(__file__).resolve().parents[6] / "examples"
WORKERS_PER_RACK_BY_SITE = {"agencia": 6, "selat": 8}
NODES = range(1, 9)


def vms(site):
    document = yaml.safe_load((EXAMPLES / site / "vms.yaml").read_text())
    return [decode_document(item, Vm) for item in document["vms"]]


def configuration(site):
    return load_configuration(EXAMPLES / site / "configuration.yaml")


class ExamplesTest(unittest.TestCase):
    def test_each_site_has_its_workers_in_full_racks(self):
        for site, per_rack in WORKERS_PER_RACK_BY_SITE.items():
            with self.subTest(site=site):
                workers = [vm for vm in vms(site) if vm.kind is VmKind.ENDPOINT]
                self.assertEqual(len(workers), 24)
                racks = Counter((vm.zone, vm.rack) for vm in workers)
                self.assertEqual(set(racks.values()), {per_rack})
                self.assertEqual({zone for zone, _ in racks}, set(configuration(site).zones_by_id))

    def test_guarantees_hold_with_any_one_zone_out(self):
        for site in WORKERS_PER_RACK_BY_SITE:
            whole = configuration(site)
            for id, zone in whole.zones_by_id.items():
                with self.subTest(site=site, zone=id):
                    out = {**whole.zones_by_id, id: attrs.evolve(zone, mode=ZoneMode.OUT)}
                    self.assertEqual(warnings(attrs.evolve(whole, zones_by_id=out)), ())

    def test_settings_agree_with_the_list_of_vms(self):
        addresses = Counter()
        for site in WORKERS_PER_RACK_BY_SITE:
            nodes = [load_settings(EXAMPLES / site / f"node-{number}.yaml") for number in NODES]
            entries = [vm for vm in vms(site) if vm.kind is VmKind.ENTRY]
            expected = {(vm.id, vm.zone, vm.address) for vm in entries}
            self.assertEqual({(n.id, n.zone, n.peer_address) for n in nodes}, expected)
            addresses.update(vm.address for vm in vms(site))
            addresses.update(node.http_address for node in nodes)
        self.assertEqual(set(addresses.values()), {1})

    def test_the_rehearsal_takes_a_zone_out_and_back(self):
        for site in WORKERS_PER_RACK_BY_SITE:
            with self.subTest(site=site):
                first = configuration(site)
                out = apply_patch(
                    first, load_patch(EXAMPLES / "rehearsal" / f"{site}-zone-out.yaml")
                )
                modes = Counter(zone.mode for zone in out.zones_by_id.values())
                self.assertEqual(modes[ZoneMode.OUT], 1)
                back = apply_patch(out, load_patch(EXAMPLES / "rehearsal" / f"{site}-zone-in.yaml"))
                self.assertEqual(back, attrs.evolve(first, version=3))
