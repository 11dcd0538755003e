"""Tests of the commands for the configuration, zones, status and settings."""

from pathlib import Path
from tempfile import TemporaryDirectory

import attrs
import orjson
from mimosapoint.codec import encode
from mimosapoint.errors import ConfigurationInvalid, ConfigurationStale

from mimosapoint_cli.tests.cli_case import CliCase, app_fixture

OPERATIONS = '- {op: add, path: /zones/mvd-centro/mode, value: "out"}\n'


class ConfigCommandsTest(CliCase):
    async def test_show_status_and_history(self):
        async with app_fixture().served() as node:
            self.assertIn("version: 3", (await self.run_command("config show", node))[1])
            shown = await self.run_command("config show --json --version 3", node)
            self.assertEqual(3, orjson.loads(shown[1])["version"])
            self.assertEqual(3, (await self.run_command("config show --version 9", node))[0])
            self.assertIn("node-1", (await self.run_command("status", node))[1])
            node.operators.reject("p9", "/zones: none")
            history = await self.run_command("config history", node)
            self.assertEqual(0, history[0])
            self.assertIn("/zones: none", history[1])

    async def test_a_created_token_authenticates_an_operator(self):
        async with app_fixture(authentication="tokens").served() as node:
            self.assertEqual(3, (await self.run_command("config show", node))[0])
            created = orjson.loads((await self.run_command("config token --json"))[1])
            digests = (created["digest"],)
            current = attrs.evolve(node.operators.current, operator_token_digests=digests)
            node.operators.current = current
            self.environment["MIMOSAPOINT_TOKEN"] = created["token"]
            self.assertEqual(0, (await self.run_command("config show", node))[0])

    async def test_patch_from_a_file(self):
        complete_patch = (
            "{id: p1, base: 7, operations: [" + OPERATIONS.removeprefix("- ").strip() + "]}"
        )
        cases = ((OPERATIONS, 3, "patch-"), (complete_patch, 7, "p1"))
        with TemporaryDirectory() as directory:
            path = Path(directory, "patch.yaml")
            async with app_fixture().served() as node:
                for content, base, id in cases:
                    path.write_text(content)
                    code, _, err = await self.run_command(f"config patch {path}", node)
                    self.assertEqual((0, ""), (code, err))
                    sent = node.operators.patches[-1]
                    self.assertEqual((base, id), (sent.base, sent.id[: len(id)]))
                node.operators.errors.append(ConfigurationInvalid(reasons=("/zones/a: gone",)))
                code, _, err = await self.run_command(f"config patch {path}", node)
                self.assertEqual(3, code)
                self.assertIn("/zones/a: gone", err)

    async def test_wait_until_in_force(self):
        async with app_fixture().served() as node:
            self.assertEqual(0, (await self.run_command("zone out mvd-centro --id p1", node))[0])
            wait = "config wait p1 --timeout 0.1"
            self.assertEqual(0, (await self.run_command(wait, node))[0])
            status = node.operators.statuses_by_id["p1"]
            node.operators.statuses_by_id["p1"] = attrs.evolve(status, nodes_pending=("node-2",))
            code, _, err = await self.run_command(wait, node)
            self.assertEqual(5, code)
            self.assertIn("node-2", err)

    async def test_zones_are_taken_out_of_service_and_back(self):
        cases = (
            ("zone out mvd-centro --mode finish", {"mode": "out", "leaving": "finish"}),
            ("zone out mvd-centro", {"mode": "out"}),
            ("zone in mvd-centro", {"mode": "in-service"}),
        )
        async with app_fixture().served() as node:
            for command, values in cases:
                with self.subTest(command=command):
                    self.assertEqual(0, (await self.run_command(command, node))[0])
                    sent = node.operators.patches[-1]
                    paths = {f"/zones/mvd-centro/{key}": value for key, value in values.items()}
                    self.assertEqual(paths, {op["path"]: op["value"] for op in sent.operations})
                    self.assertEqual(3, sent.base)
            self.assertEqual(3, len({patch.id for patch in node.operators.patches}))

    async def test_a_stale_base_is_retried_three_times(self):
        for stale_replies, expected in ((3, 0), (4, 3)):
            with self.subTest(stale_replies=stale_replies):
                async with app_fixture().served() as node:
                    node.operators.errors = [ConfigurationStale(4)] * stale_replies
                    code, _, _ = await self.run_command("zone out mvd-centro", node)
                    self.assertEqual((expected, []), (code, node.operators.errors))

    async def test_files_are_checked_without_a_server(self):
        with TemporaryDirectory() as directory:
            path = Path(directory, "configuration.json")
            path.write_bytes(encode(attrs.evolve(app_fixture().operators.current, version=1)))
            code, out, _ = await self.run_command(f"config check {path}")
            self.assertEqual((0, f"{path}: valid\n"), (code, out))
            path.write_text("zones: [1]\nold: 2\n")
            for command in ("config check", "settings check"):
                code, out, err = await self.run_command(f"{command} {path}")
                self.assertEqual((2, ""), (code, out))
                self.assertIn("old", err)
