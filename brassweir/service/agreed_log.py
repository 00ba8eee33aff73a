"""The agreed log in one process: its member, its machine, and what this copy does with them."""

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

SHOWN = ("term", "last", "agreed", "applied", "waiting", "age_ms")  # of the status, as metrics


class AgreedLog:
    """One copy's part in the log; the group that its dealings speak to."""

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
        """``follower``: what puts versions of the endpoint configuration in force here, if anything does."""
        assert config.agreed is not None
        given, names = config.agreed, tuple(one.name for one in copies)
        folder = agreed_directory(config, base)
        self.configuration: FleetConfiguration | None = None
        self.machine: Machine
        if config.configuration is None:
            self.machine = Machine()
            self.member = Member(me.name, folder, self.machine, port, given.voters, names)
        else:
            from brassweir.configstream.core import ConfiguredCore
            from brassweir.configstream.machine import ConfiguredMachine
            from brassweir.service.configuration import FleetConfiguration

            self.machine = machine = ConfiguredMachine()
            self.member = Member(me.name, folder, machine, port, given.voters, names, ConfiguredCore)
            self.configuration = FleetConfiguration(self.member, machine, self, follower, base, note)
        self.maintenance = LogMaintenance(
            me,
            self.machine,
            self,
            region if isinstance(region, LogOwnership) else None,
            given.lease_ms,
            base / given.first_epoch if given.first_epoch else None,
            note,
        )
        self.member.on_apply.append(lambda *_: self.maintenance.hear())
        self.member.on_restore.append(lambda _: self.maintenance.hear())
        self.note, self.port = note, port
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the folder and take part."""
        await self.member.start()
        self.maintenance.desired.read(False)
        self.task = asyncio.create_task(self.maintenance.run())
        self.task.add_done_callback(self._ended)
        if self.configuration is not None:
            self.configuration.start()

    def _ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self.note("agreed_ended", {"error": repr(error)})
            self.give_up()  # one that leads and renews nothing would let all leases lapse

    def reload(self, config: CopyConfig, copies: tuple[CopyModel, ...], gone: set[str]) -> None:
        """An operator asks: other copies, other voters, the next epoch."""
        self.member.reload(tuple(one.name for one in copies))
        self.maintenance.membership.left |= gone
        if config.agreed is not None:
            self.maintenance.membership.want_voters(frozenset(config.agreed.voters))
        self.maintenance.desired.read(True)
        if self.configuration is not None:
            self.configuration.reload(config.configuration)

    async def propose(self, command: bytes, timeout_ms: float) -> Outcome:
        """Agree on a command."""
        return await self.member.propose(command, timeout_ms)

    async def change(self, name: str, votes: bool, timeout_ms: float) -> Outcome:
        """Let a copy vote, or no longer; for the leader only."""
        return await self.member.change(name, votes, timeout_ms)

    def hand_over(self) -> None:
        """Let another lead, if this one does."""
        if self.member.core is not None and self.member.core.role == LEADER:
            self.member.submit(TransferLeadership())

    def alive(self) -> frozenset[str]:
        """Copies that are thought to be there, this one among them."""
        states = self.port.view().states
        return frozenset(name for name, state in states.items() if state == "alive") | {self.member.name}

    def give_up(self) -> None:
        """Follow no further: this version cannot. The copy goes on delivering as one that is cut off."""
        self.ending = asyncio.ensure_future(self.member.stop())

    def status(self) -> Mapping[str, Any]:
        """The member's, as a tree."""
        return asdict(self.member.status())

    def state(self) -> dict[str, Any]:
        """What operators are shown."""
        return self.maintenance.state()

    def counts(self) -> dict[str, float]:
        """For metrics."""
        status = self.member.status()
        shown = {name: float(getattr(status, name)) for name in SHOWN}
        dropped = {f"dropped_{name.replace(' ', '_')}": count for name, count in status.dropped.items()}
        return {
            **shown,
            **dropped,
            "leading": status.role == LEADER,
            "in_trouble": bool(status.trouble),
            "granted": self.machine.state.granted,
            "members": len(self.machine.state.copies),
            "pins": self.machine.pins,
        }

    def abort(self) -> None:
        """End what this copy does of its own."""
        for task in (self.task, self.maintenance.membership.changing):
            if task is not None:
                task.cancel()
        if self.configuration is not None:
            self.configuration.abort()

    async def stop(self) -> None:
        """End taking part."""
        self.abort()
        await self.member.stop()
