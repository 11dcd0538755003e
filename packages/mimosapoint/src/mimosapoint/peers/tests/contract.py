"""Contract tests for the adapters of the ``Peers`` port."""

from collections import Counter
from contextlib import asynccontextmanager
from datetime import timedelta

import attrs
import trio

from mimosapoint import errors
from mimosapoint.peers import MESSAGE_LIMIT_BYTES, Dispatcher, peer_message

__all__ = ["Connection", "EchoReply", "EchoRequest", "PeersContract"]

SECOND = timedelta(seconds=1)
SHORT = timedelta(seconds=0.2)


@attrs.frozen
class EchoReply:
    """Reply to :class:`EchoRequest`."""

    text: str


@peer_message("contract-ask", reply=EchoReply)
@attrs.frozen
class EchoRequest:
    """Message whose key selects how the handler of the contract replies.

    :param text: text that the reply repeats after the key.
    :param delay: delay before the reply.
    """

    key: str
    text: str = ""
    delay: timedelta = timedelta()


@peer_message("contract-unserved", reply=EchoReply)
@attrs.frozen
class UnservedMessage:
    """Registered message without a handler."""


@attrs.frozen
class UnregisteredMessage:
    """Class that is not registered as a message."""


@attrs.frozen
class Connection:
    """Connection of a caller to a callee.

    :param peers: adapter of the caller.
    :param address: address of the callee.
    :param unserved_address: address that no node serves.
    """

    peers: object
    address: str
    unserved_address: str


REFUSALS = (
    errors.BadRequest("no", reasons=("a: wrong", "b: wrong")),
    errors.ConfigurationInvalid(reasons=("zones.x: unknown",)),
    errors.ConfigurationStale(7),
    errors.NotOwner("klang-a"),
    errors.StaleEpoch(3),
    errors.CompareFailed(12),
    errors.NewerFormat(4),
    errors.Overloaded("full", retry_after=timedelta(seconds=1.5)),
    errors.NeverFits("gang of 500"),
    errors.MimosapointError("unexpected"),
)

FAULTS = {
    "peer is silent": (EchoRequest("silent"), SHORT, errors.PeerUnreachable, 1),
    "reply is lost after the effect": (
        EchoRequest("effect-then-silent"),
        SHORT,
        errors.PeerUnreachable,
        1,
    ),
    "message is not served": (UnservedMessage(), SECOND, errors.UnknownMessage, 0),
    "class is not registered": (UnregisteredMessage(), SECOND, errors.UnknownMessage, 0),
    "message is over the limit": (
        EchoRequest("large", "x" * MESSAGE_LIMIT_BYTES),
        SECOND,
        errors.MessageTooLarge,
        0,
    ),
    "reply is over the limit": (EchoRequest("large-reply"), 5 * SECOND, errors.MessageTooLarge, 1),
}


class PeersContract:
    """Tests to mix into a test case; the case provides :meth:`connect`."""

    @asynccontextmanager
    async def connect(self, dispatcher):
        """Open a connection to a callee that is served by the dispatcher."""
        raise NotImplementedError
        yield

    @asynccontextmanager
    async def open_connection(self):
        self.effects = Counter()
        dispatcher = Dispatcher()
        dispatcher.handle(EchoRequest, self.handle_request)
        async with self.connect(dispatcher) as connection:
            yield connection

    async def handle_request(self, request):
        self.effects[request.key] += 1
        if request.key.endswith("silent"):
            await trio.sleep_forever()
        if request.key.startswith("refuse-"):
            raise REFUSALS[int(request.key.removeprefix("refuse-"))]
        if request.key == "large-reply":
            return EchoReply("x" * MESSAGE_LIMIT_BYTES)
        await trio.sleep(request.delay.total_seconds())
        return EchoReply(request.key + request.text)

    async def test_reply_round_trips_unchanged(self):
        texts = ("", "Señalización", '"quoted"\n', "x" * 1_000_000)
        async with self.open_connection() as connection:
            for text in texts:
                with self.subTest(length=len(text)):
                    reply = await connection.peers.call(
                        connection.address, EchoRequest("k", text), 5 * SECOND
                    )
                    self.assertEqual(reply, EchoReply("k" + text))

    async def test_refusals_keep_class_and_fields(self):
        async with self.open_connection() as connection:
            for number, refusal in enumerate(REFUSALS):
                with self.subTest(code=refusal.code):
                    with self.assertRaises(type(refusal)) as caught:
                        await connection.peers.call(
                            connection.address, EchoRequest(f"refuse-{number}"), SECOND
                        )
                    self.assertIs(type(caught.exception), type(refusal))
                    self.assertEqual(vars(caught.exception), vars(refusal))

    async def test_faults(self):
        async with self.open_connection() as connection:
            for name, (message, timeout, error, effects) in FAULTS.items():
                with self.subTest(name):
                    self.effects.clear()
                    with self.assertRaises(error):
                        await connection.peers.call(connection.address, message, timeout)
                    self.assertEqual(self.effects.total(), effects)
            reply = await connection.peers.call(connection.address, EchoRequest("after"), SECOND)
            self.assertEqual(reply, EchoReply("after"))

    async def test_absent_peer_is_unreachable(self):
        async with self.open_connection() as connection:
            with self.assertRaises(errors.PeerUnreachable):
                await connection.peers.call(connection.unserved_address, EchoRequest("k"), SECOND)

    async def test_each_caller_gets_its_own_reply_out_of_order(self):
        replies = {}

        async def call(connection, number):
            wait = timedelta(milliseconds=(7 * number) % 30)
            request = EchoRequest(f"k{number}", delay=wait)
            replies[number] = await connection.peers.call(connection.address, request, 5 * SECOND)

        async with self.open_connection() as connection:
            async with trio.open_nursery() as nursery:
                for number in range(40):
                    nursery.start_soon(call, connection, number)
        self.assertEqual(replies, {number: EchoReply(f"k{number}") for number in range(40)})

    async def test_repeated_message_is_served_each_time(self):
        async with self.open_connection() as connection:
            for _ in range(2):
                await connection.peers.call(connection.address, EchoRequest("twice"), SECOND)
            self.assertEqual(self.effects["twice"], 2)

    async def test_cancelled_caller_returns_at_once_and_keeps_the_connection_usable(self):
        async with self.open_connection() as connection:
            with trio.move_on_after(0.05) as scope:
                await connection.peers.call(connection.address, EchoRequest("silent"), 30 * SECOND)
            self.assertTrue(scope.cancelled_caught)
            reply = await connection.peers.call(connection.address, EchoRequest("next"), SECOND)
            self.assertEqual(reply, EchoReply("next"))
