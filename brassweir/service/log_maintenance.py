"""The periodic work of one copy on the agreed log: renewing leases while it leads, membership, and epochs."""

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

CHECK_INTERVAL_SECONDS = 0.1  # well within a tenth of the shortest lease


class LogMaintenance:
    """Keeps this copy a member, its leases renewed and its ownership up to date.

    ``region`` is None where epochs come from a file or the settings have no regions. ``lease`` is in ms.
    """

    def __init__(
        self,
        me: CopyModel,
        machine: Machine,
        member: LogMember,
        region: LogOwnership | None,
        lease: float,
        first: Path | None,
        note: Note,
    ) -> None:
        self.me, self.machine, self.member, self.region = me, machine, member, region
        self.lease, self.note = lease, note
        self.membership = Membership(me, machine, member, note)
        self.desired = DesiredEpoch(machine, member, region, lease, first, note)
        self.renewing = LeaseRenewal()
        self.reported_beyond = self.last_refusal = ""

    def apply_changes(self) -> None:
        """Pass the state machine's epoch to the ownership.

        Leaves the log if it holds commands that this version of the program cannot apply.
        """
        if self.region is not None:
            self.region.applied(self.machine.state.epoch)
        if self.machine.unsupported and self.reported_beyond != self.machine.unsupported:
            self.reported_beyond = self.machine.unsupported
            self.note("agreed_beyond", {"error": self.reported_beyond})
            self.member.leave_for_good()

    async def run(self) -> None:
        """Check at a fixed interval until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self.apply_changes()  # also retries an epoch that could not be saved
            leader = self.member.status()["leader"]
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
        state, wall, ownership = self.machine.state, self.region.wall(), self.region.ownership
        step = self.renewing.step(
            time.monotonic() * 1000.0,
            RenewalInputs(
                leading,
                wall,
                ownership.clock_trusted(wall),
                state.epoch,
                state.granted,
                self.lease,
                ownership.assumed,
                self.desired.waiting,
                lost_regions(state) if leading else frozenset(),
            ),
        )
        if isinstance(step, GiveUpLeadership):
            self.note("lead_given_away", {"why": step.why})
            self.member.hand_over()
        elif isinstance(step, ProposeRenewal):
            result = await propose(self.member, Publish(step.epoch, step.after))
            error = f"{result.field}: {result.why}" if result and result.field not in ("", "after") else ""
            if error != self.last_refusal:
                self.last_refusal = error  # logged once for each new error
                if error:
                    self.note("renewal_refused", {"error": error})

    def state(self) -> dict[str, Any]:
        """Return the state shown at ``/agreed``."""
        state = self.machine.state
        epoch = state.epoch
        return {
            **self.member.status(),
            "level": state.level,
            "index": state.index,
            "digest": self.machine.digest(),
            "beyond": self.machine.unsupported,
            "granted": state.granted,
            "epoch": None
            if epoch is None
            else {"number": epoch.number, "issued": epoch.issued, "turn": epoch.turn},
            "members": {
                name: {"site": copy.site, "region": copy.region, "reads": copy.reads}
                for name, copy in sorted(state.copies.items())
            },
            "sites": {
                name: {"standing": site.standing, "since": site.since, "by": site.by, "version": site.version}
                for name, site in sorted(state.sites.items())
            },
            "pins": self.machine.pins,
            "wish_waiting": self.desired.waiting,
        }
