"""One copy's part in the agreed log: its member, its state machine and its periodic maintenance."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Any

from brassweir.agreed.core_state import LEADER
from brassweir.agreed.events import Outcome, TransferLeadership
from brassweir.agreed.machine import Machine
from brassweir.agreed.member import Member
from brassweir.config.copies import agreed_directory
from brassweir.config.model import CopyConfig, CopyModel
from brassweir.peers.port import PeerPort
from brassweir.service.log_maintenance import LogMaintenance
from brassweir.service.log_member import Note
from brassweir.service.log_ownership import LogOwnership
from brassweir.service.region_ownership import RegionOwnership

if TYPE_CHECKING:
    from brassweir.service.configuration import FleetConfiguration
    from brassweir.service.version_follower import Follower

STATUS_METRICS = ("term", "last", "agreed", "applied", "waiting", "age_ms")  # fields of the status


class AgreedLog:
    """Runs one copy's member of the log, and is the ``LogMember`` that its maintenance proposes through."""

    def __init__(
        self,
        config: CopyConfig,
        base: Path,
        me: CopyModel,
        copies: tuple[CopyModel, ...],
        port: PeerPort,
        region: RegionOwnership | None,
        note: Note,
        follower: Follower | None = None,
    ) -> None:
        """``follower`` puts versions of the endpoint list in force here; None if the list is a file."""
        assert config.agreed is not None
        settings, names = config.agreed, tuple(copy.name for copy in copies)
        directory = agreed_directory(config, base)
        self.configuration: FleetConfiguration | None = None
        self.machine: Machine
        if config.configuration is None:
            self.machine = Machine()
            self.member = Member(me.name, directory, self.machine, port, settings.voters, names)
        else:
            from brassweir.configstream.core import ConfiguredCore
            from brassweir.configstream.machine import ConfiguredMachine
            from brassweir.service.configuration import FleetConfiguration

            self.machine = machine = ConfiguredMachine()
            self.member = Member(me.name, directory, machine, port, settings.voters, names, ConfiguredCore)
            self.configuration = FleetConfiguration(self.member, machine, self, follower, base, note)
        self.maintenance = LogMaintenance(
            me,
            self.machine,
            self,
            region if isinstance(region, LogOwnership) else None,
            settings.lease_ms,
            base / settings.first_epoch if settings.first_epoch else None,
            note,
        )
        self.member.on_apply.append(lambda *_: self.maintenance.apply_changes())
        self.member.on_restore.append(lambda _: self.maintenance.apply_changes())
        self.note, self.port = note, port
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the log's directory, join the group and start the maintenance loop."""
        await self.member.start()
        self.maintenance.desired.read(False)
        self.task = asyncio.create_task(self.maintenance.run())
        self.task.add_done_callback(self._ended)
        if self.configuration is not None:
            self.configuration.start()

    def _ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self.note("agreed_ended", {"error": repr(error)})
            self.leave_for_good()  # a leader that renews nothing would let all leases lapse

    def reload(self, config: CopyConfig, copies: tuple[CopyModel, ...], removed: set[str]) -> None:
        """Apply changed settings: the copies, the voters, the next epoch and the edited endpoint list."""
        self.member.reload(tuple(copy.name for copy in copies))
        self.maintenance.membership.to_remove |= removed
        if config.agreed is not None:
            self.maintenance.membership.want_voters(frozenset(config.agreed.voters))
        self.maintenance.desired.read(True)
        if self.configuration is not None:
            self.configuration.reload(config.configuration)

    async def propose(self, command: bytes, timeout_ms: float) -> Outcome:
        """Propose a command and wait for its outcome."""
        return await self.member.propose(command, timeout_ms)

    async def change(self, name: str, votes: bool, timeout_ms: float) -> Outcome:
        """Make a copy a voter, or take its vote away. Only the leader can do this."""
        return await self.member.change(name, votes, timeout_ms)

    def hand_over(self) -> None:
        """Transfer leadership to another member, if this one leads."""
        if self.member.core is not None and self.member.core.role == LEADER:
            self.member.submit(TransferLeadership())

    def alive(self) -> frozenset[str]:
        """Return the names of the copies believed alive, this one included."""
        states = self.port.view().states
        return frozenset(name for name, state in states.items() if state == "alive") | {self.member.name}

    def leave_for_good(self) -> None:
        """Stop the member; the copy goes on delivering as if it were cut off from the group."""
        self.ending = asyncio.ensure_future(self.member.stop())

    def status(self) -> Mapping[str, Any]:
        """Return the member's status as a dictionary."""
        return asdict(self.member.status())

    def state(self) -> dict[str, Any]:
        """Return the state shown at ``/agreed``."""
        return self.maintenance.state()

    def counts(self) -> dict[str, float]:
        """Return the values of the ``brassweir_agreed`` gauges."""
        status = self.member.status()
        values = {name: float(getattr(status, name)) for name in STATUS_METRICS}
        dropped = {f"dropped_{name.replace(' ', '_')}": count for name, count in status.dropped.items()}
        return {
            **values,
            **dropped,
            "leading": status.role == LEADER,
            "in_trouble": bool(status.trouble),
            "granted": self.machine.state.granted,
            "members": len(self.machine.state.copies),
            "pins": self.machine.pins,
        }

    def abort(self) -> None:
        """Cancel the maintenance loop and any change of voters; the member keeps running."""
        for task in (self.task, self.maintenance.membership.changing):
            if task is not None:
                task.cancel()
        if self.configuration is not None:
            self.configuration.abort()

    async def stop(self) -> None:
        """Cancel the maintenance loop and stop the member."""
        self.abort()
        await self.member.stop()
