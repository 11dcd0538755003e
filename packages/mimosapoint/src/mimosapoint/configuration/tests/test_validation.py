"""Tests of validation, with invalid values for every key of the document."""

import copy
import unittest

import attrs

from mimosapoint.configuration import (
    Capacity,
    Configuration,
    Guarantee,
    Patch,
    Policies,
    Service,
    Workspace,
    Zone,
    configuration_warnings,
    parse_configuration,
    validation_errors,
)
from mimosapoint.configuration.operations import apply_patch, to_document
from mimosapoint.configuration.tests._sites import make_configuration, rack_gang
from mimosapoint.errors import ConfigurationInvalid
from mimosapoint.model import Resources

BASE_DOCUMENT = to_document(make_configuration(rack_gang("g", 8, zones=("a",)), version=1))
GUARANTEE_PATH = "/workspaces/desk/guarantees/0"
SERVICE_PATH = "/workspaces/desk/services/bulletins"
CAPACITY_PATH = "/zones/a/capacity"
BAD_TEXTS = ("", "Ñ", "a" * 41, 3, None)
BAD_COUNTS = (0, -1, 1.5, "2", True, None, 10**7)
BAD_AMOUNTS = (-1, 1.5, "2", True, None, 10**7)
BAD_LISTS = ("a", {"a": 1}, None, [1], ["nowhere"])
BAD_CHOICES = ("", "OUT", 3, None, [])
BAD_VALUES_BY_PATH = {
    "/version": (1.5, "1", None, True),
    "/zones": ([], None, "a"),
    "/zones/a": ([], None, "a"),
    "/zones/a/region": BAD_TEXTS,
    "/zones/a/mode": BAD_CHOICES,
    "/zones/a/leaving": BAD_CHOICES,
    "/zones/a/keeps_keys": (1, "yes", None),
    CAPACITY_PATH: ([], None, 2),
    f"{CAPACITY_PATH}/racks": BAD_COUNTS,
    f"{CAPACITY_PATH}/workers_per_rack": BAD_COUNTS,
    f"{CAPACITY_PATH}/worker": ([], None, 2),
    f"{CAPACITY_PATH}/worker/slots": BAD_COUNTS,
    f"{CAPACITY_PATH}/worker/cores": BAD_AMOUNTS,
    f"{CAPACITY_PATH}/worker/memory_gib": BAD_AMOUNTS,
    f"{CAPACITY_PATH}/worker/accelerators": BAD_AMOUNTS,
    "/workspaces": ([], None, "a"),
    "/workspaces/desk": ([], None, "a"),
    "/workspaces/desk/region": (*BAD_TEXTS, "elsewhere"),
    "/workspaces/desk/guarantees": ({}, None, "a"),
    GUARANTEE_PATH: ([], None, "a"),
    f"{GUARANTEE_PATH}/id": BAD_TEXTS,
    f"{GUARANTEE_PATH}/gang": (*BAD_COUNTS, 17),
    f"{GUARANTEE_PATH}/shape": ([], None, 2),
    f"{GUARANTEE_PATH}/shape/slots": BAD_COUNTS,
    f"{GUARANTEE_PATH}/shape/cores": BAD_AMOUNTS,
    f"{GUARANTEE_PATH}/shape/memory_gib": BAD_AMOUNTS,
    f"{GUARANTEE_PATH}/shape/accelerators": BAD_AMOUNTS,
    f"{GUARANTEE_PATH}/adjacency": BAD_CHOICES,
    f"{GUARANTEE_PATH}/count": BAD_COUNTS,
    f"{GUARANTEE_PATH}/zones": BAD_LISTS,
    "/workspaces/desk/may_borrow": (1, "yes", None),
    "/workspaces/desk/grace": (-1, "5", None, True, 10**5, float("nan")),
    "/workspaces/desk/queue_limit": BAD_AMOUNTS,
    "/workspaces/desk/services": ([], None, "a"),
    SERVICE_PATH: ([], None, "a"),
    f"{SERVICE_PATH}/zones": BAD_LISTS,
    f"{SERVICE_PATH}/classes": ("urgent", {}, None, ["soon"], []),
    f"{SERVICE_PATH}/token_digests": ("a", {}, None, ["a"], ["A" * 64], ["a" * 63], [1]),
    "/operator_token_digests": ("a", {}, None, ["a"], ["A" * 64], ["a" * 65], [1]),
    "/policies": ([], None, "a"),
    "/policies/scheduling": ("", "no-such", 3, None),
}
DOCUMENT_CLASSES = (Configuration, Zone, Capacity, Workspace, Guarantee, Service, Policies)


def parent_of(document, path):
    *steps, last = path.removeprefix("/").split("/")
    for step in steps:
        document = document[int(step)] if isinstance(document, list) else document[step]
    return document, int(last) if isinstance(document, list) else last


def with_value(path, value):
    document = copy.deepcopy(BASE_DOCUMENT)
    parent, key = parent_of(document, path)
    parent[key] = value
    return document


def reasons(document):
    try:
        parse_configuration(document)
    except ConfigurationInvalid as error:
        return error.reasons
    return ()


def patch_reasons(before, *operations):
    try:
        apply_patch(before, Patch("p", before.version, operations))
    except ConfigurationInvalid as error:
        return error.reasons
    return ()


class KeyTest(unittest.TestCase):
    def test_bad_values_cover_every_key(self):
        named = {path.rsplit("/", 1)[-1] for path in BAD_VALUES_BY_PATH}
        for document_class in (*DOCUMENT_CLASSES, Resources):
            for field in attrs.fields(document_class):
                with self.subTest(document_class=document_class.__name__, field=field.name):
                    self.assertIn(field.name.removesuffix("_by_id"), named)

    def test_each_bad_value_gets_a_reason_with_its_path(self):
        self.assertEqual(reasons(BASE_DOCUMENT), ())
        for path, values in BAD_VALUES_BY_PATH.items():
            for value in values:
                with self.subTest(path=path, value=value):
                    found = reasons(with_value(path, value))
                    self.assertTrue(any(reason.startswith(path) for reason in found), found)

    def test_each_unknown_key_is_named(self):
        for path in (
            "",
            "/zones/a",
            CAPACITY_PATH,
            f"{CAPACITY_PATH}/worker",
            "/workspaces/desk",
            GUARANTEE_PATH,
            SERVICE_PATH,
            "/policies",
        ):
            with self.subTest(path=path):
                self.assertEqual(
                    reasons(with_value(f"{path}/sise", 1)), (f"{path}/sise: unknown key",)
                )

    def test_bad_ids_are_named(self):
        for group, inner in (
            ("/zones", "a"),
            ("/workspaces", "desk"),
            (SERVICE_PATH[:-10], "bulletins"),
        ):
            for id in ("", "A", "x" * 41, "a b"):
                with self.subTest(group=group, id=id):
                    parent, key = parent_of(BASE_DOCUMENT, f"{group}/{inner}")
                    found = reasons(with_value(f"{group}/{id}", parent[key]))
                    self.assertIn(f"{group}/{id}: the id must be", "".join(found))

    def test_configuration_built_in_code_gets_the_same_checks(self):
        invalid = make_configuration(rack_gang("g", 0), rack_gang("G", 1), racks=-1)
        self.assertEqual(
            validation_errors(invalid),
            (
                "/zones/a/capacity/racks: must be 1 to 1000",
                "/zones/b/capacity/racks: must be 1 to 1000",
                f"{GUARANTEE_PATH}/gang: must be 1 to 1024",
                "/workspaces/desk/guarantees/1/id: must be 1 to 40 of a-z, 0-9 and -",
            ),
        )


class EveryReasonTest(unittest.TestCase):
    def test_value_and_reference_errors_are_reported_together(self):
        document = copy.deepcopy(BASE_DOCUMENT)
        desk = document["workspaces"]["desk"]
        desk["grace"] = "long"
        desk["sise"] = 1
        desk["guarantees"][0]["zones"] = ["nowhere"]
        desk["services"]["bulletins"]["classes"] = []
        document["policies"]["scheduling"] = "no-such"
        self.assertEqual(
            [reason.split(":")[0] for reason in reasons(document)],
            [
                "/workspaces/desk/grace",
                "/workspaces/desk/sise",
                f"{SERVICE_PATH}/classes",
                f"{GUARANTEE_PATH}/zones/0",
                "/policies/scheduling",
            ],
        )

    def test_changes_of_fixed_fields_are_reported_with_other_errors(self):
        found = patch_reasons(
            make_configuration(rack_gang("g", 8), version=1),
            {"op": "replace", "path": "/version", "value": 5},
            {"op": "replace", "path": "/zones/b/region", "value": "q"},
            {"op": "add", "path": "/zones/b/sise", "value": 1},
        )
        self.assertEqual(
            found,
            (
                "/version: cannot change from 1",
                "/zones/b/region: cannot change from r",
                "/zones/b/sise: unknown key",
            ),
        )


class CapacityTest(unittest.TestCase):
    def test_guarantees_must_all_fit_at_once(self):
        cases = (
            ((rack_gang("g", 16, 2),), ()),
            ((rack_gang("g", 16, 3),), (f"{GUARANTEE_PATH}: only 2 of 3 fit",)),
            ((rack_gang("g", 16), rack_gang("h", 9, 2)), ("/1: only 1 of 2 fit",)),
            ((rack_gang("g", 9, 2), rack_gang("h", 7, 2)), ()),
            ((rack_gang("g", 9, 2), rack_gang("h", 8, 1)), ("/1: only 0 of 1 fit",)),
            ((rack_gang("g", 16, 1, ("a",)), rack_gang("h", 1, 1, ("a",))), ("/1: only 0 of 1",)),
            ((rack_gang("g", 17),), (f"{GUARANTEE_PATH}/gang: at most 16 such tasks fit",)),
            ((rack_gang("g", 1), rack_gang("g", 2)), ("/1/id: g is used twice",)),
        )
        for guarantees, expected in cases:
            with self.subTest(guarantees=guarantees):
                found = validation_errors(make_configuration(*guarantees))
                self.assertEqual(len(found), len(expected), found)
                for reason, part in zip(found, expected, strict=True):
                    self.assertIn(part, reason)

    def test_withdrawn_zone_is_accepted_with_warnings(self):
        before = make_configuration(rack_gang("g", 9, 2), version=1)
        withdraw_zone = {"op": "replace", "path": "/zones/a/mode", "value": "out"}
        after = apply_patch(before, Patch("p", 1, (withdraw_zone,)))
        self.assertEqual(after.version, 2)
        self.assertEqual(configuration_warnings(before), ())
        expected = f"{GUARANTEE_PATH}: 1 of 2 held only in zones out of service: a"
        self.assertEqual(configuration_warnings(after), (expected,))


class PatchedTest(unittest.TestCase):
    def test_refused_operations(self):
        before = make_configuration(rack_gang("g", 8), version=1)
        other = {"region": "q", "capacity": to_document(before)["zones"]["a"]["capacity"]}
        cases = (
            ({"op": "replace", "path": "/zones/x/mode", "value": "out"}, "/operations/0: "),
            ({"op": "test", "path": "/version", "value": 9}, "/operations/0: "),
            ({"op": "jump", "path": "/version"}, "/operations/0: "),
            ({"op": "add", "path": "zones", "value": 1}, "/operations/0: "),
            ({"op": "add", "path": 7, "value": 1}, "/operations/0: "),
            ({"path": "/version"}, "/operations/0: "),
            ({}, "/operations/0: "),
            ({"op": "remove", "path": ""}, "/operations/0: "),
            ({"op": "replace", "path": "", "value": []}, "/: must be a mapping"),
            ({"op": "replace", "path": "/version", "value": 7}, "/version: cannot change from 1"),
            ({"op": "replace", "path": "/zones/b", "value": other}, "/zones/b/region: cannot"),
            ({"op": "replace", "path": "/zones", "value": {}}, "/zones/a: cannot be dropped"),
        )
        for operation, expected_prefix in cases:
            with self.subTest(operation=operation):
                found = patch_reasons(before, operation)
                self.assertTrue(found and found[0].startswith(expected_prefix), found)

    def test_removing_all_zones_leaves_workspace_without_region(self):
        found = patch_reasons(
            make_configuration(rack_gang("g", 8), version=1),
            {"op": "replace", "path": "/zones", "value": {}},
        )
        self.assertTrue(found[-1].startswith("/workspaces/desk/region: no"), found)

    def test_idempotency_keys_keep_their_home_zones(self):
        before = make_configuration(rack_gang("g", 8, zones=("a",)), version=1)
        joining_with_keys = to_document(before)["zones"]["b"]
        joining_without_keys = {**joining_with_keys, "keeps_keys": False}
        in_other_region = {**joining_with_keys, "region": "q"}
        cases = (
            (
                [{"op": "add", "path": "/zones/c", "value": joining_with_keys}],
                "/zones/c/keeps_keys: must be",
            ),
            ([{"op": "add", "path": "/zones/c", "value": joining_without_keys}], None),
            ([{"op": "add", "path": "/zones/c", "value": in_other_region}], None),
            ([{"op": "remove", "path": "/zones/b"}], "/zones/b: cannot be dropped"),
            (
                [{"op": "replace", "path": "/zones/b/keeps_keys", "value": False}],
                "/zones/b/keeps_keys: cannot change",
            ),
        )
        for operations, expected_prefix in cases:
            with self.subTest(operations=operations):
                found = patch_reasons(before, *operations)
                if expected_prefix is None:
                    self.assertEqual(found, ())
                else:
                    self.assertTrue(found and found[0].startswith(expected_prefix), found)

    def test_a_workspace_keeps_its_region(self):
        before = make_configuration(rack_gang("g", 8), version=1)
        other = attrs.evolve(before.zones_by_id["a"], region="q")
        before = attrs.evolve(before, zones_by_id={**before.zones_by_id, "c": other})
        move = {"op": "replace", "path": "/workspaces/desk/region", "value": "q"}
        self.assertEqual(
            patch_reasons(before, move), ("/workspaces/desk/region: cannot change from r",)
        )
