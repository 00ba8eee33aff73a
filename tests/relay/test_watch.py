"""The delay until a change arrives by the watch, after failures of all kinds. Real sockets, virtual time."""

from __future__ import annotations

import asyncio
import time

import pytest

from brassweir.relay.discovery import WatchListeners
from brassweir.relay.endpoint_list import Change
from tests.conftest import run
from tests.relay.virtual_time import (
    HEAD,
    Manner,
    Peer,
    RecordingClient,
    change,
    chunk,
    now,
    run_virtual,
    says,
    send_head_only,
    silent,
    trickles,
)

# Limits for the arrival of a change, normally and after a move.
MAX_DELAY_SECONDS, MAX_MOVE_DELAY_SECONDS = 6.0, 4.0


OPEN = says(change(2), b"\n")
TRICKLE = trickles(HEAD + chunk(change(2)), chunk(b"x"))
HEADLESS = trickles(b"HTTP/1.1 200 ", b"x")


@pytest.mark.parametrize(
    ("first", "then"),
    [
        (OPEN, []),
        (OPEN, [silent]),
        (OPEN, [silent, silent]),
        (OPEN, [send_head_only]),
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
def test_a_change_arrives_in_time_after_a_watch_falls_silent(first: Manner, then: list[Manner]) -> None:
    async def scenario() -> None:
        async with Peer(first, *then, says(change(3))) as peer:
            client = RecordingClient(peer.address)
            client.discovery.start()
            silent_since = await client.wait_for(2)
            assert await client.wait_for(3) - silent_since < MAX_DELAY_SECONDS, client.failures
            assert [line.partition("since=")[2].partition(" ")[0] for _, line in peer.requests] == [
                "1",
                *["2"] * (1 + len(then)),
            ]
            client.discovery.stop()

    run_virtual(scenario())


@pytest.mark.parametrize(
    "then",
    [[], [silent], [silent, silent], [send_head_only]],
    ids=["", "one not answered", "two", "a head alone"],
)
@pytest.mark.parametrize(
    "out",
    [[], [silent], [silent, silent], [send_head_only]],
    ids=["none", "one not answered", "two", "a head alone"],
)
def test_a_change_arrives_in_time_after_failed_requests(out: list[Manner], then: list[Manner]) -> None:
    """The change becomes available just after a request went out that is never answered."""

    async def scenario() -> None:
        # Many requests first, so that any backoff between them would be at its longest.
        before = [*[silent] * 12, *out]
        async with Peer(*before, *then, says(change(3))) as peer:
            client = RecordingClient(peer.address)
            client.discovery.start()
            await peer.wait_for_requests(len(before))
            available_at = now()
            assert await client.wait_for(3) - available_at < MAX_DELAY_SECONDS, client.failures
            client.discovery.stop()

    run_virtual(scenario())


@pytest.mark.parametrize(
    "then", [[silent, silent], [send_head_only]], ids=["two not answered", "a head alone"]
)
def test_a_change_arrives_in_time_after_a_move(then: list[Manner]) -> None:
    """Just after a watch at the old address has failed."""

    async def scenario() -> None:
        async with Peer(silent) as old, Peer(*then, says(change(3))) as new:
            client = RecordingClient(old.address)
            client.discovery.start()
            while not client.failures:
                await asyncio.sleep(0.01)
            client.discovery.move(new.address)
            moved_at, request_count = now(), len(old.requests)
            assert (
                await client.wait_for(3) - moved_at < MAX_MOVE_DELAY_SECONDS
                and len(old.requests) == request_count
            )
            client.discovery.stop()

    run_virtual(scenario())


@pytest.mark.parametrize("seconds", [2.0, 3.0, 5.0])
def test_a_slow_agent_is_not_cut_off(seconds: float) -> None:
    async def slow(writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(seconds)
        writer.write(HEAD + chunk(change(2)))

    async def scenario() -> None:
        async with Peer(slow) as peer:
            client = RecordingClient(peer.address)
            client.discovery.start()
            await client.wait_for(2)
            assert now() - peer.requests[0][0] < seconds + 0.1 < MAX_DELAY_SECONDS
            client.discovery.stop()

    run_virtual(scenario(), 10.0)


def test_a_quiet_list_keeps_its_watch() -> None:
    """Without changes the head comes at once, and an empty line every 2 s."""

    async def scenario() -> None:
        async with Peer(trickles(HEAD, b"")) as idle, Peer(quiet) as peer:
            client = RecordingClient(peer.address)
            client.discovery.start()
            await asyncio.sleep(20.0)
            assert len(peer.requests) == 1 and not client.failures
            client.discovery.move(idle.address)
            await idle.wait_for_requests(2)
            assert client.failures == ["silent"], "the watch at the old address reports nothing more"
            client.discovery.stop()
            await asyncio.sleep(5.0)
            assert len(peer.requests) == 1 and len(idle.requests) == 2

    run_virtual(scenario())


@pytest.mark.parametrize("cut", [1, 9, -1])
def test_a_response_that_stops_within_an_object_delays_no_other(cut: int) -> None:
    """The agent is up: the next request gets a complete answer."""
    begun = trickles(HEAD + chunk(change(2)[:cut]), b"")

    async def scenario() -> None:
        async with Peer(begun, says(change(3))) as peer:
            client = RecordingClient(peer.address)
            client.discovery.start()
            assert await client.wait_for(3) - peer.requests[0][0] < 0.3
            client.discovery.stop()

    run_virtual(scenario())


def test_a_move_to_where_the_watch_is_open_changes_nothing() -> None:
    async def scenario() -> None:
        async with Peer(quiet) as peer:
            client = RecordingClient(peer.address)
            client.discovery.start()
            await asyncio.sleep(3.0)
            client.discovery.move(peer.address)
            await asyncio.sleep(8.0)
            assert len(peer.requests) == 1 and not client.failures
            client.discovery.stop()

    run_virtual(scenario())


async def quiet(writer: asyncio.StreamWriter) -> None:
    """Send a list that does not change."""
    writer.write(HEAD)
    while True:
        await asyncio.sleep(2.0)
        writer.write(chunk(b"\n"))


def test_lists_may_be_indented_and_come_in_any_chunks() -> None:
    """Objects span lines and chunks; anything else ends the watch at once."""
    whole = change(2, indent=2) + b"\r\n" + change(3, indent="\t") + change(4)
    bad = says(*(whole[i : i + 7] for i in range(0, len(whole), 7)), b"]\n")

    async def scenario() -> None:
        async with Peer(bad, says(change(5, indent=1))) as peer:
            client = RecordingClient(peer.address)
            client.discovery.start()
            began = now()
            assert await client.wait_for(5) - began < 1.0
            assert [rev for _, rev in client.changes] == [2, 3, 4, 5] and len(peer.requests) == 2
            client.discovery.stop()

    run_virtual(scenario())


def test_data_in_the_socket_is_read_before_a_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """The event loop is blocked while a change arrives, and runs its timers before it reads."""
    monkeypatch.setattr("brassweir.relay.watch.SILENCE_TIMEOUT_SECONDS", 0.4)

    async def scenario() -> None:
        async with Peer(says(change(2))) as peer:
            client = RecordingClient(peer.address)
            on_change = client.discovery.listeners.on_change

            def block_loop(update: Change) -> None:
                on_change(update)
                if update.rev == 2:
                    peer.write(chunk(change(3)))
                    time.sleep(0.5)

            client.discovery.listeners = WatchListeners(block_loop)
            client.discovery.start()
            await client.wait_for(3)
            await asyncio.sleep(0.05)
            assert len(peer.requests) == 1 and not client.failures
            client.discovery.stop()

    run(scenario())
