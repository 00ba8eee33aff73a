"""What the journal's records say of one message, and which of them a snapshot keeps. Pure."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from brassweir.interface import NEVER_RAN, Result
from brassweir.journal.frame import frame_bytes
from brassweir.journal.records import Ended, Final, Intent, Record, Taken, Told


def without_content(taken: Taken, first_run_at: float | None) -> Taken:
    """Return the record of an answered message without its content, with the time of its first attempt."""
    return msgspec.structs.replace(taken, content_type="", subject="", content=b"", ran=first_run_at or 0.0)


@dataclass(slots=True)
class MessageState:
    """What the records say of one message.

    ``intents`` and ``ended`` are by the number of the attempt. ``kept_bytes`` is what a snapshot takes for
    the message, ``taken_bytes`` the part of its Taken record (0 until counted). ``counted_open`` and
    ``counted_settled`` tell how JournalState has counted the message.
    """

    id: int
    taken: Taken | None = None
    intents: dict[int, Intent] = field(default_factory=dict)
    ended: dict[int, Ended] = field(default_factory=dict)
    final: Final | None = None
    receipt_delivered: bool = False
    kept_bytes: int = 0
    taken_bytes: int = 0
    counted_open: bool = False
    counted_settled: bool = False

    def set_taken(self, taken: Taken) -> None:
        """Replace the record of the message's acceptance."""
        self.taken = taken
        self.taken_bytes = 0

    @property
    def is_open(self) -> bool:
        """Whether the message was accepted and has no final answer."""
        return self.taken is not None and self.final is None

    @property
    def receipt_pending(self) -> bool:
        """Whether the message has a receipt that may not have been delivered."""
        return self.taken is not None and bool(self.taken.reply) and not self.receipt_delivered

    @property
    def is_settled(self) -> bool:
        """Whether the message has its answer and no receipt to deliver: only repetitions ask for it."""
        return self.taken is not None and self.final is not None and not self.receipt_pending

    @property
    def first_run_at(self) -> float | None:
        """When an attempt may first have run (wall ms); None if none can have.

        An attempt without an outcome may have run, and may still be running.
        """
        times = [intent.at for number, intent in self.intents.items() if number not in self.ended]
        finished = self._finished_run_at()
        if finished is not None:
            times.append(finished)
        return min(times) if times else None

    @property
    def has_attempt_in_flight(self) -> bool:
        """Whether an attempt has an intent and no outcome."""
        return any(number not in self.ended for number in self.intents)

    def kept_records(self) -> Iterator[Record]:
        """Yield what a snapshot keeps.

        Of an answered message that is its identity, its answer and the time of its first attempt; of an open
        one its content, the attempts in flight, and of those that are over when the first may have run and
        the highest number. A message whose Taken record is lost was never accepted, and nothing is kept.
        """
        if self.taken is None:
            return
        if self.final is None:
            first_run_at = self._finished_run_at() or 0.0
            yield (
                self.taken
                if first_run_at == self.taken.ran
                else msgspec.structs.replace(self.taken, ran=first_run_at)
            )
            yield from self._kept_attempts()
            return
        yield self.taken
        yield self.final
        if self.receipt_delivered:
            yield Told(self.id)

    def count_kept_bytes(self) -> int:
        """Return the bytes of :meth:`kept_records` in a snapshot."""
        if self.taken is None:
            return 0
        self.taken_bytes = self.taken_bytes or frame_bytes(self.taken)
        if self.final is None:
            return self.taken_bytes + sum(map(frame_bytes, self._kept_attempts()))
        told_bytes = frame_bytes(Told(self.id)) if self.receipt_delivered else 0
        return self.taken_bytes + frame_bytes(self.final) + told_bytes

    def _kept_attempts(self) -> Iterator[Intent | Ended]:
        yield from (intent for number, intent in self.intents.items() if number not in self.ended)
        last = max(self.ended, default=None)
        if last is not None and last >= max(self.intents, default=last):
            yield self.ended[last]

    def _finished_run_at(self) -> float | None:
        """When the first attempt began that is over and may have run; None if there is none."""
        times = [
            # Without its intent the attempt began at some time before its outcome.
            self.intents[number].at if number in self.intents else ended.at
            for number, ended in self.ended.items()
            if Result(ended.result) not in NEVER_RAN
        ]
        if self.taken is not None and self.taken.ran:
            times.append(self.taken.ran)
        return min(times) if times else None
