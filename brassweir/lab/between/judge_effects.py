"""Judges effects from the tapes of partners and clients: one region for each message, and what of rule 1 the
rig's own faults excuse. Pure."""

from __future__ import annotations

import re
from collections.abc import Sequence

from brassweir.lab.between.seen import Away, Finding, away_at
from brassweir.lab.judges.tape import Answered, Arrival, Ended, HandIn, Tape
from brassweir.lab.judges.verdict import ClassFigures, Verdict

# The two words of rule 1 that a copy which is away by our doing cannot help; what is untrue is never excused.
LATE = re.compile(r"^(\S+) (?:never had an answer|was answered .* late)$")


def one_region(tape: Tape, classes: dict[str, ClassFigures], regions: dict[str, str]) -> Finding:
    """No message that is not safe came to partners from copies of two regions, but for calls refused unseen.

    ``regions``: the region of each copy.
    """
    found = Finding()
    class_of = {one.payment: one.class_name for one in tape.seen if isinstance(one, HandIn)}
    how = {(one.partner, one.number): one.how for one in tape.seen if isinstance(one, Ended)}
    first: dict[str, Arrival] = {}
    for one in sorted((one for one in tape.seen if isinstance(one, Arrival)), key=lambda one: one.at):
        if one.payment not in class_of or classes[class_of[one.payment]].effect == "safe":
            continue
        if how.get((one.partner, one.number)) == "full":
            continue
        before = first.setdefault(one.payment, one)
        found.tested += before is one
        theirs, ours = regions.get(before.sender), regions.get(one.sender)
        if theirs != ours:
            found.broken.append(
                f"{one.payment} was sent by {before.sender} ({theirs}) and by {one.sender} ({ours})"
            )
    posted: dict[str, set[str]] = {}
    for given in tape.seen:
        if isinstance(given, HandIn):
            posted.setdefault(given.payment, set()).add(regions.get(given.sender, ""))
    found.figures["asked_in_two_regions"] = sum(len(where) > 1 for where in posted.values())
    return found


def excuse(verdict: Verdict, tape: Tape, away: Sequence[Away], start: float, grace: float) -> int:
    """Take out of rule 1 late and missing answers where a copy that the message was handed to was away in the
    message's time; how many. ``start``: wall seconds at which ``away`` begins to count."""
    asked: dict[str, list[HandIn]] = {}
    for one in tape.seen:
        if isinstance(one, HandIn):
            asked.setdefault(one.payment, []).append(one)

    def excused(what: str) -> bool:
        found = LATE.match(what)
        return found is not None and any(
            away_at(away, one.sender, one.at - start, one.at - start + one.left + grace)
            for one in asked.get(found[1], ())
        )

    before = len(verdict.broken[1])
    verdict.broken[1] = [what for what in verdict.broken[1] if not excused(what)]
    return before - len(verdict.broken[1])


def own_answers(tape: Tape) -> Tape:
    """The tape without refusals by a copy that said the message is another region's, where its client had any
    other answer: they are no answers of who the message belongs to."""

    def sent_on(one: object) -> bool:
        return isinstance(one, Answered) and one.answer == "refused" and "not here" in one.reason

    others = {one.payment for one in tape.seen if isinstance(one, Answered) and not sent_on(one)}
    return Tape([one for one in tape.seen if not (sent_on(one) and getattr(one, "payment", "") in others)])
