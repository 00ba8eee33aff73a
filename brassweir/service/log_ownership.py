"""Ownership from the epochs in the agreed log, adopted as this copy applies them.

A copy that is cut off from the group applies nothing, so its leases expire here.
"""

from __future__ import annotations

from brassweir.regions.epochs import Epoch
from brassweir.regions.sources import Source
from brassweir.service.region_ownership import RegionOwnership


class LogOwnership(RegionOwnership):
    """Ownership from the agreed log."""

    source = Source.AGREED
    latest: Epoch | None = None  # the newest epoch that was applied here

    def applied(self, epoch: Epoch | None) -> None:
        """Take the state machine's epoch, unless it is older than the known one, as in a replay at start."""
        if epoch is not None and epoch != self.latest and not self._behind(epoch):
            self.latest = epoch
            self.poll()

    def _behind(self, epoch: Epoch) -> bool:
        known = self.ownership.epoch
        return known is not None and (epoch.turn, epoch.number, epoch.issued) < (
            known.turn,
            known.number,
            known.issued,
        )

    def poll(self) -> None:
        """Adopt the newest epoch; each poll retries one that could not be saved."""
        super().poll()
        latest = self.latest
        if latest is not None and latest != self.ownership.epoch:
            self.adopt(lambda: latest, "agreed log")
