"""The delay until a change arrives by the watch, after failures of all kinds. Real sockets, virtual time."""

from __future__ import annotations

import asyncio
import time

import pytest

from brassweir.relay.discovery import Hearers
from brassweir.relay.endpoint_list import Change
from tests.conftest import run
from tests.relay.moved import (
    HEAD,
    Heard,
    Manner,
    Peer,
    change,
    chunk,
    moved,
    now,
    only_head,
    says,
    silent,
    trickles,
)

TOLD, MOVED = 6.0, 4.0  # seconds within which a change must arrive, normally and after a move


OPEN = says(change(2), b"\n")
TRICKLE = trickles(HEAD + chunk(change(2)), chunk(b"x"))
HEADLESS = trickles(b"HTTP/1.1 200 ", b"x")


@pytest.mark.parametrize(
    ("first", "then"),
    [
        (OPEN, []),
        (OPEN, [silent]),
        (OPEN, [silent, silent]),
        (OPEN, [only_head]),
        (OPEN, [HEADLESS, HEADLESS]),
        (TRICKLE, []),
        (TRICKLE, [silent, silent]),
    ],
    ids=[
        "silence",
        "and one not answered",
        "and two",
        "and a head alone",
        "and heads that never end",
        "trickle",
        "trickle, then two not answered",
    ],
)
def test_an_open_watch_that_falls_silent_is_made_up_for_in_time(first: Manner, then: list[Manner]) -> None:
    async def play() -> None:
        async with Peer(first, *then, says(change(3))) as peer:
            heard = Heard(peer.address)
            heard.watch.start()
            fell = await heard.until(2)
            assert await heard.until(3) - fell < TOLD, heard.notes
            assert [line.partition("since=")[2].partition(" ")[0] for _, line in peer.seen] == [
                "1",
                *["2"] * (1 + len(then)),
            ]
            heard.watch.stop()

    moved(play())


@pytest.mark.parametrize(
    "then", [[], [silent], [silent, silent], [only_head]], ids=["", "one not answered", "two", "a head alone"]
)
@pytest.mark.parametrize(
    "out",
    [[], [silent], [silent, silent], [only_head]],
    ids=["a patient one", "the next", "the second", "a head"],
)
def test_a_change_is_told_in_time_after_calls_that_failed(out: list[Manner], then: list[Manner]) -> None:
    """The change becomes available just after a request went out that is never answered."""

    async def play() -> None:
        # Many requests first, so that any backoff between them would be at its longest.
        before = [*[silent] * 12, *out]
        async with Peer(*before, *then, says(change(3))) as peer:
            heard = Heard(peer.address)
            heard.watch.start()
            await peer.asked(len(before))
            there = now()
            assert await heard.until(3) - there < TOLD, heard.notes
            heard.watch.stop()

    moved(play())


@pytest.mark.parametrize("then", [[silent, silent], [only_head]], ids=["two not answered", "a head alone"])
def test_a_move_is_made_up_for_in_time(then: list[Manner]) -> None:
    """Just after a watch at the old address has failed."""

    async def play() -> None:
        async with Peer(silent) as old, Peer(*then, says(change(3))) as new:
            heard = Heard(old.address)
            heard.watch.start()
            while not heard.notes:
                await asyncio.sleep(0.01)
            heard.watch.move(new.address)
            left, asked = now(), len(old.seen)
            assert await heard.until(3) - left < MOVED and len(old.seen) == asked
            heard.watch.stop()

    moved(play())


@pytest.mark.parametrize("seconds", [2.0, 3.0, 5.0])
def test_an_agent_that_is_slow_to_answer_is_heard_in_time(seconds: float) -> None:
    async def slow(writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(seconds)
        writer.write(HEAD + chunk(change(2)))

    async def play() -> None:
        async with Peer(slow) as peer:
            heard = Heard(peer.address)
            heard.watch.start()
            await heard.until(2)
            assert now() - peer.seen[0][0] < seconds + 0.1 < TOLD
            heard.watch.stop()

    moved(play(), 10.0)


def test_a_quiet_list_keeps_its_watch() -> None:
    """Without changes the head comes at once, and an empty line every 2 s."""

    async def play() -> None:
        async with Peer(trickles(HEAD, b"")) as idle, Peer(quiet) as peer:
            heard = Heard(peer.address)
            heard.watch.start()
            await asyncio.sleep(20.0)
            assert len(peer.seen) == 1 and not heard.notes
            heard.watch.move(idle.address)
            await idle.asked(2)
            assert heard.notes == ["silent"], "the watch at the old address reports nothing more"
            heard.watch.stop()
            await asyncio.sleep(5.0)
            assert len(peer.seen) == 1 and len(idle.seen) == 2

    moved(play())


@pytest.mark.parametrize("cut", [1, 9, -1])
def test_an_answer_that_stops_within_an_object_holds_up_no_other(cut: int) -> None:
    """The agent is up: the next request gets a complete answer."""
    begun = trickles(HEAD + chunk(change(2)[:cut]), b"")

    async def play() -> None:
        async with Peer(begun, says(change(3))) as peer:
            heard = Heard(peer.address)
            heard.watch.start()
            assert await heard.until(3) - peer.seen[0][0] < 0.3
            heard.watch.stop()

    moved(play())


def test_a_move_to_where_the_watch_is_open_changes_nothing() -> None:
    async def play() -> None:
        async with Peer(quiet) as peer:
            heard = Heard(peer.address)
            heard.watch.start()
            await asyncio.sleep(3.0)
            heard.watch.move(peer.address)
            await asyncio.sleep(8.0)
            assert len(peer.seen) == 1 and not heard.notes
            heard.watch.stop()

    moved(play())


async def quiet(writer: asyncio.StreamWriter) -> None:
    """Send a list that does not change."""
    writer.write(HEAD)
    while True:
        await asyncio.sleep(2.0)
        writer.write(chunk(b"\n"))


def test_lists_may_come_indented_and_in_any_pieces() -> None:
    """Objects span lines and chunks; anything else ends the watch at once."""
    whole = change(2, indent=2) + b"\r\n" + change(3, indent="\t") + change(4)
    bad = says(*(whole[i : i + 7] for i in range(0, len(whole), 7)), b"]\n")

    async def play() -> None:
        async with Peer(bad, says(change(5, indent=1))) as peer:
            heard = Heard(peer.address)
            heard.watch.start()
            began = now()
            assert await heard.until(5) - began < 1.0
            assert [rev for _, rev in heard.told] == [2, 3, 4, 5] and len(peer.seen) == 2
            heard.watch.stop()

    moved(play())


def test_what_lies_in_the_socket_is_read_before_silence_is_believed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The event loop is blocked while a change arrives, and runs its timers before it reads."""
    monkeypatch.setattr("brassweir.relay.watch.SILENT", 0.4)

    async def play() -> None:
        async with Peer(says(change(2))) as peer:
            heard = Heard(peer.address)
            take = heard.watch.hearers.change

            def stand_still(told: Change) -> None:
                take(told)
                if told.rev == 2:
                    peer.write(chunk(change(3)))
                    time.sleep(0.5)

            heard.watch.hearers = Hearers(stand_still)
            heard.watch.start()
            await heard.until(3)
            await asyncio.sleep(0.05)
            assert len(peer.seen) == 1 and not heard.notes
            heard.watch.stop()

    run(play())
