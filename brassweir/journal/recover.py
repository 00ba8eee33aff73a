"""What a restart does with what the journal tells: a plan, made without touching anything. Pure.

Time that passed while the process was down counts against deadlines and windows. The wall clock may have
stepped meanwhile: a clock behind the latest record is taken as standing at that record, so that no window or
wait is longer for it; a step forward can only make us more careful with windows, and end waits no sooner than
the clock says.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Hashable, Mapping, Sequence
from dataclasses import dataclass, field

from brassweir.interface import Effect, MessageClass, PastAttempt, Result
from brassweir.journal.records import Final, Taken
from brassweir.journal.state import JournalState, MessageState


@dataclass(frozen=True, slots=True)
class Hole:
    """Records that are lost to damage or a missing segment; ``known`` is the last id taken before its end."""

    where: str
    known: int


@dataclass(frozen=True, slots=True)
class ResumedMessage:
    """A message that goes on. ``left`` (ms) is what remains of its time, ``ran_ago`` how long ago an attempt
    may first have run, or None."""

    taken: Taken
    left: float
    ran_ago: float | None
    number: int  # attempts so far


@dataclass(frozen=True, slots=True)
class AnsweredMessage:
    """A message with its answer, whether from before or made now, ``ago`` ms old. ``owed`` says that its
    receipt may not have been brought. ``fresh`` ones are still to be written down."""

    taken: Taken
    final: Final
    ago: float
    ran_ago: float | None
    receipt_pending: bool
    unpersisted: bool


@dataclass(slots=True)
class Plan:
    """What to do, in this order: know the past, remember answers, give fresh ones, hand in what goes on.
    ``at`` (wall ms) is the moment that all its times count from."""

    at: float
    past: list[PastAttempt] = field(default_factory=list)
    passed: dict[str, float] = field(default_factory=dict)  # by endpoint: ms since a call last passed
    answered: list[AnsweredMessage] = field(default_factory=list)
    resumed: list[ResumedMessage] = field(default_factory=list)
    dropped: int = 0  # ended messages whose memory is over, and records without a message
    pause: float = 0.0  # ms to wait before anything goes out: keys with an attempt out at the end rest
    last_id: int = 0


def plan_recovery(
    lives: JournalState,
    holes: Sequence[Hole],
    classes: Mapping[str, MessageClass],
    wall: float,
    remember: float,
    order_pause: float,
    unknown: Sequence[str] = (),
) -> Plan:
    """Decide on every message. ``wall`` is now (ms); ``unknown`` names destinations no longer in the
    settings."""
    now = max(wall, lives.last_at)
    made = Plan(wall, last_id=lives.last_id)
    hidden = max((hole.known for hole in holes), default=0)
    # A refused message that was handed in again has a later life under the same name, which alone counts.
    newest = {
        (life.taken.owner, life.taken.identity): life.id
        for life in lives.by_id.values()
        if life.taken is not None
    }
    for life in lives.by_id.values():
        if life.taken is None:
            made.dropped += 1  # its record was lost: the client, never answered, asks again
        elif life.final is not None and newest[life.taken.owner, life.taken.identity] != life.id:
            made.dropped += 1
        elif life.final is not None:
            _ended(life, life.taken, life.final, now, remember, made)
        else:
            _open(life, life.taken, classes, now, life.id <= hidden, life.taken.destination in unknown, made)
            cls = classes.get(life.taken.class_name)
            if life.out and cls is not None and cls.in_order and life.taken.key:
                made.pause = order_pause
    for endpoint, trail in lives.recent_outcomes.items():
        made.past += [
            PastAttempt(endpoint, Result(one.result), max(0.0, now - one.at), one.wait) for one in trail
        ]
    made.past.sort(key=lambda one: -one.ago)
    made.passed = {endpoint: max(0.0, now - at) for endpoint, at in lives.passed.items()}
    return made


def relevant_past(plan: Plan, place: Callable[[str], Hashable]) -> list[PastAttempt]:
    """What of the past still stands, where ``place`` says which endpoints fare as one.

    A pass at any of them ends a row of failures, but no wait told before it, as while the process ran: one
    bad endpoint must not close its whole destination for a sender that comes back.
    """
    last: dict[Hashable, float] = {}
    for endpoint, ago in plan.passed.items():
        last[place(endpoint)] = min(ago, last.get(place(endpoint), ago))
    return [one for one in plan.past if one.ago - one.wait < last.get(place(one.endpoint), math.inf)]


def _ended(life: MessageState, taken: Taken, final: Final, now: float, remember: float, made: Plan) -> None:
    ago = max(0.0, now - final.at)
    owed = bool(taken.reply) and not life.receipt_delivered
    if ago > remember and not owed:
        made.dropped += 1
        return
    first = life.first
    made.answered.append(
        AnsweredMessage(taken, final, ago, None if first is None else now - first, owed, False)
    )


def _open(
    life: MessageState,
    taken: Taken,
    classes: Mapping[str, MessageClass],
    now: float,
    hidden: bool,
    unknown: bool,
    made: Plan,
) -> None:
    cls = classes.get(taken.class_name)
    first = life.first
    if first is None and hidden:
        # What the hole hid may have been an intent: as early as can be, from the first moment on.
        first = min(taken.deadline - cls.deadline if cls is not None else now, now)
    effect = cls.effect if cls is not None else Effect.UNSAFE
    left = min(taken.deadline - now, cls.deadline if cls is not None else 0.0)
    if first is not None and effect is Effect.KEYED and cls is not None:
        left = min(left, first + cls.window - now)
    # A key that holds in one zone only counts here as none: a repeat could go to another zone.
    zoned = effect is Effect.KEYED and cls is not None and cls.group != "all"
    sent_once = first is not None and (effect is Effect.UNSAFE or zoned)
    if cls is None or unknown or left <= 0.0 or sent_once:
        harmless = first is None or effect is Effect.SAFE
        final = Final(life.id, "refused" if harmless else "failed", _why(cls, unknown, left), 0.0, now)
        made.answered.append(
            AnsweredMessage(
                taken, final, 0.0, None if first is None else now - first, bool(taken.reply), True
            )
        )
        return
    number = max([*life.intents, *life.ended], default=-1) + 1  # damage may have taken some: none goes twice
    made.resumed.append(ResumedMessage(taken, left, None if first is None else now - first, number))


def end_keyless_messages(made: Plan, classes: Mapping[str, MessageClass], wall: float) -> None:
    """End what is in a keyed class now and came when it was none, so without the key (the subject) that makes
    a repeat harmless: refused if nothing can have run, else failed. For senders that take no other such
    message."""
    for one in made.resumed[:]:
        if classes[one.taken.class_name].effect is Effect.KEYED and not one.taken.subject:
            made.resumed.remove(one)
            final = Final(
                one.taken.id,
                "refused" if one.ran_ago is None else "failed",
                "its class is keyed now, and it has no key",
                0.0,
                wall,
            )
            made.answered.append(
                AnsweredMessage(one.taken, final, 0.0, one.ran_ago, bool(one.taken.reply), True)
            )


def _why(cls: MessageClass | None, unknown: bool, left: float) -> str:
    if cls is None:
        return "its class is no longer in the settings"
    if unknown:
        return "its destination is no longer in the settings"
    if left <= 0.0:
        return "its time, or its key's window, passed while the sender was down"
    return "the sender died while an attempt may have run"
