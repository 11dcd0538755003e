"""Contract that every adapter of the Peers port keeps."""

from collections import Counter
from contextlib import asynccontextmanager
from datetime import timedelta

import attrs
import trio

from mimosapoint import errors
from mimosapoint.peers import MESSAGE_LIMIT_BYTES, Dispatcher, peer_message

__all__ = ["Ask", "Answer", "Link", "PeersContract"]

SECOND = timedelta(seconds=1)
SHORT = timedelta(seconds=0.2)


@attrs.frozen
class Answer:
    """Reply of the contract."""

    text: str


@peer_message("contract-ask", reply=Answer)
@attrs.frozen
class Ask:
    """Message of the contract."""

    key: str
    text: str = ""
    at: timedelta = timedelta()


@peer_message("contract-unserved", reply=Answer)
@attrs.frozen
class Unserved:
    """A message without a handler."""


@attrs.frozen
class Unregistered:
    """A class that is no message."""


@attrs.frozen
class Link:
    """A caller and a callee.

    :param peers: adapter of the caller.
    :param address: address of the callee.
    :param absent: address that nobody serves.
    """

    peers: object
    address: str
    absent: str


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
    "peer is silent": (Ask("silent"), SHORT, errors.PeerUnreachable, 1),
    "reply is lost after the effect": (Ask("effect-then-silent"), SHORT, errors.PeerUnreachable, 1),
    "message is not served": (Unserved(), SECOND, errors.UnknownMessage, 0),
    "class is not registered": (Unregistered(), SECOND, errors.UnknownMessage, 0),
    "message is over the limit": (
        Ask("large", "x" * MESSAGE_LIMIT_BYTES),
        SECOND,
        errors.MessageTooLarge,
        0,
    ),
    "reply is over the limit": (Ask("large-reply"), 5 * SECOND, errors.MessageTooLarge, 1),
}


class PeersContract:
    """Tests to mix into a test case; the case provides :meth:`link`."""

    @asynccontextmanager
    async def link(self, dispatcher):
        """Open a link to a callee that is served by the dispatcher."""
        raise NotImplementedError
        yield

    @asynccontextmanager
    async def open(self):
        self.effects = Counter()
        dispatcher = Dispatcher()
        dispatcher.handle(Ask, self.answer)
        async with self.link(dispatcher) as link:
            yield link

    async def answer(self, ask):
        self.effects[ask.key] += 1
        if ask.key.endswith("silent"):
            await trio.sleep_forever()
        if ask.key.startswith("refuse-"):
            raise REFUSALS[int(ask.key.removeprefix("refuse-"))]
        if ask.key == "large-reply":
            return Answer("x" * MESSAGE_LIMIT_BYTES)
        await trio.sleep(ask.at.total_seconds())
        return Answer(ask.key + ask.text)

    async def test_reply_returns_as_it_was(self):
        texts = ("", "Señalización", '"quoted"\n', "x" * 1_000_000)
        async with self.open() as link:
            for text in texts:
                with self.subTest(length=len(text)):
                    reply = await link.peers.call(link.address, Ask("k", text), 5 * SECOND)
                    self.assertEqual(reply, Answer("k" + text))

    async def test_refusals_keep_class_and_fields(self):
        async with self.open() as link:
            for number, refusal in enumerate(REFUSALS):
                with self.subTest(code=refusal.code):
                    with self.assertRaises(type(refusal)) as caught:
                        await link.peers.call(link.address, Ask(f"refuse-{number}"), SECOND)
                    self.assertIs(type(caught.exception), type(refusal))
                    self.assertEqual(vars(caught.exception), vars(refusal))

    async def test_faults(self):
        async with self.open() as link:
            for name, (message, timeout, error, effects) in FAULTS.items():
                with self.subTest(name):
                    self.effects.clear()
                    with self.assertRaises(error):
                        await link.peers.call(link.address, message, timeout)
                    self.assertEqual(self.effects.total(), effects)
            reply = await link.peers.call(link.address, Ask("after"), SECOND)
            self.assertEqual(reply, Answer("after"))

    async def test_absent_peer_is_unreachable(self):
        async with self.open() as link:
            with self.assertRaises(errors.PeerUnreachable):
                await link.peers.call(link.absent, Ask("k"), SECOND)

    async def test_each_caller_gets_its_own_reply_out_of_order(self):
        replies = {}

        async def call(link, number):
            wait = timedelta(milliseconds=(7 * number) % 30)
            ask = Ask(f"k{number}", at=wait)
            replies[number] = await link.peers.call(link.address, ask, 5 * SECOND)

        async with self.open() as link:
            async with trio.open_nursery() as nursery:
                for number in range(40):
                    nursery.start_soon(call, link, number)
        self.assertEqual(replies, {number: Answer(f"k{number}") for number in range(40)})

    async def test_repeated_message_is_served_each_time(self):
        async with self.open() as link:
            for _ in range(2):
                await link.peers.call(link.address, Ask("twice"), SECOND)
            self.assertEqual(self.effects["twice"], 2)

    async def test_cancelled_caller_returns_at_once_and_leaves_the_link_whole(self):
        async with self.open() as link:
            with trio.move_on_after(0.05) as scope:
                await link.peers.call(link.address, Ask("silent"), 30 * SECOND)
            self.assertTrue(scope.cancelled_caught)
            reply = await link.peers.call(link.address, Ask("next"), SECOND)
            self.assertEqual(reply, Answer("next"))
