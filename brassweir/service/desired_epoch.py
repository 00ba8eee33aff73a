"""The epoch that an operator wants: read from a file, planned against the agreed one, and proposed.

Log events call a desired epoch a wish.
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

DESIRED_TIMEOUT_SECONDS = 15.0  # after it, an operator's desired epoch is reported as not agreed


class DesiredEpoch:
    """The desired epoch of one copy, while there is one.

    ``region`` is None where epochs do not come from the log. ``lease`` is in ms.
    """

    def __init__(
        self,
        machine: Machine,
        member: LogMember,
        region: LogOwnership | None,
        lease: float,
        path: Path | None,
        note: Note,
    ) -> None:
        self.machine, self.member, self.region = machine, member, region
        self.lease, self.path, self.note = lease, path, note
        self.epoch: Epoch | None = None
        self.expires_at = 0.0
        self.by_operator = False  # False: read at this copy's start

    @property
    def waiting(self) -> bool:
        """Whether a desired epoch is neither agreed nor refused yet."""
        return self.epoch is not None

    def read(self, by_operator: bool) -> None:
        """Read the file with the first or the next epoch, at start and at each reload.

        An unreadable file is logged and changes nothing.
        """
        if self.path is None:
            return
        try:
            self.epoch = parse(self.path.read_bytes())
        except (OSError, EpochError) as error:
            self.note("wish_refused", {"path": str(self.path), "error": str(error)})
            return
        self.by_operator, self.expires_at = by_operator, time.monotonic() + DESIRED_TIMEOUT_SECONDS

    def expire(self) -> None:
        """Drop an operator's epoch that was not agreed in time, and log it as refused."""
        if self.epoch is not None and self.by_operator and time.monotonic() > self.expires_at:
            self._finish("wish_refused", self.epoch, "no answer in time; it may still come")

    async def propose(self, leading: bool) -> None:
        """Propose the epoch that leads from the agreed one to the desired one.

        An epoch read at start is proposed only by the leader, and only to a log that holds none.
        """
        desired, agreed = self.epoch, self.machine.state.epoch
        if desired is None or self.region is None:
            return
        if not self.by_operator and (agreed is not None or not leading):
            self.epoch = None if agreed is not None else desired
            return
        wall = self.region.wall()
        if not self.region.ownership.clock_trusted(wall):
            self._finish("wish_refused", desired, "this copy does not trust its clock")
            return
        granted = self.machine.state.granted
        try:
            planned = self._plan(self.region, desired, agreed, wall)
        except EpochError as error:
            self._finish("wish_refused", desired, str(error))
            return
        if planned is None:
            self._finish("wish_known", desired, "")
            return
        epoch, lost = planned
        result = await propose(self.member, Publish(epoch, granted, lost))
        if result is not None and result.ok:
            self._finish("wish_agreed", desired, "")
        elif result is not None and result.field != "after":
            self._finish("wish_refused", desired, f"{result.field}: {result.why}")

    def _plan(
        self, region: LogOwnership, desired: Epoch, agreed: Epoch | None, wall: float
    ) -> tuple[Epoch, str] | None:
        """Return the epoch to publish and the region that it declares lost (empty for none).

        Returns None if the agreed epoch is the desired one already. Raises EpochError if the desired epoch
        does not follow the agreed one, or the one this copy knows.
        """
        known = region.ownership.epoch
        if agreed is None and known is not None:
            check_follows(desired, known)  # a newly founded log must not return to an older epoch
        if agreed is None and not self.by_operator:
            check_recent(desired, wall)
        return reconciled(desired, agreed, wall, self.lease, region.ownership.assumed)

    def _finish(self, event: str, desired: Epoch, error: str) -> None:
        if self.epoch is desired:
            self.epoch = None
        self.note(event, {"path": str(self.path), "number": desired.number, "error": error})
