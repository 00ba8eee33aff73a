"""Plans what a restarted process does with the messages of its journal. Pure.

Time during which the process was down counts against deadlines and deduplication windows. If the given time
is before the journal's latest record, that record's time is used instead, so that a clock that stepped back
prolongs no window and no wait.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Hashable, Mapping, Sequence
from dataclasses import dataclass, field

from brassweir.interface import Effect, MessageClass, PastAttempt, Result
from brassweir.journal.message import MessageState
from brassweir.journal.records import Final, Taken
from brassweir.journal.recovery_states import PastRecovery
from brassweir.journal.state import JournalState


@dataclass(frozen=True, slots=True)
class Hole:
    """Records lost to damage or a missing segment; ``last_id`` is the highest message id read before it."""

    where: str
    last_id: int


@dataclass(frozen=True, slots=True)
class ResumedMessage:
    """An open message to go on with.

    ``left`` is the time until its deadline (ms), ``ran_ago`` how long ago an attempt may first have run (ms;
    None if none can have), and ``number`` the number of its next attempt.
    """

    taken: Taken
    left: float
    ran_ago: float | None
    number: int


@dataclass(frozen=True, slots=True)
class AnsweredMessage:
    """A message with its final answer, which is ``ago`` ms old.

    ``receipt_pending``: its receipt may not have been delivered. ``unpersisted``: the plan made the answer,
    and it must be written to the journal before it is given. ``ran_ago`` is as in ResumedMessage.
    """

    taken: Taken
    final: Final
    ago: float
    ran_ago: float | None
    receipt_pending: bool
    unpersisted: bool


@dataclass(slots=True)
class Plan:
    """What a restart does, for apply_plan; all times are relative to ``at`` (wall ms).

    ``past`` are the endpoints' recent outcomes, oldest first, ``last_success_ago`` the ms since each
    endpoint's last success. ``dropped`` counts messages that need no further action. For ``pause`` ms nothing
    may be sent, so that attempts in flight at the crash end before the next message of their key.
    """

    at: float
    past: list[PastAttempt] = field(default_factory=list)
    recoveries: list[PastRecovery] = field(default_factory=list)
    last_success_ago: dict[str, float] = field(default_factory=dict)
    answered: list[AnsweredMessage] = field(default_factory=list)
    resumed: list[ResumedMessage] = field(default_factory=list)
    dropped: int = 0
    pause: float = 0.0
    last_id: int = 0


def plan_recovery(
    state: JournalState,
    holes: Sequence[Hole],
    classes: Mapping[str, MessageClass],
    wall: float,
    retention_ms: float,
    order_pause: float,
    unknown: Sequence[str] = (),
) -> Plan:
    """Decide what becomes of every message.

    ``wall`` is the current time (ms). Answers older than ``retention_ms`` are dropped. ``order_pause`` is the
    pause (ms) if an ordered message had an attempt in flight. ``unknown`` names destinations that are no
    longer in the settings.
    """
    now = max(wall, state.last_at)
    plan = Plan(wall, last_id=state.last_id)
    last_uncertain_id = max((hole.last_id for hole in holes), default=0)
    # A refused message that was submitted again has a later id under the same identity; only that one counts.
    newest = {
        (message.taken.owner, message.taken.identity): message.id
        for message in state.by_id.values()
        if message.taken is not None
    }
    for message in state.by_id.values():
        if message.taken is None:
            plan.dropped += 1  # its Taken record is lost; the client has no answer and submits it again
        elif message.final is not None and newest[message.taken.owner, message.taken.identity] != message.id:
            plan.dropped += 1
        elif message.final is not None:
            _plan_ended(message, message.taken, message.final, now, retention_ms, plan)
        else:
            _plan_open(
                message,
                message.taken,
                classes,
                now,
                message.id <= last_uncertain_id,
                message.taken.destination in unknown,
                plan,
            )
            cls = classes.get(message.taken.class_name)
            if message.has_attempt_in_flight and cls is not None and cls.in_order and message.taken.key:
                plan.pause = order_pause
    for endpoint, outcomes in state.history.recent_outcomes.items():
        plan.past += [
            PastAttempt(endpoint, Result(outcome.result), max(0.0, now - outcome.at), outcome.wait)
            for outcome in outcomes
        ]
    plan.recoveries = state.recoveries.past(now)
    plan.past.sort(key=lambda past: -past.ago)
    plan.last_success_ago = {
        endpoint: max(0.0, now - at) for endpoint, at in state.history.last_success_at.items()
    }
    return plan


def relevant_past(plan: Plan, place: Callable[[str], Hashable]) -> list[PastAttempt]:
    """Return the outcomes that no later success has made irrelevant.

    ``place`` maps an endpoint to its group: endpoints of one group share a circuit breaker. A success at any
    of them ends a run of failures, but not a requested wait, as it does in a running process. Otherwise one
    bad endpoint would open the circuit of its whole destination after a restart.
    """
    last_success_ago: dict[Hashable, float] = {}
    for endpoint, ago in plan.last_success_ago.items():
        last_success_ago[place(endpoint)] = min(ago, last_success_ago.get(place(endpoint), ago))
    return [
        past
        for past in plan.past
        if past.ago - past.wait < last_success_ago.get(place(past.endpoint), math.inf)
    ]


def _plan_ended(
    message: MessageState, taken: Taken, final: Final, now: float, retention_ms: float, plan: Plan
) -> None:
    ago = max(0.0, now - final.at)
    if ago > retention_ms and not message.receipt_pending:
        plan.dropped += 1
        return
    first_run_at = message.first_run_at
    plan.answered.append(
        AnsweredMessage(
            taken,
            final,
            ago,
            None if first_run_at is None else now - first_run_at,
            message.receipt_pending,
            False,
        )
    )


def _plan_open(
    message: MessageState,
    taken: Taken,
    classes: Mapping[str, MessageClass],
    now: float,
    uncertain: bool,
    unknown: bool,
    plan: Plan,
) -> None:
    cls = classes.get(taken.class_name)
    first_run_at = message.first_run_at
    if first_run_at is None and uncertain:
        # The lost records may include an intent, as early as the moment at which the message was accepted.
        first_run_at = min(taken.deadline - cls.deadline if cls is not None else now, now)
    effect = cls.effect if cls is not None else Effect.UNSAFE
    left = min(taken.deadline - now, cls.deadline if cls is not None else 0.0)
    if first_run_at is not None and effect is Effect.KEYED and cls is not None:
        left = min(left, first_run_at + cls.window - now)
    # A key that holds within one zone gives no protection here: the repeat could go to another zone.
    zone_keyed = effect is Effect.KEYED and cls is not None and cls.group != "all"
    sent_once = first_run_at is not None and (effect is Effect.UNSAFE or zone_keyed)
    if cls is None or unknown or left <= 0.0 or sent_once:
        harmless = first_run_at is None or effect is Effect.SAFE
        final = Final(message.id, "refused" if harmless else "failed", _reason(cls, unknown, left), 0.0, now)
        plan.answered.append(
            AnsweredMessage(
                taken,
                final,
                0.0,
                None if first_run_at is None else now - first_run_at,
                bool(taken.reply),
                True,
            )
        )
        return
    # Follows the highest known number: damage may have lost attempts, and no number may be used twice.
    number = max([*message.intents, *message.ended], default=-1) + 1
    plan.resumed.append(
        ResumedMessage(taken, left, None if first_run_at is None else now - first_run_at, number)
    )


def end_keyless_messages(plan: Plan, classes: Mapping[str, MessageClass], wall: float) -> None:
    """End resumed messages without an idempotency key (their subject) whose class now requires one.

    They were accepted before their class was keyed. The answer is refused if no attempt can have run, else
    failed. For senders that accept no message of a keyed class without a key.
    """
    for message in plan.resumed[:]:
        if classes[message.taken.class_name].effect is Effect.KEYED and not message.taken.subject:
            plan.resumed.remove(message)
            final = Final(
                message.taken.id,
                "refused" if message.ran_ago is None else "failed",
                "its class is keyed now, and it has no key",
                0.0,
                wall,
            )
            plan.answered.append(
                AnsweredMessage(message.taken, final, 0.0, message.ran_ago, bool(message.taken.reply), True)
            )


def _reason(cls: MessageClass | None, unknown: bool, left: float) -> str:
    if cls is None:
        return "its class is no longer in the settings"
    if unknown:
        return "its destination is no longer in the settings"
    if left <= 0.0:
        return "its time, or its key's window, passed while the sender was down"
    return "the sender died while an attempt may have run"
