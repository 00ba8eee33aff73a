"""What one copy does with versions: when the level is raised, what is told as in force, what operators see."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any, cast

from brassweir.agreed.commands import Join, encode
from brassweir.agreed.facts import Fact, How, InForce, Outcome
from brassweir.agreed.member import Member
from brassweir.agreed.records import Kept
from brassweir.agreed.state import LEADER
from brassweir.configstream.core import ConfiguredCore
from brassweir.configstream.delta import Delta
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.service.configuration import FleetConfiguration
from brassweir.service.following import Holder
from tests.configstream.samples import change, do, entries


class Copy:
    """A leader whose log is its own machine; stands for the member and the group."""

    name = "a"

    def __init__(self, home: Path, follows: bool = True) -> None:
        self.machine = ConfiguredMachine()
        self.facts: list[Fact] = []
        self.there = frozenset({"a"})
        self.on_apply: list[Callable[[int, bytes, bytes], None]] = []
        self.on_restore: list[Callable[[int], None]] = []
        self.core = self.made_core()
        self.holder = Holder()
        self.fleet = FleetConfiguration(
            cast(Member, self), self.machine, self, self.holder if follows else None, home, lambda *_: None
        )

    def made_core(self) -> ConfiguredCore:
        core = ConfiguredCore("a", Kept(), self.machine, Random(1), 0.0, ("a",))
        core.role = LEADER
        return core

    def take(self, fact: Fact) -> None:
        self.facts.append(fact)

    def alive(self) -> frozenset[str]:
        return self.there

    async def propose(self, command: bytes, timeout_ms: float) -> Outcome:
        index = self.machine.state.index + 1
        return Outcome(How.AGREED, index, self.machine.apply(index, command))

    def join(self, name: str, reads: int) -> None:
        self.machine.apply(self.machine.state.index + 1, encode(Join(name, "s", "r", reads)))

    async def look(self, until: Callable[[], bool]) -> None:
        self.fleet.start()
        while not until():
            await asyncio.sleep(0.01)
        self.fleet.abort()


def run(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 20.0))


def test_the_level_is_raised_once_all_that_are_there_are_members_that_read_it(tmp_path: Path) -> None:
    async def work() -> None:
        copy = Copy(tmp_path)
        assert not copy.fleet._may_raise(), "nobody is a member"
        copy.join("a", 2)
        copy.join("b", 1)
        assert not copy.fleet._may_raise(), "b does not read it"
        copy.join("b", 2)
        copy.there = frozenset({"a", "b", "c"})
        assert not copy.fleet._may_raise(), "c is there and no member yet"
        copy.there = frozenset({"a"})
        copy.core.role = "follower"
        assert not copy.fleet._may_raise(), "the leader does it"
        copy.core.role = LEADER
        await copy.look(lambda: copy.machine.state.level == 2)
        assert not copy.fleet._may_raise(), "it is done"

    run(work())


def test_what_is_in_force_is_told_to_the_core_and_again_to_a_new_one(tmp_path: Path) -> None:
    async def work() -> None:
        copy = Copy(tmp_path)
        copy.join("a", 2)
        await copy.look(lambda: copy.machine.state.level == 2)
        assert do(copy.machine, change(copy.machine, Delta(tuple(entries(3))))).ok
        copy.fleet.hear()
        version = copy.machine.configuration.version
        assert copy.facts[-1] == InForce(version) and copy.holder.told == version
        told = len(copy.facts)
        copy.fleet.hear()
        assert len(copy.facts) == told, "once"
        kept = copy.machine.configuration
        copy.machine.configuration = ConfiguredMachine().configuration
        copy.core = copy.made_core()
        copy.fleet.hear()
        assert copy.facts[told:] == [InForce(version)] and copy.holder.told == version, (
            "while it is read anew"
        )
        copy.machine.configuration = kept
        shown = copy.fleet.state()
        assert (shown["version"], shown["in_force"], shown["source"]) == (version, version, "agreed")
        assert shown["endpoints"] == 3 and shown["fleet"]["newest"] == version
        numbers = copy.fleet.counts()
        assert numbers["in_force"] == version and numbers["fleet_copies"] == 1.0

    run(work())


def test_a_copy_that_delivers_by_a_file_holds_versions_and_has_none_in_force(tmp_path: Path) -> None:
    async def work() -> None:
        copy = Copy(tmp_path, follows=False)
        copy.join("a", 2)
        await copy.look(lambda: copy.machine.state.level == 2)
        assert do(copy.machine, change(copy.machine, Delta(tuple(entries(3))))).ok
        copy.fleet.hear()
        assert not copy.facts
        shown = copy.fleet.state()
        assert (shown["source"], shown["in_force"], shown["endpoints"]) == ("file", 0, 3)
        copy.core.role = "follower"
        assert copy.fleet.state()["fleet"] is None and "fleet_newest" not in copy.fleet.counts()

    run(work())
