"""The endpoint configuration of the fleet at one copy: follows its versions, tells which is in force here,
raises the log's level once all members read it, and shows operators what is in force where."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any, Protocol

from brassweir.agreed.commands import Format, encode
from brassweir.agreed.core_state import LEADER
from brassweir.agreed.events import Outcome, VersionInForce
from brassweir.agreed.member import Member
from brassweir.config.model import ConfigurationModel
from brassweir.configstream.commands import LEVEL
from brassweir.configstream.core import ConfiguredCore
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.service.configuration_view import counts, shown
from brassweir.service.publisher import Note, Publisher
from brassweir.service.version_follower import Follower, PassiveFollower

LOOK = 0.1  # seconds between two looks: at the machine, the core, and the members' levels
RAISING = 3000.0  # ms until a proposal counts as unknown


class LogProposer(Protocol):
    """What is needed of the copy's part in the log."""

    async def propose(self, command: bytes, timeout_ms: float) -> Outcome:
        """Agree on a command."""

    def alive(self) -> frozenset[str]:
        """Copies that are thought to be there, this one among them."""


class FleetConfiguration:
    """One copy's dealings with the versions.

    Without a follower this copy reads its list from a file: it holds the versions, for others and for the day
    that its settings change, and none is in force here.
    """

    def __init__(
        self,
        member: Member,
        machine: ConfiguredMachine,
        group: LogProposer,
        follower: Follower | None,
        base: Path,
        note: Note,
    ) -> None:
        self.member, self.machine, self.group = member, machine, group
        self.follower, self.note = follower, note
        accepts = follower.check if follower is not None else PassiveFollower().check
        self.publisher = Publisher(member.name, machine, group.propose, base, note, accepts)
        self.followed = 0
        self._acknowledged: tuple[object, int] = (None, 0)
        self.task: asyncio.Task[None] | None = None
        if follower is not None:
            follower.on_in_force = lambda _: self._acknowledge()
        member.on_apply.append(lambda *_: self.hear())
        member.on_restore.append(lambda _: self.hear())

    @property
    def core(self) -> ConfiguredCore | None:
        """The member's core, while it takes part."""
        core = self.member.core
        return core if isinstance(core, ConfiguredCore) else None

    def start(self) -> None:
        """Begin to look."""
        self.task = asyncio.create_task(self._run())
        self.task.add_done_callback(self._stopped)

    def _stopped(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self.note("configuration_ended", {"error": repr(error)})

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(LOOK)
            self.hear()
            if self._may_raise():
                await self.group.propose(encode(Format(LEVEL)), RAISING)

    def hear(self) -> None:
        """The machine has changed, or may have. A machine that is being read anew, or carries out what its
        folder held, shows older versions meanwhile: they are passed over."""
        there, core = self.machine.configuration, self.core
        recovered = core is None or core.recovered
        if self.follower is not None and recovered and there.version > self.followed:
            self.followed = there.version
            self.follower.follow(there.version, there.catalog)
        self._acknowledge()

    def _acknowledge(self) -> None:
        """Tell the core what is in force here; a core that is new is told again."""
        core = self.core
        if self.follower is None or core is None:
            return
        said = (core, self.follower.in_force)
        if said != self._acknowledged:
            self._acknowledged = said
            self.member.submit(VersionInForce(self.follower.in_force))

    def _may_raise(self) -> bool:
        """Does this copy lead, and do all members, and all that are alive are, read the next level?"""
        state, core = self.machine.state, self.core
        if core is None or core.role != LEADER or state.level >= LEVEL:
            return False
        all_read = all(one.reads >= LEVEL for one in state.copies.values())
        return bool(state.copies) and all_read and self.group.alive() <= state.copies.keys()

    def reload(self, given: ConfigurationModel | None) -> None:
        """An operator asks: the edited list is to be in force."""
        if given is not None:
            self.publisher.publish(given)

    def state(self) -> dict[str, Any]:
        """What operators are shown."""
        return shown(self.machine, self.core, self.follower, self.publisher.edit)

    def counts(self) -> dict[str, float]:
        """For metrics."""
        return counts(self.machine, self.core, self.follower)

    def abort(self) -> None:
        """End what this copy does of its own."""
        self.publisher.abort()
        if self.task is not None:
            self.task.cancel()
