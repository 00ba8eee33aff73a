"""An agent that takes its time for each answer, one of which never ends. Real sockets, virtual time."""

from __future__ import annotations

import asyncio

import pytest

from brassweir.relay.discovery import MAX_UNCONFIRMED_WATCHES, REQUEST_INTERVAL_SECONDS
from tests.relay.virtual_time import (
    HEAD,
    Manner,
    Peer,
    RecordingClient,
    change,
    chunk,
    now,
    run_virtual,
    silent,
)

ANSWER_SECONDS = [0.05, 0.15, 0.25, 0.35, 0.6, 1.0, 1.5]
MARGIN_SECONDS = 2.0 * REQUEST_INTERVAL_SECONDS  # "and a bit": until the request behind the one that stopped


def slow(seconds: float, data: bytes) -> Manner:
    """Send a response head and these bytes after some time, then nothing."""

    async def manner(writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(seconds)
        writer.write(HEAD + data)

    return manner


def half(seconds: float) -> Manner:
    return slow(seconds, chunk(change(2)[:9]))


async def most_open_requests(client: RecordingClient) -> int:
    """Return the most requests that were open at a time, until cancelled or a change has come."""
    most = 0
    while not client.changes:
        most = max(most, len(client.discovery.unconfirmed_watches))
        await asyncio.sleep(0.01)
    return most


@pytest.mark.parametrize("stops", [0, 1, 2, 5])
@pytest.mark.parametrize("how", ["half", "no answer"])
@pytest.mark.parametrize("seconds", ANSWER_SECONDS)
def test_a_newer_list_is_learned_within_one_answer_time(seconds: float, how: str, stops: int) -> None:
    """Guards against requests that are all given up before a slow agent can answer them."""
    whole = slow(seconds, chunk(change(3)))
    never = half(seconds) if how == "half" else silent

    async def scenario() -> None:
        async with Peer(*[whole] * stops, never, whole) as peer:
            client = RecordingClient(peer.address)
            open_requests = asyncio.ensure_future(most_open_requests(client))
            began = now()
            client.discovery.start()
            assert await client.wait_for(3) - began < seconds + MARGIN_SECONDS
            assert await open_requests <= MAX_UNCONFIRMED_WATCHES
            client.discovery.stop()

    run_virtual(scenario())


@pytest.mark.parametrize("seconds", ANSWER_SECONDS)
def test_an_agent_that_comes_back_slow_is_noticed(seconds: float) -> None:
    """Requests sent while it was down are never answered; the two oldest keep their places for a while."""

    async def scenario() -> None:
        up = asyncio.Event()

        async def manner(writer: asyncio.StreamWriter) -> None:
            if up.is_set():
                await slow(seconds, chunk(change(3)))(writer)

        async with Peer(manner) as peer:
            client = RecordingClient(peer.address)
            client.discovery.start()
            await asyncio.sleep(10.0)
            up.set()
            came_back = now()
            assert await client.wait_for(3) - came_back < 6.0
            client.discovery.stop()

    run_virtual(scenario())
