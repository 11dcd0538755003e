"""Tests of the example sites."""

import unittest
from collections import Counter
from pathlib import Path

import attrs
import yaml

from mimosapoint.codec.strict import decode_document
from mimosapoint.configuration import (
    ZoneMode,
    configuration_warnings,
    load_configuration,
    load_patch,
)
from mimosapoint.configuration.operations import apply_patch
from mimosapoint.model import Vm, VmKind
from mimosapoint.settings import load_settings

EXAMPLES = Path(__file__).resolve().parents[6] / "examples"
WORKERS_PER_RACK_BY_SITE = {"agencia": 6, "selat": 8}
NODE_NUMBERS = range(1, 9)


def load_vms(site):
    document = yaml.safe_load((EXAMPLES / site / "vms.yaml").read_text())
    return [decode_document(item, Vm) for item in document["vms"]]


def load_site_configuration(site):
    return load_configuration(EXAMPLES / site / "configuration.yaml")


class ExamplesTest(unittest.TestCase):
    def test_each_site_has_its_workers_in_full_racks(self):
        for site, workers_per_rack in WORKERS_PER_RACK_BY_SITE.items():
            with self.subTest(site=site):
                workers = [vm for vm in load_vms(site) if vm.kind is VmKind.ENDPOINT]
                self.assertEqual(len(workers), 24)
                racks = Counter((vm.zone, vm.rack) for vm in workers)
                self.assertEqual(set(racks.values()), {workers_per_rack})
                self.assertEqual(
                    {zone for zone, _ in racks}, set(load_site_configuration(site).zones_by_id)
                )

    def test_guarantees_hold_with_any_one_zone_out(self):
        for site in WORKERS_PER_RACK_BY_SITE:
            full_configuration = load_site_configuration(site)
            for id, zone in full_configuration.zones_by_id.items():
                with self.subTest(site=site, zone=id):
                    withdrawn = {
                        **full_configuration.zones_by_id,
                        id: attrs.evolve(zone, mode=ZoneMode.OUT),
                    }
                    self.assertEqual(
                        configuration_warnings(
                            attrs.evolve(full_configuration, zones_by_id=withdrawn)
                        ),
                        (),
                    )

    def test_settings_agree_with_the_list_of_vms(self):
        addresses = Counter()
        for site in WORKERS_PER_RACK_BY_SITE:
            nodes = [
                load_settings(EXAMPLES / site / f"node-{number}.yaml") for number in NODE_NUMBERS
            ]
            entries = [vm for vm in load_vms(site) if vm.kind is VmKind.ENTRY]
            expected = {(vm.id, vm.zone, vm.address) for vm in entries}
            self.assertEqual({(n.id, n.zone, n.peer_address) for n in nodes}, expected)
            addresses.update(vm.address for vm in load_vms(site))
            addresses.update(node.http_address for node in nodes)
        self.assertEqual(set(addresses.values()), {1})

    def test_rehearsal_patches_withdraw_and_restore_a_zone(self):
        for site in WORKERS_PER_RACK_BY_SITE:
            with self.subTest(site=site):
                before = load_site_configuration(site)
                withdrawn = apply_patch(
                    before, load_patch(EXAMPLES / "rehearsal" / f"{site}-zone-out.yaml")
                )
                modes = Counter(zone.mode for zone in withdrawn.zones_by_id.values())
                self.assertEqual(modes[ZoneMode.OUT], 1)
                after_return = apply_patch(
                    withdrawn, load_patch(EXAMPLES / "rehearsal" / f"{site}-zone-in.yaml")
                )
                self.assertEqual(after_return, attrs.evolve(before, version=3))
