"""Members over real files and an in-memory network: proposing anywhere, stopping, full disks, damaged folders."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from pathlib import Path

import pytest

from brassweir.agreed import member as module
from brassweir.agreed import timing
from brassweir.agreed.events import OutcomeKind
from brassweir.agreed.member import Member
from brassweir.journal.storage import DirectoryStorage
from brassweir.lab.models.toys import Pile
from tests.conftest import run


class Net:
    """Carries messages within the process, each in a turn of its own."""

    def __init__(self) -> None:
        self.handlers: dict[str, Callable[[str, bytes], None]] = {}

    def port(self, name: str) -> Wire:
        return Wire(self, name)


class Wire:
    def __init__(self, net: Net, name: str) -> None:
        self.net, self.name = net, name

    def on(self, kind: str, handler: Callable[[str, bytes], None]) -> None:
        assert kind == "log"
        self.net.handlers[self.name] = handler

    def send(self, to: str, kind: str, body: bytes) -> bool:
        handler = self.net.handlers.get(to)
        if handler is not None:
            asyncio.get_running_loop().call_soon(handler, self.name, body)
        return handler is not None


class Tight(DirectoryStorage):
    """A folder on a disk that may be full."""

    full = False

    def append(self, name: str, data: bytes) -> None:
        if Tight.full:
            super().append(name, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "No space left on device")
        super().append(name, data)


@pytest.fixture(autouse=True)
def _quick(monkeypatch: pytest.MonkeyPatch) -> None:
    for what, ms in (
        ("ELECTION_MS", 250.0),
        ("HEARTBEAT_MS", 50.0),
        ("FOUNDING_INTERVAL_MS", 50.0),
        ("PULL_RETRY_MS", 50.0),
    ):
        monkeypatch.setattr(timing, what, ms)


def group(net: Net, folder: Path, names: tuple[str, ...] = ("a", "b", "c", "d")) -> list[Member]:
    return [Member(name, folder / name, Pile(), net.port(name), ("a", "b", "c"), names) for name in names]


async def led(members: list[Member]) -> Member:
    while True:
        found = [member for member in members if member.status().role == "leader"]
        if found:
            return found[0]
        await asyncio.sleep(0.01)


def test_proposed_anywhere_agreed_everywhere_and_there_after_a_restart(tmp_path: Path) -> None:
    async def work() -> None:
        net = Net()
        members = group(net, tmp_path)
        seen: list[tuple[int, bytes, bytes]] = []
        members[3].on_apply.append(lambda *args: seen.append(args))
        for member in members:
            await member.start()
        leader = await led(members)
        for i, member in enumerate(members):
            outcome = await member.propose(f"{i}".encode(), 8_000.0)
            assert outcome.how is OutcomeKind.AGREED and member.status().applied >= outcome.index, outcome
        assert (await members[3].read(5_000.0)).how is OutcomeKind.AGREED
        assert [command for _, command, _ in seen] == [b"0", b"1", b"2", b"3"]
        too_large = await leader.propose(b"x" * 6_001, 1_000.0)
        assert too_large.how is OutcomeKind.REFUSED and "6001 bytes" in too_large.why
        net.handlers["b"]("a", b"\x93junk")
        assert members[1].status().dropped["unreadable"] == 1
        await leader.stop()
        rest = [member for member in members if member is not leader]
        assert (await led(rest)).name != leader.name
        for member in rest:
            await member.stop()
        assert (await leader.propose(b"late", 100.0)).how is OutcomeKind.REFUSED
        again = group(net, tmp_path)
        for member in again:
            await member.start()
            assert member.status().agreed >= 5 and member.status().life == 2
        await led(again)
        assert (await again[3].propose(b"4", 8_000.0)).how is OutcomeKind.AGREED
        assert again[3].machine.taken == [b"0", b"1", b"2", b"3", b"4"]  # type: ignore[attr-defined]
        for member in again:
            await member.stop()

    run(work())


def test_a_full_disk_steps_it_down_and_room_brings_it_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        monkeypatch.setattr(module, "REOPEN_SECONDS", 0.05)
        one = Member("a", lambda: Tight(tmp_path), Pile(), Net().port("a"), ("a",))
        await one.start()
        await led([one])
        assert (await one.propose(b"1", 5_000.0)).how is OutcomeKind.AGREED
        Tight.full = True
        lost = await one.propose(b"2", 5_000.0)
        assert lost.how is OutcomeKind.UNKNOWN and "No space left" in lost.why
        assert "No space left" in one.status().trouble
        assert (await one.propose(b"3", 5_000.0)).how is OutcomeKind.REFUSED
        Tight.full = False
        await led([one])
        assert (await one.propose(b"4", 5_000.0)).how is OutcomeKind.AGREED
        assert one.machine.taken in ([b"1", b"4"], [b"1", b"2", b"4"])  # type: ignore[attr-defined]
        await one.stop()

    run(work())


def test_a_damaged_folder_is_refused_with_one_clear_error(tmp_path: Path) -> None:
    async def work() -> None:
        one = Member("a", tmp_path, Pile(), Net().port("a"), ("a",))
        await one.start()
        await led([one])
        for i in range(5):
            await one.propose(b"%d" % i, 5_000.0)
        await one.stop()
        log = next(tmp_path.glob("log-*"))
        data = bytearray(log.read_bytes())
        data[len(data) // 2] ^= 1
        log.write_bytes(data)
        two = Member("a", tmp_path, Pile(), Net().port("a"), ("a",))
        await two.start()
        assert "damage at byte" in two.status().trouble and "set the folder aside" in two.status().trouble
        assert (await two.propose(b"x", 100.0)).how is OutcomeKind.REFUSED
        await two.stop()

    run(work())
