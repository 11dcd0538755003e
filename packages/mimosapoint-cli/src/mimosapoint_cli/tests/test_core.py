"""Tests of usage, servers and exit codes."""

from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

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

REPLY_TIMEOUT = "mimosapoint_cli.client.REPLY_TIMEOUT_SECONDS"


def _reply(status, body):
    return b"HTTP/1.1 %d x\r\ncontent-length: %d\r\n\r\n%b" % (status, len(body), body)


NO_JOBS = _reply(200, b'{"jobs":[]}')
NOT_OWNER = _reply(503, b'{"code":"not-cell-owner"}')

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
        async with self.scripted_server([[_reply(200, b"hi")]]) as (address, _):
            code, _, err = await self.run_command(f"job list --server {address}")
            self.assertEqual(3, code)
            self.assertIn("not JSON", err)

    # Guards against a command that waits without end for a connection that went silent, or gives up
    # although a new one works.
    async def test_a_silent_connection_is_replaced(self):
        cases = {
            "from the start": ([[], [NO_JOBS]], 0),
            "after a reply that asks for a repetition": ([[NOT_OWNER], [NO_JOBS]], 0),
            "each": ([[], [], []], 4),
        }
        for name, (connections, expected) in cases.items():
            with self.subTest(silent=name), mock.patch(REPLY_TIMEOUT, 0.3):
                async with self.scripted_server(connections) as (address, received):
                    code, _, err = await self.run_command(f"job list --server {address}")
                    self.assertEqual(expected, code, err)
                    self.assertEqual(len(connections), len(received))

    # Guards against a second job, as the first server may have the submission and is silent.
    async def test_a_submission_after_a_silent_server_has_the_same_key(self):
        async with app_fixture().served() as node, self.scripted_server([[]]) as (silent, received):
            self.environment["MIMOSAPOINT_SERVER"] = f"{silent},{node.address}"
            with mock.patch(REPLY_TIMEOUT, 0.3):
                self.assertEqual(0, (await self.run_command(SUBMIT))[0])
            (request,) = node.jobs.requests
            self.assertIn(request.idempotency_key.encode(), received[0])

    @asynccontextmanager
    async def scripted_server(self, connections):
        """Serve the replies given for each connection, which is silent after its last reply."""
        received = []

        async def handle(stream):
            number = len(received)
            received.append(b"")
            replies = list(connections[number])
            async for part in stream:
                received[number] += part
                if replies:
                    await stream.send_all(replies.pop(0))

        async with trio.open_nursery() as nursery:
            serve = partial(trio.serve_tcp, handle, 0, host="127.0.0.1")
            listeners = await nursery.start(serve)
            yield f"127.0.0.1:{listeners[0].socket.getsockname()[1]}", received
            nursery.cancel_scope.cancel()
