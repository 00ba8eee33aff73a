"""The epochs that the agreed log carries: fed as this copy applies them, and kept like those of a file.

A copy cut off from the group applies nothing: its leases run out here as they do for a file that is no longer
brought.
"""

from __future__ import annotations

from brassweir.regions.epochs import Epoch
from brassweir.regions.sources import Source
from brassweir.service.region_ownership import RegionOwnership


class LogOwnership(RegionOwnership):
    """Ownership fed by the agreed log."""

    source = Source.AGREED
    latest: Epoch | None = None  # the newest that was applied here

    def applied(self, epoch: Epoch | None) -> None:
        """What the agreed machine holds now. After a restart it goes through what is known here already."""
        if epoch is not None and epoch != self.latest and not self._behind(epoch):
            self.latest = epoch
            self.look()

    def _behind(self, epoch: Epoch) -> bool:
        known = self.ownership.epoch
        return known is not None and (epoch.turn, epoch.number, epoch.issued) < (
            known.turn,
            known.number,
            known.issued,
        )

    def look(self) -> None:
        """Take the newest: again at each look, for a disk that was full may have room now."""
        super().look()
        latest = self.latest
        if latest is not None and latest != self.ownership.epoch:
            self.take(lambda: latest, "agreed log")
