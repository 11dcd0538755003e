"""Tests of usage, servers and exit codes."""

from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory

import trio
from mimosapoint.errors import OutcomeUnknown

from mimosapoint_cli.tests.cli_case import CliCase, app_fixture

SUBMIT = "job submit --service s"

BAD_COMMANDS = (
    ("jobs", "Could not consume"),
    ("job status", "required argument: id"),
    ("job status a b c", "Could not consume"),
    ("job submit --service s --bogus 1", "--bogus"),
    ("zone out mvd-centro --mode drop", "--mode"),
    ("zone out nowhere", "no availability zone 'nowhere'; there are mvd-centro"),
    ("config show --version x", "--version"),
    ("config wait p --timeout -1", "--timeout"),
    ("config wait p --timeout nan", "--timeout"),
    ("config patch /nonexistent", "/nonexistent"),
    ("config check /nonexistent", "/nonexistent"),
    ("settings check /nonexistent", "/nonexistent"),
    ("job list --json=maybe", "--json"),
    (SUBMIT + " --gang four", "--gang"),
    (SUBMIT + " --gang 0", "/gang"),
    (SUBMIT + " --class soon", "/class"),
    (SUBMIT + " --repeatable perhaps", "--repeatable"),
    (SUBMIT + " --payload {", "--payload"),
    (SUBMIT + " --wait inf", "--wait"),
    (SUBMIT + " --key \x07", "--key"),
    (SUBMIT + " --file /nonexistent", "/nonexistent"),
    ("job submit", "/service"),
    ("job list --server 127.0.0.1", "not IP:port"),
    ("job list --server 127.0.0.1:x,", "not IP:port"),
)

BAD_FILES = (b"\xff\xfe\xfa", b"a: [", b"[1]", b"shape: 3", b"{1: 2}", b"")


class UsageTest(CliCase):
    async def test_bad_usage_sends_nothing_and_shows_no_stack_trace(self):
        async with app_fixture().served() as node:
            for command, expected_error in BAD_COMMANDS:
                with self.subTest(command=command):
                    code, _, err = await self.run_command(command, node)
                    self.assertEqual(2, code, err)
                    self.assertIn(expected_error, err)
                    self.assertNotIn("Traceback", err)
            self.assertEqual(([], []), (node.jobs.requests, node.operators.patches))

    async def test_bad_files(self):
        with TemporaryDirectory() as directory:
            path = Path(directory, "file")
            async with app_fixture().served() as node:
                for content in BAD_FILES:
                    path.write_bytes(content)
                    for command in (f"job submit --file {path}", f"config patch {path}"):
                        with self.subTest(content=content, command=command.split()[0]):
                            code, _, err = await self.run_command(command, node)
                            self.assertEqual(2, code, err)
                            self.assertNotIn("Traceback", err)

    async def test_help_exits_with_zero(self):
        for command in ("", "job", "job submit --help"):
            self.assertEqual(0, (await self.run_command(command))[0])


class ServersTest(CliCase):
    async def test_the_next_server_is_tried(self):
        async with app_fixture().served() as node:
            self.environment["MIMOSAPOINT_SERVER"] = f"127.0.0.1:1,{node.address}"
            self.assertEqual(0, (await self.run_command("job list"))[0])

    async def test_unreachable_or_missing_servers(self):
        code, _, err = await self.run_command(SUBMIT + " --server 127.0.0.1:1 --key k7")
        self.assertEqual(4, code)
        self.assertIn("repeat with --key k7", err)
        self.assertEqual(2, (await self.run_command("job list"))[0])

    async def test_an_unknown_outcome_is_repeated_with_the_same_key(self):
        async with app_fixture().served() as node:
            submit = node.jobs.submit
            keys = []

            async def fail_twice(request, trace=None):
                keys.append(request.idempotency_key)
                if len(keys) < 3:
                    raise OutcomeUnknown()
                return await submit(request, trace)

            node.jobs.submit = fail_twice
            self.assertEqual(0, (await self.run_command(SUBMIT, node))[0])
            self.assertEqual((3, 1), (len(keys), len(set(keys))))
            node.jobs.error = OutcomeUnknown()
            self.assertEqual(4, (await self.run_command(SUBMIT, node))[0])

    async def test_a_server_that_does_not_reply_in_json(self):
        async def send_text(stream):
            async with stream:
                await stream.receive_some()
                await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi")

        async with trio.open_nursery() as nursery:
            serve = partial(trio.serve_tcp, send_text, 0, host="127.0.0.1")
            listeners = await nursery.start(serve)
            port = listeners[0].socket.getsockname()[1]
            code, _, err = await self.run_command(f"job list --server 127.0.0.1:{port}")
            self.assertEqual(3, code)
            self.assertIn("not JSON", err)
            nursery.cancel_scope.cancel()
