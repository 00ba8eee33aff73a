"""Which messages one sender's region owns, from epochs of a file or of the agreed log.

An epoch is saved and synced to disk before it takes effect, so that a restart never returns to an older one.
An epoch that cannot be read, or contradicts the known one, is logged once and changes nothing.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from brassweir.config.load import ConfigError
from brassweir.core.ports import Answer, FinalAnswer, Submission
from brassweir.interface import MessageClass
from brassweir.regions.epochs import Epoch, EpochError, parse
from brassweir.regions.ownership import Assumptions, Ownership, Reason
from brassweir.regions.shares import LimitShare
from brassweir.regions.sources import Source, check_source

MIN_RATE_SHARE = 0.001  # a rate of 0 would mean no limit
POLL_INTERVAL_SECONDS = 0.25
REFUSAL_TEXTS = {
    Reason.ELSEWHERE: "not here: this message belongs to region {region}, {url}",
    Reason.MOVING: "not yet: this message's place is moving to this region",
    Reason.LAPSED: "not here: this region cannot show that the message is still its own",
    Reason.BORN_ELSEWHERE: "not here: when this message was made it belonged to region {region}, {url}",
    Reason.CLOCK: "not here: this sender's clock cannot be trusted",
    Reason.UNKNOWN: "not here: nothing is known yet of who owns this message",
}


class RegionOwnership:
    """Ownership of one sender's region; a subclass passes the epochs of its source to :meth:`adopt`."""

    source: Source

    def __init__(
        self,
        region: str,
        state_path: Path,
        assumed: Assumptions,
        classes: dict[str, MessageClass],
        note: Callable[[str, dict[str, object]], None],
        count_refusal: Callable[[str], None] = lambda _: None,
    ) -> None:
        """Load the epoch saved in ``state_path``. Raises ConfigError if it cannot be read.

        ``count_refusal`` is called with the reason of each refusal.
        """
        self.state_path, self.classes, self.note, self.count_refusal = (
            state_path,
            classes,
            note,
            count_refusal,
        )
        try:
            known = parse(state_path.read_bytes()) if state_path.exists() else None
        except (OSError, EpochError) as error:
            raise ConfigError(
                [
                    f"region: {state_path}: {error}; without it an older epoch could be taken for the "
                    "newest: put it back, or remove it once the source is known to be new"
                ]
            ) from None
        self.ownership = Ownership(region, assumed, known)
        self.last_error = ""
        self.shares = LimitShare(region, assumed)

    def rate_share(self) -> float:
        """Return the share (0 to 1) of every destination's rate limit that this region may use now."""
        return self.shares.reported

    def refresh_rate_share(self) -> bool:
        """Recompute the share and return whether it changed; it stays above 0, which would mean no limit."""
        wall = self.wall()
        changed = self.shares.changed(
            self.ownership.epoch, wall, time.monotonic() * 1000.0, self.ownership.clock_trusted(wall)
        )
        self.shares.reported = max(MIN_RATE_SHARE, self.shares.reported)
        return changed

    def poll(self) -> None:
        """Compare the clocks; a subclass also reads its source."""
        self.wall()

    def wall(self) -> float:
        """Return the wall clock (ms), after comparing it with the monotonic clock to detect a step."""
        wall = time.time() * 1000.0
        self.ownership.check_clocks(wall, time.monotonic() * 1000.0)
        return wall

    def adopt(self, read: Callable[[], Epoch], where: str) -> None:
        """Adopt the epoch that ``read`` returns, once it is on disk.

        An epoch that is invalid, contradictory or cannot be saved is logged once and leaves the old one in
        force.
        """
        try:
            epoch = read()
            previous = self.ownership.epoch
            check_source(self.source, epoch, previous)
            if self.ownership.accept(epoch):
                try:
                    self._save(epoch)
                except OSError:
                    self.ownership.epoch = previous  # not on disk, so not in force
                    raise
                self.note("epoch", {"number": epoch.number, "issued": epoch.issued})
            self.last_error = ""
        except (OSError, EpochError) as error:
            if str(error) != self.last_error:
                self.last_error = str(error)
                self.note("epoch_refused", {"path": where, "error": str(error)})

    def _save(self, epoch: Epoch) -> None:
        temporary = self.state_path.with_suffix(".new")
        with temporary.open("wb") as file:
            file.write(msgspec.json.encode(epoch))
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self.state_path)
        directory = os.open(self.state_path.parent, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)

    async def watch(self, on_share_change: Callable[[], None] = lambda: None) -> None:
        """Poll until cancelled; ``on_share_change`` is called whenever the share of rate limits changes."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            self.poll()
            if self.refresh_rate_share():
                on_share_change()

    def check_admission(self, submission: Submission) -> FinalAnswer | None:
        """Return None if this region may accept the message, else a refusal with where and when to retry."""
        effect = self.classes[submission.class_name].effect
        refusal = self.ownership.refusal(
            effect, submission.owner, submission.identity, self.wall(), submission.created_at
        )
        if refusal is None:
            return None
        self.count_refusal(refusal.reason.name.lower())
        text = REFUSAL_TEXTS[refusal.reason].format(
            region=refusal.region, url=self.ownership.url(refusal.region)
        )
        return FinalAnswer(Answer.REFUSED, text, refusal.retry_after_ms)
