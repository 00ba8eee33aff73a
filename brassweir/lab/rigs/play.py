"""Plays a day over sockets and reports it."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from brassweir.lab.judges.checker import judge
from brassweir.lab.judges.tape import Answered, Arrival, Effect, HandIn, Tape
from brassweir.lab.judges.verdict import ClassFigures, Figures, Verdict
from brassweir.lab.rigs.fleet import Fleet
from brassweir.lab.rigs.handle import SenderHandle
from brassweir.lab.rigs.script import Day


@dataclass(slots=True)
class Report:
    """What a day came to."""

    day: str
    seed: int
    seconds: float
    messages: dict[str, dict[str, int]]
    effects: dict[str, dict[str, int]]
    calls: int
    verdict: Verdict
    drains: list[dict[str, Any]] = field(default_factory=list)

    @property
    def clean(self) -> bool:
        """No rule broken and every sender drained within its grace with exit 0."""
        return self.verdict.clean and all(one["exit"] == 0 for one in self.drains)

    def tree(self) -> dict[str, Any]:
        """For JSON."""
        return {
            "day": self.day,
            "seed": self.seed,
            "seconds": round(self.seconds, 1),
            "messages": self.messages,
            "effects_per_payment": self.effects,
            "calls": self.calls,
            "broken_rules": {str(rule): len(found) for rule, found in self.verdict.broken.items()},
            "breaks": [what for found in self.verdict.broken.values() for what in found][:50],
            "rules_tested": {str(rule): count for rule, count in self.verdict.tested.items()},
            "drains": self.drains,
            "clean": self.clean,
        }


def figures_of(day: Day) -> dict[str, ClassFigures]:
    """The classes as the checker needs them."""
    return {cls.name: ClassFigures(cls.effect, cls.window, cls.in_order) for cls in day.plan.classes}


async def play(
    day: Day, seed: int, folder: Path, say: Callable[[str], None] = lambda _: None, fleet: Fleet | None = None
) -> Report:
    """Set up a fleet, play the day, stop everything, and judge the tape."""
    fleet = fleet or Fleet(folder, day.plan, seed)
    say(
        f"setting up {day.plan.senders} senders, {len(day.plan.partners)} partners, "
        f"{day.plan.clients} clients, {day.plan.shippers} shippers in {folder}"
    )
    ends: list[dict[str, Any]] = []
    begun = time.time()
    try:
        await fleet.set_up()
        begun = time.time()
        say(f"playing {day.seconds:.0f} s, {len(day.orders) + len(day.loads)} messages")
        for name, partner in fleet.works().items():
            partner.begin(day.troubles.get(name, []), begun)
        work = [fleet.clients[client].hand_in(order, begun) for client, order in day.orders]
        work += [fleet.shippers[shipper].hand_in(load, begun) for shipper, load in day.loads]
        side = [
            _lists(day, fleet, begun),
            *(_kill(fleet, begun + at, who) for at, who in day.kills),
            *(_storm(fleet, begun + at) for at in day.storms),
            *(_drain(fleet, begun + at, who, ends) for at, who in day.drains),
        ]
        await asyncio.gather(*work, *side)
        await asyncio.sleep(max(0.0, begun + day.seconds - time.time()))
    finally:
        ends += [
            {"sender": name, "exit": code, "seconds": round(took, 2)}
            for name, code, took in await fleet.stop()
        ]
    _look_up_kept(fleet)
    return report(day, seed, fleet.tape, time.time() - begun, ends)


async def _lists(day: Day, fleet: Fleet, begun: float) -> None:
    for at, change in day.lists:
        await asyncio.sleep(max(0.0, begun + at - time.time()))
        fleet.publish(change)


async def _drain(fleet: Fleet, at: float, who: int, ends: list[dict[str, Any]]) -> None:
    await asyncio.sleep(max(0.0, at - time.time()))
    sender = fleet.senders[who]
    code, took = await sender.drain(fleet.plan.drain_grace + 2.0)
    ends.append({"sender": sender.name, "exit": code, "seconds": round(took, 2), "in_the_day": True})
    await sender.start()


async def _storm(fleet: Fleet, at: float) -> None:
    await asyncio.sleep(max(0.0, at - time.time()))
    for shipper in fleet.shippers:
        shipper.stop()


async def _kill(fleet: Fleet, at: float, who: int) -> None:
    await asyncio.sleep(max(0.0, at - time.time()))
    sender = fleet.senders[who]
    assert isinstance(sender, SenderHandle)
    async with fleet.locks[who]:
        await sender.kill()
        await sender.start()


def _look_up_kept(fleet: Fleet) -> None:
    """An ack for a chunk that its sender keeps was no delivery: it stands for a failure that is kept."""
    kept = fleet.kept()
    fleet.tape.seen = [
        replace(one, answer="failed", reason="kept")
        if isinstance(one, Answered) and one.answer == "delivered" and one.ident in kept
        else one
        for one in fleet.tape.seen
    ]


def report(day: Day, seed: int, tape: Tape, seconds: float, ends: list[dict[str, Any]]) -> Report:
    """Count a tape and judge it."""
    class_of = {one.payment: one.class_name for one in tape.seen if isinstance(one, HandIn)}
    last: dict[str, str] = {}
    for one in tape.seen:
        if isinstance(one, Answered) and one.answer in ("delivered", "refused", "failed", "rejected"):
            last[one.payment] = one.answer
    messages: dict[str, Counter[str]] = {cls.name: Counter() for cls in day.plan.classes}
    for payment, name in class_of.items():
        messages[name][last.get(payment, "unanswered")] += 1
    counts = Counter(one.payment for one in tape.seen if isinstance(one, Effect))
    effects: dict[str, Counter[str]] = {cls.name: Counter() for cls in day.plan.classes}
    for payment, name in class_of.items():
        effects[name][str(counts[payment])] += 1
    figures = Figures(answer=day.answer_grace, again=2 if day.kills else 0)
    return Report(
        day.name,
        seed,
        seconds,
        {name: dict(found) for name, found in messages.items()},
        {name: dict(sorted(found.items())) for name, found in effects.items()},
        sum(isinstance(one, Arrival) for one in tape.seen),
        judge(tape, figures_of(day), figures),
        ends,
    )
