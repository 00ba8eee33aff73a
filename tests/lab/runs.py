"""Short days with a sender in the test's own process, so that it can be looked into or broken on purpose."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from brassweir.lab.judges.tape import Answered, Arrival, Effect
from brassweir.lab.models.desk import Manner
from brassweir.lab.rigs.fleet import Fleet
from brassweir.lab.rigs.local import Lines, LocalSender
from brassweir.lab.rigs.plan import CLASSES, FleetPlan
from brassweir.lab.rigs.play import Report, play
from brassweir.lab.rigs.script import Day
from brassweir.lab.standins.client import Order
from brassweir.lab.standins.works import Trouble
from brassweir.service.process import SenderProcess

Tamper = Callable[[SenderProcess], None]
EFFECTS = {cls.name: cls.effect for cls in CLASSES}


@dataclass(slots=True)
class Ran:
    """A finished run."""

    report: Report
    fleet: Fleet
    logs: list[Lines]

    def answers(self, payment: str) -> list[str]:
        """What its client was told, in order."""
        return [
            one.answer for one in self.fleet.tape.seen if isinstance(one, Answered) and one.payment == payment
        ]

    def arrivals(self, payment: str) -> list[Arrival]:
        """Its calls as partners saw them."""
        return [one for one in self.fleet.tape.seen if isinstance(one, Arrival) and one.payment == payment]

    def effects(self, payment: str) -> int:
        """How often it took effect."""
        return sum(isinstance(one, Effect) and one.payment == payment for one in self.fleet.tape.seen)

    def notes(self, event: str) -> list[dict[str, object]]:
        """Log lines of all senders."""
        return [line for log in self.logs for line in log.of(event)]


def order(
    at: float,
    payment: str,
    cls: str,
    partner: str = "bank",
    key: str = "",
    left: float = 8.0,
    drops: bool = False,
) -> Order:
    """A hand-in at the first sender."""
    return Order(at, payment, cls, EFFECTS[cls], partner, key, left, 0, drops)


def short_day(
    seconds: float,
    orders: list[Order],
    troubles: dict[str, list[Trouble]] | None = None,
    partners: dict[str, Manner] | None = None,
    *,
    asynchronous: int = 0,
    slots: int = 24,
    max_open: int = 300,
) -> Day:
    """A day of one client and one sender."""
    plan = FleetPlan(
        clients=1,
        async_clients=asynchronous,
        partners=partners or {"bank": Manner()},
        slots=slots,
        max_open=max_open,
        drain_grace=3.0,
    )
    return Day("short", seconds, plan, [(0, one) for one in orders], troubles or {})


async def ran(day: Day, folder: Path, tamper: Tamper | None = None, seed: int = 1) -> Ran:
    """Play a day with senders in this process."""
    logs: list[Lines] = []

    def launch(name: str, settings: Path, port: int) -> LocalSender:
        sender = LocalSender(name, settings, port, tamper)
        logs.append(sender.log)
        return sender

    fleet = Fleet(folder, day.plan, seed, launch)
    return Ran(await play(day, seed, folder, fleet=fleet), fleet, logs)
