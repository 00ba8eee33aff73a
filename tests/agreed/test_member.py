"""Members over real files and an in-memory network: proposals, restarts, full disks, damage."""

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
    """Carries messages within the process, each in a later turn of the loop."""

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
    """A directory on a disk that may be full."""

    full = False

    def append(self, name: str, data: bytes) -> None:
        if Tight.full:
            super().append(name, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "No space left on device")
        super().append(name, data)


@pytest.fixture(autouse=True)
def _quick(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, ms in (
        ("ELECTION_MS", 250.0),
        ("HEARTBEAT_MS", 50.0),
        ("FOUNDING_INTERVAL_MS", 50.0),
        ("PULL_RETRY_MS", 50.0),
    ):
        monkeypatch.setattr(timing, name, ms)


def group(net: Net, directory: Path, names: tuple[str, ...] = ("a", "b", "c", "d")) -> list[Member]:
    return [Member(name, directory / name, Pile(), net.port(name), ("a", "b", "c"), names) for name in names]


async def wait_for_leader(members: list[Member]) -> Member:
    while True:
        leaders = [member for member in members if member.status().role == "leader"]
        if leaders:
            return leaders[0]
        await asyncio.sleep(0.01)


def test_proposed_anywhere_agreed_everywhere_and_there_after_a_restart(tmp_path: Path) -> None:
    async def work() -> None:
        net = Net()
        members = group(net, tmp_path)
        applied: list[tuple[int, bytes, bytes]] = []
        members[3].on_apply.append(lambda *args: applied.append(args))
        for member in members:
            await member.start()
        leader = await wait_for_leader(members)
        for i, member in enumerate(members):
            outcome = await member.propose(f"{i}".encode(), 8_000.0)
            assert outcome.how is OutcomeKind.AGREED and member.status().applied >= outcome.index, outcome
        assert (await members[3].read(5_000.0)).how is OutcomeKind.AGREED
        assert [command for _, command, _ in applied] == [b"0", b"1", b"2", b"3"]
        too_large = await leader.propose(b"x" * 6_001, 1_000.0)
        assert too_large.how is OutcomeKind.REFUSED and "6001 bytes" in too_large.why
        net.handlers["b"]("a", b"\x93junk")
        assert members[1].status().dropped["unreadable"] == 1
        await leader.stop()
        others = [member for member in members if member is not leader]
        assert (await wait_for_leader(others)).name != leader.name
        for member in others:
            await member.stop()
        assert (await leader.propose(b"late", 100.0)).how is OutcomeKind.REFUSED
        restarted = group(net, tmp_path)
        for member in restarted:
            await member.start()
            assert member.status().agreed >= 5 and member.status().life == 2
        await wait_for_leader(restarted)
        assert (await restarted[3].propose(b"4", 8_000.0)).how is OutcomeKind.AGREED
        assert restarted[3].machine.taken == [b"0", b"1", b"2", b"3", b"4"]  # type: ignore[attr-defined]
        for member in restarted:
            await member.stop()

    run(work())


def test_a_full_disk_steps_it_down_and_room_brings_it_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        monkeypatch.setattr(module, "REOPEN_SECONDS", 0.05)
        member = Member("a", lambda: Tight(tmp_path), Pile(), Net().port("a"), ("a",))
        await member.start()
        await wait_for_leader([member])
        assert (await member.propose(b"1", 5_000.0)).how is OutcomeKind.AGREED
        Tight.full = True
        unknown = await member.propose(b"2", 5_000.0)
        assert unknown.how is OutcomeKind.UNKNOWN and "No space left" in unknown.why
        assert "No space left" in member.status().trouble
        assert (await member.propose(b"3", 5_000.0)).how is OutcomeKind.REFUSED
        Tight.full = False
        await wait_for_leader([member])
        assert (await member.propose(b"4", 5_000.0)).how is OutcomeKind.AGREED
        assert member.machine.taken in ([b"1", b"4"], [b"1", b"2", b"4"])  # type: ignore[attr-defined]
        await member.stop()

    run(work())


def test_a_damaged_folder_is_refused_with_one_clear_error(tmp_path: Path) -> None:
    async def work() -> None:
        member = Member("a", tmp_path, Pile(), Net().port("a"), ("a",))
        await member.start()
        await wait_for_leader([member])
        for i in range(5):
            await member.propose(b"%d" % i, 5_000.0)
        await member.stop()
        log = next(tmp_path.glob("log-*"))
        data = bytearray(log.read_bytes())
        data[len(data) // 2] ^= 1
        log.write_bytes(data)
        restarted = Member("a", tmp_path, Pile(), Net().port("a"), ("a",))
        await restarted.start()
        assert (
            "damage at byte" in restarted.status().trouble
            and "set the folder aside" in restarted.status().trouble
        )
        assert (await restarted.propose(b"x", 100.0)).how is OutcomeKind.REFUSED
        await restarted.stop()

    run(work())
