"""File descriptors of the watch: none leak, and their shortage only delays it."""

from __future__ import annotations

import asyncio
import os
import resource
from contextlib import suppress

from brassweir.relay.discovery import MAX_UNCONFIRMED_WATCHES
from tests.conftest import run
from tests.relay.virtual_time import BlackholeAddress, Peer, RecordingClient, change, now, run_virtual, says


def descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


def test_connections_never_established_leak_no_descriptors() -> None:
    """After timeouts, and after moves during connection setup."""

    async def scenario() -> None:
        with BlackholeAddress() as here, BlackholeAddress() as there:
            client = RecordingClient(here)
            client.discovery.start()
            await asyncio.sleep(0.01)
            before = descriptors() - 1
            await asyncio.sleep(10.0)
            assert client.discovery.request_count > 50 and client.failures
            for address in (there, here, there, there):
                client.discovery.move(address)
                await asyncio.sleep(0.01)
            assert descriptors() <= before + MAX_UNCONFIRMED_WATCHES
            async with Peer(says(change(2))) as peer:
                client.discovery.move(peer.address)
                await client.wait_for(2)
            client.discovery.stop()
            await asyncio.sleep(0.01)
            assert descriptors() <= before

    run_virtual(scenario())


def test_moves_leak_no_descriptors() -> None:
    """The same after moves alone, on a real event loop."""

    async def scenario() -> None:
        with BlackholeAddress() as here:
            client = RecordingClient(here)
            client.discovery.start()
            await asyncio.sleep(0.01)
            before = descriptors()
            for _ in range(5):
                client.discovery.move(here)
                await asyncio.sleep(0.01)
            assert descriptors() <= before
            client.discovery.stop()

    run(scenario())


def test_a_shortage_of_descriptors_only_delays_the_watch() -> None:
    async def scenario() -> None:
        async with Peer(says(change(2))) as peer:
            client = RecordingClient(peer.address)
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            fillers: list[int] = []
            try:
                resource.setrlimit(
                    resource.RLIMIT_NOFILE, (max(map(int, os.listdir("/proc/self/fd"))) + 2, hard)
                )
                with suppress(OSError):
                    while True:
                        fillers.append(os.dup(0))
                client.discovery.start()
                while not client.failures:
                    await asyncio.sleep(0.001)
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
                for descriptor in fillers:
                    os.close(descriptor)
            began = now()
            assert await client.wait_for(2) - began < 0.25 and "open files" in str(client.failures[0])
            client.discovery.stop()

    run(scenario())
