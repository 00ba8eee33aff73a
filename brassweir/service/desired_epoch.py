"""The epoch that an operator hands this copy: read from its file, planned anew, and proposed to the log.

The log's events still call a desired epoch a wish.
"""

from __future__ import annotations

import time
from pathlib import Path

from brassweir.agreed.commands import Publish
from brassweir.agreed.machine import Machine
from brassweir.agreed.reconciliation import check_recent, reconciled
from brassweir.regions.epochs import Epoch, EpochError, check_follows, parse
from brassweir.service.log_member import LogMember, Note, propose
from brassweir.service.log_ownership import LogOwnership

DESIRED_FOR = 15.0  # seconds that a desired epoch is tried for, until it is told as not done


class DesiredEpoch:
    """The desired epoch of one copy, if there is one. ``region`` is there where epochs come from the log."""

    def __init__(
        self,
        machine: Machine,
        group: LogMember,
        region: LogOwnership | None,
        lease: float,
        path: Path | None,
        note: Note,
    ) -> None:
        self.machine, self.group, self.region = machine, group, region
        self.lease, self.path, self.note = lease, path, note
        self.epoch: Epoch | None = None
        self.until = 0.0
        self.by_operator = False  # and not by this copy's own start

    @property
    def waiting(self) -> bool:
        """Whether there is one that is neither agreed on nor refused."""
        return self.epoch is not None

    def read(self, by_operator: bool) -> None:
        """Read the file of the first, or the next, epoch; at start, and when an operator asks."""
        if self.path is None:
            return
        try:
            self.epoch = parse(self.path.read_bytes())
        except (OSError, EpochError) as error:
            self.note("wish_refused", {"path": str(self.path), "error": str(error)})
            return
        self.by_operator, self.until = by_operator, time.monotonic() + DESIRED_FOR

    def expire(self) -> None:
        """What an operator asked for and got no answer to in time is told as not done."""
        if self.epoch is not None and self.by_operator and time.monotonic() > self.until:
            self._end("wish_refused", self.epoch, "no answer in time; it may still come")

    async def propose(self, leading: bool) -> None:
        """Propose what brings the agreed epoch to the desired one."""
        desired, agreed = self.epoch, self.machine.state.epoch
        if desired is None or self.region is None:
            return
        if not self.by_operator and (agreed is not None or not leading):
            # The first epoch is for a log that holds none, and for its leader to propose.
            self.epoch = None if agreed is not None else desired
            return
        wall = self.region.wall()
        if not self.region.ownership.clock_trusted(wall):
            self._end("wish_refused", desired, "this copy does not trust its clock")
            return
        granted = self.machine.state.granted
        try:
            planned = self._plan(self.region, desired, agreed, wall)
        except EpochError as error:
            self._end("wish_refused", desired, str(error))
            return
        if planned is None:
            self._end("wish_known", desired, "")
            return
        epoch, lost = planned
        result = await propose(self.group, Publish(epoch, granted, lost))
        if result is not None and result.ok:
            self._end("wish_agreed", desired, "")
        elif result is not None and result.field != "after":
            self._end("wish_refused", desired, f"{result.field}: {result.why}")

    def _plan(
        self, region: LogOwnership, desired: Epoch, agreed: Epoch | None, wall: float
    ) -> tuple[Epoch, str] | None:
        """What to publish, and the region that it states as lost ("" for none); None for nothing."""
        known = region.ownership.epoch
        if agreed is None and known is not None:
            check_follows(desired, known)  # a log founded anew must not go back behind what copies know
        if agreed is None and not self.by_operator:
            check_recent(desired, wall)
        return reconciled(desired, agreed, wall, self.lease, region.ownership.assumed)

    def _end(self, event: str, desired: Epoch, error: str) -> None:
        if self.epoch is desired:
            self.epoch = None
        self.note(event, {"path": str(self.path), "number": desired.number, "error": error})
