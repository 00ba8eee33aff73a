"""What this copy does with the agreed log: takes part, renews leases while it leads, feeds its own ownership.

Membership and the operator's desired epoch stand in modules of their own.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from brassweir.agreed.commands import Publish
from brassweir.agreed.lease_renewal import GiveUpLeadership, LeaseRenewal, ProposeRenewal, RenewalInputs
from brassweir.agreed.machine import Machine
from brassweir.agreed.machine_state import lost_regions
from brassweir.config.model import CopyModel
from brassweir.service.desired_epoch import DesiredEpoch
from brassweir.service.log_member import LogMember, Note, propose
from brassweir.service.log_ownership import LogOwnership
from brassweir.service.membership import Membership

LOOK = 0.1  # seconds between two looks: well within a tenth of the shortest lease


class LogMaintenance:
    """One copy's dealings with the log. ``region`` is there where epochs come from it."""

    def __init__(
        self,
        me: CopyModel,
        machine: Machine,
        group: LogMember,
        region: LogOwnership | None,
        lease: float,
        first: Path | None,
        note: Note,
    ) -> None:
        self.me, self.machine, self.group, self.region = me, machine, group, region
        self.lease, self.note = lease, note
        self.membership = Membership(me, machine, group, note)
        self.desired = DesiredEpoch(machine, group, region, lease, first, note)
        self.renewing = LeaseRenewal()
        self.said = self.refused = ""

    def hear(self) -> None:
        """The machine has changed, or may have."""
        if self.region is not None:
            self.region.applied(self.machine.state.epoch)
        if self.machine.unsupported and self.said != self.machine.unsupported:
            self.said = self.machine.unsupported
            self.note("agreed_beyond", {"error": self.said})
            self.group.give_up()

    async def run(self) -> None:
        """Go on for ever."""
        while True:
            await asyncio.sleep(LOOK)
            self.hear()  # nothing may have been applied, and a disk may have room again
            leader = self.group.status()["leader"]
            if leader and not self.machine.unsupported:
                await self._renew(leader == self.me.name)
                await self.membership.join()
                await self.membership.remove_left()
                self.membership.change_voters(leader == self.me.name)
                await self.desired.propose(leader == self.me.name)
            self.desired.expire()

    async def _renew(self, leading: bool) -> None:
        if self.region is None:
            return
        state, wall, own = self.machine.state, self.region.wall(), self.region.ownership
        step = self.renewing.step(
            time.monotonic() * 1000.0,
            RenewalInputs(
                leading,
                wall,
                own.clock_trusted(wall),
                state.epoch,
                state.granted,
                self.lease,
                own.assumed,
                self.desired.waiting,
                lost_regions(state) if leading else frozenset(),
            ),
        )
        if isinstance(step, GiveUpLeadership):
            self.note("lead_given_away", {"why": step.why})
            self.group.hand_over()
        elif isinstance(step, ProposeRenewal):
            result = await propose(self.group, Publish(step.epoch, step.after))
            error = f"{result.field}: {result.why}" if result and result.field not in ("", "after") else ""
            if error != self.refused:
                self.refused = error  # complained of once
                if error:
                    self.note("renewal_refused", {"error": error})

    def state(self) -> dict[str, Any]:
        """What operators are shown."""
        state = self.machine.state
        epoch = state.epoch
        return {
            **self.group.status(),
            "level": state.level,
            "index": state.index,
            "digest": self.machine.digest(),
            "beyond": self.machine.unsupported,
            "granted": state.granted,
            "epoch": None
            if epoch is None
            else {"number": epoch.number, "issued": epoch.issued, "turn": epoch.turn},
            "members": {
                name: {"site": one.site, "region": one.region, "reads": one.reads}
                for name, one in sorted(state.copies.items())
            },
            "sites": {
                name: {"standing": one.standing, "since": one.since, "by": one.by, "version": one.version}
                for name, one in sorted(state.sites.items())
            },
            "pins": self.machine.pins,
            "wish_waiting": self.desired.waiting,
        }
