"""The state of all messages and endpoints, rebuilt by replaying the journal's records. Pure.

Records of one message may repeat, since a snapshot holds what earlier segments held, and some may be lost to
damage. In whatever order they are applied, a message never loses the fact that an attempt may have run.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from brassweir.interface import NEVER_RAN, Result
from brassweir.journal.records import Began, Ended, Final, Intent, Record, Taken, Told, Whole

# Results that the sender itself caused, and that therefore say nothing about the endpoint.
OWN_RESULTS = (
    Result.NOT_STARTED.value,
    Result.CANCELLED.value,
)
MAX_OUTCOMES = 8  # of one endpoint since its last success: enough to detect an outage


def without_content(taken: Taken, first_run_at: float | None) -> Taken:
    """Return the record of an answered message without its content, with the time of its first attempt."""
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
        first_run_at or 0.0,
    )


@dataclass(slots=True)
class MessageState:
    """What the records say of one message.

    ``intents`` and ``ended`` are by the number of the attempt.
    """

    id: int
    taken: Taken | None = None
    intents: dict[int, Intent] = field(default_factory=dict)
    ended: dict[int, Ended] = field(default_factory=dict)
    final: Final | None = None
    receipt_delivered: bool = False

    @property
    def first_run_at(self) -> float | None:
        """When an attempt may first have run (wall ms); None if none can have.

        An attempt without an outcome may have run, and may still be running.
        """
        times = [
            intent.at
            for number, intent in self.intents.items()
            if number not in self.ended or Result(self.ended[number].result) not in NEVER_RAN
        ]
        # An outcome without its intent: the intent is lost or was not written, and the attempt began earlier.
        times += [
            ended.at
            for number, ended in self.ended.items()
            if number not in self.intents and Result(ended.result) not in NEVER_RAN
        ]
        if self.taken is not None and self.taken.ran:
            times.append(self.taken.ran)
        return min(times) if times else None

    @property
    def has_attempt_in_flight(self) -> bool:
        """Whether an attempt has an intent and no outcome."""
        return any(number not in self.ended for number in self.intents)


class JournalState:
    """The state that the records add up to.

    ``by_id`` holds messages in the order accepted. ``recent_outcomes`` are each endpoint's outcomes since its
    last success, oldest first, and ``last_success_at`` the wall ms of that success. ``last_at`` is the latest
    wall ms in any record, ``runs`` the number of process starts, ``sender`` the last one to start.
    """

    def __init__(self) -> None:
        self.by_id: OrderedDict[int, MessageState] = OrderedDict()
        self.recent_outcomes: dict[str, list[Ended]] = {}
        self.last_success_at: dict[str, float] = {}
        self.last_id = 0
        self.last_at = 0.0
        self.runs = 0
        self.sender = ""

    def apply(self, record: Record) -> None:
        """Add what one record says. Records of a message may repeat, and come in any order."""
        if isinstance(record, Whole):
            return
        if isinstance(record, Began):
            self.runs += 1
            self.sender = record.sender
            self.last_at = max(self.last_at, record.at)
            return
        if record.id == 0:  # an outcome kept for its endpoint, after its message was dropped
            if isinstance(record, Ended):
                self._add_outcome(record)
            return
        message = self.by_id.get(record.id)
        if message is None:
            message = self.by_id[record.id] = MessageState(record.id)
            self.last_id = max(self.last_id, record.id)
        if isinstance(record, Taken):
            message.taken = message.taken or (
                record if message.final is None else without_content(record, message.first_run_at)
            )
        elif message.final is not None and isinstance(record, Intent | Ended):
            if isinstance(record, Ended):
                self._add_outcome(record)
        elif isinstance(record, Intent):
            message.intents.setdefault(record.number, record)
            self.last_at = max(self.last_at, record.at)
        elif isinstance(record, Ended):
            message.ended.setdefault(record.number, record)
            self.last_at = max(self.last_at, record.at)
            self._add_outcome(record)
        elif isinstance(record, Final):
            if message.final is None and message.taken is not None:
                # Of an ended message only its identity, its answer and when it may first have run are needed.
                message.taken = without_content(message.taken, message.first_run_at)
                message.intents, message.ended = {}, {}
            message.final = message.final or record
            self.last_at = max(self.last_at, record.at)
        elif isinstance(record, Told):
            message.receipt_delivered = True

    def _add_outcome(self, record: Ended) -> None:
        """Note how an attempt ended, for the endpoint's circuit breaker after a restart."""
        if record.result in OWN_RESULTS:
            return
        if record.result == Result.OK.value:
            # A success ends a run of failures, but no requested wait: its call may have begun before that.
            self.last_success_at[record.endpoint] = max(
                record.at, self.last_success_at.get(record.endpoint, 0.0)
            )
            waits = [
                outcome
                for outcome in self.recent_outcomes.pop(record.endpoint, [])
                if outcome.at + outcome.wait > record.at
            ]
            if waits:
                self.recent_outcomes[record.endpoint] = waits
            return
        outcomes = self.recent_outcomes.setdefault(record.endpoint, [])
        if any((outcome.at, outcome.result) == (record.at, record.result) for outcome in outcomes):
            return  # in a snapshot and in the segment after it
        outcomes.append(record)
        # The wait that ends last stays, however many outcomes came after it.
        if len(outcomes) > MAX_OUTCOMES:
            latest_wait = max(outcomes, key=lambda outcome: outcome.at + outcome.wait)
            outcomes.remove(next(outcome for outcome in outcomes if outcome is not latest_wait))

    def forget(self, ident: int) -> None:
        """Drop a message whose answer need not be kept any longer."""
        self.by_id.pop(ident, None)
