"""The fleet's endpoint configuration at one copy.

Follows the versions in the agreed log, acknowledges the one in force here, raises the log's format level once
all members can read it, and shows operators which version is in force where.
"""

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
from brassweir.service.configuration_view import counts, state_tree
from brassweir.service.publisher import Note, Publisher
from brassweir.service.version_follower import Follower, PassiveFollower

CHECK_INTERVAL_SECONDS = 0.1
PROPOSAL_TIMEOUT_MS = 3000.0


class LogProposer(Protocol):
    """The operations of the agreed log that this module uses."""

    async def propose(self, command: bytes, timeout_ms: float) -> Outcome:
        """Propose a command and wait for its outcome."""

    def alive(self) -> frozenset[str]:
        """Return the names of the copies believed alive, this one included."""


class FleetConfiguration:
    """Follows and acknowledges versions, and publishes this copy's edits.

    Without a follower, this copy reads its list from a file: it stores the versions for the others, and none
    is in force here.
    """

    def __init__(
        self,
        member: Member,
        machine: ConfiguredMachine,
        proposer: LogProposer,
        follower: Follower | None,
        base: Path,
        note: Note,
    ) -> None:
        self.member, self.machine, self.proposer = member, machine, proposer
        self.follower, self.note = follower, note
        check_list = follower.check if follower is not None else PassiveFollower().check
        self.publisher = Publisher(member.name, machine, proposer.propose, base, note, check_list)
        self.followed_version = 0
        self._acknowledged: tuple[object, int] = (None, 0)
        self.task: asyncio.Task[None] | None = None
        if follower is not None:
            follower.on_in_force = lambda _: self._acknowledge()
        member.on_apply.append(lambda *_: self.apply_changes())
        member.on_restore.append(lambda _: self.apply_changes())

    @property
    def core(self) -> ConfiguredCore | None:
        """The member's core; None while the member is not running."""
        core = self.member.core
        return core if isinstance(core, ConfiguredCore) else None

    def start(self) -> None:
        """Start the periodic check."""
        self.task = asyncio.create_task(self._run())
        self.task.add_done_callback(self._stopped)

    def _stopped(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self.note("configuration_ended", {"error": repr(error)})

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self.apply_changes()
            if self._should_raise_level():
                await self.proposer.propose(encode(Format(LEVEL)), PROPOSAL_TIMEOUT_MS)

    def apply_changes(self) -> None:
        """Pass the newest version to the follower.

        Versions that the state machine goes through while it replays its stored log are skipped.
        """
        current, core = self.machine.configuration, self.core
        recovered = core is None or core.recovered
        if self.follower is not None and recovered and current.version > self.followed_version:
            self.followed_version = current.version
            self.follower.follow(current.version, current.catalog)
        self._acknowledge()

    def _acknowledge(self) -> None:
        """Report the version in force to the core, at each change and to each new core."""
        core = self.core
        if self.follower is None or core is None:
            return
        acknowledgement = (core, self.follower.in_force)
        if acknowledgement != self._acknowledged:
            self._acknowledged = acknowledgement
            self.member.submit(VersionInForce(self.follower.in_force))

    def _should_raise_level(self) -> bool:
        """Whether this copy leads, all live copies are members, and all members read the next level."""
        state, core = self.machine.state, self.core
        if core is None or core.role != LEADER or state.level >= LEVEL:
            return False
        all_read = all(copy.reads >= LEVEL for copy in state.copies.values())
        return bool(state.copies) and all_read and self.proposer.alive() <= state.copies.keys()

    def reload(self, configuration: ConfigurationModel | None) -> None:
        """Publish the edited list, if the settings name one."""
        if configuration is not None:
            self.publisher.publish(configuration)

    def state(self) -> dict[str, Any]:
        """Return the state shown at ``/configuration``."""
        return state_tree(self.machine, self.core, self.follower, self.publisher.edit)

    def counts(self) -> dict[str, float]:
        """Return the values of the ``brassweir_configuration`` gauges."""
        return counts(self.machine, self.core, self.follower)

    def abort(self) -> None:
        """Cancel the periodic check and any edit in progress."""
        self.publisher.abort()
        if self.task is not None:
            self.task.cancel()
