"""Checks a recorded run against the six rules of delivery, and counts the situations that tested each rule.

The checker uses only the record, the message classes and the tolerances, and no code of the sender. Where the
record is ambiguous, as when a request crosses an answer that asks to wait, :class:`Figures` holds the
tolerance.
"""

from __future__ import annotations

from collections import Counter, defaultdict

from brassweir.lab.judges.tape import (
    Answered,
    Arrival,
    Effect,
    Ended,
    HandIn,
    Outage,
    Overloaded,
    Published,
    Tape,
    UndeliveredAnswer,
)
from brassweir.lab.judges.verdict import ClassFigures, Figures, Verdict

FINAL = ("delivered", "failed", "rejected")


def judge(tape: Tape, classes: dict[str, ClassFigures], figures: Figures = Figures()) -> Verdict:  # noqa: B008
    """Check a record against all rules and return the violations and the test counts."""
    verdict = Verdict()
    seen = sorted(tape.seen, key=lambda event: event.at)
    _check_answers(seen, classes, figures, verdict)
    _check_effects(seen, classes, verdict)
    _check_drains(seen, figures, verdict)
    _check_recoveries(seen, figures, verdict)
    _check_order(seen, classes, figures, verdict)
    _check_waits(seen, figures, verdict)
    return verdict


def _of_type(seen: list, kind: type) -> list:  # type: ignore[type-arg]
    return [event for event in seen if type(event) is kind]


def _check_answers(seen: list, classes: dict[str, ClassFigures], figures: Figures, verdict: Verdict) -> None:  # type: ignore[type-arg]
    """Rule 1: each message gets one final answer, before its deadline, that matches its effect."""
    first: dict[str, HandIn] = {}
    posts: Counter[str] = Counter()
    for event in _of_type(seen, HandIn):
        first.setdefault(event.ident, event)
        posts[event.ident] += 1
    answers: dict[str, list[Answered]] = defaultdict(list)
    for event in _of_type(seen, Answered):
        answers[event.ident].append(event)
    effects: dict[str, float] = {}
    for effect in _of_type(seen, Effect):
        effects.setdefault(effect.payment, effect.at)
    for ident, given in first.items():
        verdict.tested[1] += 1
        answers_received = [event for event in answers[ident] if event.answer in (*FINAL, "refused")]
        if not answers_received:
            verdict.say(1, f"{given.payment} never had an answer")
            continue
        latest = given.at + given.left + figures.answer
        if answers_received[0].at > latest:
            verdict.say(
                1,
                f"{given.payment} was answered {answers_received[0].at - latest + figures.answer:.2f} s late",
            )
        finals = [event for event in answers_received if event.answer in FINAL]
        if len({event.answer for event in finals}) > 1:
            verdict.say(1, f"{given.payment} was told {' and '.join(event.answer for event in finals)}")
        receipts = [event for event in finals if event.by_receipt]
        if len(receipts) > posts[ident] + figures.again:
            verdict.say(1, f"{given.payment} had {len(receipts)} receipts for {posts[ident]} posts")
        if finals and any(
            event.answer == "refused" and event.at > finals[0].at + figures.flight
            for event in answers_received
        ):
            verdict.say(1, f"{given.payment} was refused after its final answer")
        delivered = next((event for event in finals if event.answer == "delivered"), None)
        if delivered is not None and effects.get(given.payment, 1e18) > delivered.at:
            verdict.say(1, f"{given.payment} was called delivered and had no effect")
        refused = answers_received[-1].answer == "refused" and classes[given.class_name].effect == "unsafe"
        if refused and given.payment in effects:
            verdict.say(1, f"{given.payment} was refused, as if harmless, and took effect")


def _check_effects(seen: list, classes: dict[str, ClassFigures], verdict: Verdict) -> None:  # type: ignore[type-arg]
    """Rule 2: no message takes effect, or is sent again, more often than its class allows."""
    class_of = {event.payment: event.class_name for event in _of_type(seen, HandIn)}
    effects: dict[str, int] = defaultdict(int)
    for event in _of_type(seen, Effect):
        effects[event.payment] += 1
    for payment, count in effects.items():
        kind = classes[class_of[payment]].effect if payment in class_of else "unsafe"
        if kind != "safe" and count > 1:
            verdict.say(2, f"{payment} ({kind}) took effect {count} times")
    # A call may have run unless it ended as "full": the partner then refused it unprocessed.
    how = {(event.partner, event.number): event.how for event in _of_type(seen, Ended)}
    ran: dict[str, Arrival] = {}
    for event in _of_type(seen, Arrival):
        if event.payment not in class_of:
            continue
        figures = classes[class_of[event.payment]]
        before = ran.get(event.payment)
        if before is not None:
            verdict.tested[2] += 1
            if figures.effect == "unsafe":
                verdict.say(2, f"{event.payment} was sent again after a call that may have run")
            elif figures.effect == "keyed" and event.at > before.at + figures.window:
                late = event.at - before.at
                verdict.say(2, f"{event.payment} was sent again {late:.1f} s after its first call")
            if figures.effect == "keyed" and event.ident != before.ident:
                verdict.say(2, f"{event.payment} was sent again under another id")
        if how.get((event.partner, event.number), "") != "full":
            ran.setdefault(event.payment, event)
            if how.get((event.partner, event.number)) not in ("done", "full"):
                verdict.tested[2] += 1  # without a usable answer, a sender could have repeated it


def _check_drains(seen: list, figures: Figures, verdict: Verdict) -> None:  # type: ignore[type-arg]
    """Rule 3: an endpoint gets no new request once the grace period after its drain or removal is over."""
    removed_at: dict[str, float] = {}
    inactive: dict[str, set[str]] = defaultdict(set)  # draining or removed endpoints by partner
    known: dict[str, str] = {}
    for event in seen:
        if isinstance(event, Published):
            for name in known.keys() | event.states.keys():
                state = event.states.get(name, "gone")
                inactive_here = inactive[name.rpartition("-")[0]]
                if state == "ready":
                    removed_at.pop(name, None)
                    inactive_here.discard(name)
                else:
                    removed_at.setdefault(name, event.at)
                    inactive_here.add(name)
            known = dict(event.states)
        elif isinstance(event, Arrival):
            verdict.tested[3] += any(
                event.at > removed_at[name] + figures.drain for name in inactive[event.partner]
            )
            if event.endpoint in removed_at and event.at > removed_at[event.endpoint] + figures.drain:
                verdict.say(
                    3,
                    f"{event.payment} came to {event.endpoint} "
                    f"{event.at - removed_at[event.endpoint]:.2f} s after its drain was told",
                )


def _check_recoveries(seen: list, figures: Figures, verdict: Verdict) -> None:  # type: ignore[type-arg]
    """Rule 4: senders that saw a partner fail do not overload it when it returns."""
    aware: dict[str, set[str]] = defaultdict(set)
    down: dict[str, bool] = {}
    for event in seen:
        if isinstance(event, Outage) and event.cold:
            down[event.partner] = not event.over
            if not event.over:
                # The partner cannot record refused connections, so every sender counts as having seen one.
                aware[event.partner] = (
                    {call.sender for call in _of_type(seen, Arrival)} if event.hidden else set()
                )
            else:
                verdict.tested[4] += 1
        elif isinstance(event, Arrival) and down.get(event.partner):
            aware[event.partner].add(event.sender)
        elif isinstance(event, Ended) and event.how in ("hung", "fallen", "reset"):
            aware[event.partner].add(event.sender)
        elif isinstance(event, Overloaded):
            total = sum(event.by.values())
            aware_calls = sum(count for name, count in event.by.items() if name in aware[event.partner])
            if aware_calls >= figures.blame * total:
                verdict.say(4, f"{event.partner} was pushed over by {event.by}")


def _check_order(seen: list, classes: dict[str, ClassFigures], figures: Figures, verdict: Verdict) -> None:  # type: ignore[type-arg]
    """Rule 5: messages of one key are sent one at a time, in the order in which a sender accepted them."""
    lines: dict[tuple[str, str, str], list[HandIn]] = defaultdict(list)
    begun: set[str] = set()
    posted: dict[str, list[float]] = defaultdict(list)
    for event in _of_type(seen, HandIn):
        posted[event.payment].append(event.at)
        if classes[event.class_name].in_order and event.key and event.ident not in begun:
            begun.add(event.ident)
            lines[event.sender, event.client, event.key].append(event)
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in _of_type(seen, Arrival):
        arrivals[arrival.payment].append(arrival)
    ends = {(event.partner, event.number): event.at for event in _of_type(seen, Ended)}
    answered: dict[str, float] = {}
    for answer in _of_type(seen, Answered):
        if answer.answer in (*FINAL, "refused"):
            answered.setdefault(answer.payment, answer.at)

    def posted_once(payment: str) -> bool:
        """Tell whether it was posted only once before its first call, so that the accepted post is known."""
        until = arrivals[payment][0].at if arrivals[payment] else 1e18
        return sum(at < until for at in posted[payment]) == 1

    for line in lines.values():
        for i, later in enumerate(line):
            for earlier in line[max(0, i - 8) : i]:
                later_calls, earlier_calls = arrivals[later.payment], arrivals[earlier.payment]
                if later.at - earlier.at < figures.gap or not later_calls:
                    continue
                if not posted_once(later.payment) or not posted_once(earlier.payment):
                    continue
                answered_at = answered.get(earlier.payment, 1e18)
                if answered_at < later.at:
                    continue  # the earlier one had ended, so no order applies
                verdict.tested[5] += 1
                first = later_calls[0].at
                # A refused message that is submitted again counts as a new one.
                if (
                    earlier_calls
                    and first < earlier_calls[0].at - figures.gap
                    and earlier_calls[0].at < answered_at
                ):
                    verdict.say(5, f"{later.payment} went before {earlier.payment} of its key")
                for call in earlier_calls:
                    end = ends.get((call.partner, call.number), 1e18)
                    if call.at <= first < min(end, call.at + figures.overlap):
                        verdict.say(5, f"{later.payment} went while {earlier.payment} of its key was out")


def _check_waits(seen: list, figures: Figures, verdict: Verdict) -> None:  # type: ignore[type-arg]
    """Rule 6: a sender sends a partner nothing until the wait that the partner requested is over."""
    waits: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    lost_answers = {(event.partner, event.number) for event in _of_type(seen, UndeliveredAnswer)}
    for event in seen:
        if (
            isinstance(event, Ended)
            and event.waited > 0
            and (event.partner, event.number) not in lost_answers
        ):
            waits[event.partner, event.sender].append((event.at, event.at + event.waited))
        elif isinstance(event, Arrival):
            for requested_at, until in reversed(waits[event.partner, event.sender][-20:]):
                if requested_at + figures.flight < event.at < until - 0.01:
                    verdict.say(
                        6,
                        f"{event.payment} came to {event.partner} from {event.sender} "
                        f"{until - event.at:.2f} s before the end of a wait",
                    )
                    break
                if until - 0.01 <= event.at < until + 5.0:
                    verdict.tested[6] += 1  # sent after the end of the wait
                    break
