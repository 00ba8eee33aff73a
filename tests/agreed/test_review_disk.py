"""A failed write never counts as durable; a stopped member ends its calls as unknown, not refused."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

import msgspec

from brassweir.agreed.disk import Disk
from brassweir.agreed.events import CopiesChanged, Event, Outcome, OutcomeKind, Write, WriteFailed
from brassweir.agreed.member import Member
from brassweir.agreed.records import Ballot
from brassweir.journal.storage import DirectoryStorage
from brassweir.lab.models.toys import Pile
from tests.agreed.test_member import Net
from tests.conftest import run


class Short(DirectoryStorage):
    """One write fails for lack of memory."""

    short = False

    def append(self, name: str, data: bytes) -> None:
        if self.short:
            self.short = False
            raise MemoryError
        super().append(name, data)


def test_no_later_write_covers_one_that_ended_otherwise(tmp_path: Path) -> None:
    async def go() -> list[Event]:
        events: list[Event] = []
        storage = Short(tmp_path)
        disk = Disk(lambda: storage, events.append)
        await disk.open(Random(1))
        storage.short = True
        for token in (1, 2):
            disk.write(Write(token, (Ballot(token, ""),)))
            while disk.task is not None:
                await asyncio.sleep(0.001)
        await disk.close()
        disk.shutdown()
        return events

    first = run(go())[0]
    assert isinstance(first, WriteFailed), "the first write is lost, and a later one must not stand for it"


def test_what_was_sent_before_a_contradiction_is_unknown_at_the_stop(tmp_path: Path) -> None:
    async def go() -> Outcome:
        member = Member("a", tmp_path / "a", Pile(), Net().port("a"), ("a",), ("a",))
        await member.start()
        for _ in range(400):
            await asyncio.sleep(0.005)
            if member.status().role == "leader":
                break
        call = asyncio.create_task(member.propose(b"x", 5_000.0))
        await asyncio.sleep(0)
        core = member.core
        assert core is not None
        step = core.step

        def contradicts(now: float, events: list[Event]) -> list[object]:
            step(now, events)
            raise AssertionError("it cannot be")

        core.step = contradicts  # type: ignore[assignment,method-assign]
        while member.core is not None:
            await asyncio.sleep(0.001)
        await member.stop()
        return await call

    assert run(go()).how is OutcomeKind.UNKNOWN


class Later(Pile):
    """Its snapshots are of a later version."""

    def restore(self, data: bytes) -> None:
        if data != b"\x90":
            raise msgspec.ValidationError("of a later version")


def test_a_version_that_cannot_read_the_state_stands_still_and_the_process_lives(tmp_path: Path) -> None:
    async def go() -> tuple[str, str]:
        net, directory = Net(), tmp_path / "a"
        member = Member("a", directory, Pile(), net.port("a"), ("a",), ("a",))
        await member.start()
        while member.status().role != "leader":
            await asyncio.sleep(0.005)
        assert member.core is not None
        assert (await member.propose(b"x", 5_000.0)).how is OutcomeKind.AGREED
        member.core.snapshot_every = 1
        assert (await member.propose(b"y", 5_000.0)).how is OutcomeKind.AGREED
        snap = member.core.snapshot
        await member.stop()
        old = Member("a", directory, Later(), net.port("a"), ("a",), ("a",))
        await old.start()
        new = Member("b", tmp_path / "b", Later(), net.port("b"), ("a",), ("a", "b"))
        await new.start()
        assert new.core is not None and snap is not None
        new.core.install_snapshot(snap)
        for _ in range(100):
            new.submit(CopiesChanged(("a", "b")))
            await asyncio.sleep(0.005)
        troubles = old.status().trouble, new.status().trouble
        await new.stop()
        await old.stop()
        return troubles

    assert all("later version" in trouble for trouble in run(go()))
