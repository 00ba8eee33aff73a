"""The life of a message as its records tell it. Pure state: records in, lives out.

Records of one message may repeat (a snapshot holds what an earlier segment held) and may lack what a damaged
stretch hid. Whatever order they come in, a life only ever learns; it never forgets that something may have
run.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from brassweir.interface import NEVER_RAN, Result
from brassweir.journal.records import Began, Ended, Final, Intent, Record, Taken, Told, Whole

OWN = (
    Result.NOT_STARTED.value,
    Result.CANCELLED.value,
)  # endings that are our doing, and tell nothing of an endpoint
TRAIL = 8  # endings since the last pass that are kept of an endpoint: enough to see an outage


def bare(taken: Taken, first: float | None) -> Taken:
    """A message without its content, for one that has its answer."""
    return Taken(
        taken.id,
        taken.owner,
        taken.identity,
        taken.class_name,
        taken.destination,
        taken.key,
        taken.deadline,
        "",
        "",
        b"",
        taken.reply,
        first or 0.0,
    )


@dataclass(slots=True)
class MessageState:
    """One message. ``first`` is when the first attempt that may have run was to go out (wall ms), or None."""

    id: int
    taken: Taken | None = None
    intents: dict[int, Intent] = field(default_factory=dict)
    ended: dict[int, Ended] = field(default_factory=dict)
    final: Final | None = None
    receipt_delivered: bool = False

    @property
    def first(self) -> float | None:
        """When an attempt may first have run: one without an ending may have, and may still."""
        times = [
            one.at
            for number, one in self.intents.items()
            if number not in self.ended or Result(self.ended[number].result) not in NEVER_RAN
        ]
        # An ending without its intent: the intent was lost or never waited for, and it went out before.
        times += [
            one.at
            for number, one in self.ended.items()
            if number not in self.intents and Result(one.result) not in NEVER_RAN
        ]
        if self.taken is not None and self.taken.ran:
            times.append(self.taken.ran)
        return min(times) if times else None

    @property
    def out(self) -> bool:
        """Was an attempt out when the records end?"""
        return any(number not in self.ended for number in self.intents)


class JournalState:
    """All that the records tell."""

    def __init__(self) -> None:
        self.by_id: OrderedDict[int, MessageState] = OrderedDict()
        self.recent_outcomes: dict[
            str, list[Ended]
        ] = {}  # by endpoint: endings since its last pass, oldest first
        self.passed: dict[str, float] = {}  # by endpoint: when a call last passed
        self.last_id = 0
        self.last_at = 0.0  # latest wall time seen in a record
        self.runs = 0
        self.sender = ""  # who wrote last

    def apply(self, record: Record) -> None:
        """Learn from one record."""
        if isinstance(record, Whole):
            return
        if isinstance(record, Began):
            self.runs += 1
            self.sender = record.sender
            self.last_at = max(self.last_at, record.at)
            return
        if record.id == 0:  # an ending kept for what it says of its endpoint alone
            if isinstance(record, Ended):
                self._trail(record)
            return
        life = self.by_id.get(record.id)
        if life is None:
            life = self.by_id[record.id] = MessageState(record.id)
            self.last_id = max(self.last_id, record.id)
        if isinstance(record, Taken):
            life.taken = life.taken or (record if life.final is None else bare(record, life.first))
        elif life.final is not None and isinstance(record, Intent | Ended):
            if isinstance(record, Ended):
                self._trail(record)
        elif isinstance(record, Intent):
            life.intents.setdefault(record.number, record)
            self.last_at = max(self.last_at, record.at)
        elif isinstance(record, Ended):
            life.ended.setdefault(record.number, record)
            self.last_at = max(self.last_at, record.at)
            self._trail(record)
        elif isinstance(record, Final):
            if life.final is None and life.taken is not None:
                # What still matters of an ended message: its name, its answer, when it may first have run.
                life.taken = bare(life.taken, life.first)
                life.intents, life.ended = {}, {}
            life.final = life.final or record
            self.last_at = max(self.last_at, record.at)
        elif isinstance(record, Told):
            life.receipt_delivered = True

    def _trail(self, record: Ended) -> None:
        if record.result in OWN:
            return
        if record.result == Result.OK.value:
            # A pass ends a row of failures, but no told wait: the call may have gone out before it was told.
            self.passed[record.endpoint] = max(record.at, self.passed.get(record.endpoint, 0.0))
            waits = [
                one for one in self.recent_outcomes.pop(record.endpoint, []) if one.at + one.wait > record.at
            ]
            if waits:
                self.recent_outcomes[record.endpoint] = waits
            return
        trail = self.recent_outcomes.setdefault(record.endpoint, [])
        if any((one.at, one.result) == (record.at, record.result) for one in trail):
            return  # a snapshot told it, and the segment behind it does again
        trail.append(record)
        # The longest told wait stays, however many short ones came after it.
        if len(trail) > TRAIL:
            keep = max(trail, key=lambda one: one.at + one.wait)
            trail.remove(next(one for one in trail if one is not keep))

    def forget(self, ident: int) -> None:
        """Drop a message whose memory is over."""
        self.by_id.pop(ident, None)
