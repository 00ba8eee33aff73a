"""Modelled clients: what they hand in, what becomes of it, and when they ask again."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from brassweir.core.ports import FinalAnswer, Payload, Submission
from brassweir.lab.judges.tape import Answered, HandIn
from brassweir.lab.models.day import Order

if TYPE_CHECKING:
    from brassweir.lab.simulated.stage import Stage

LOST_PAUSE = 300.0  # ms until a client whose connection broke asks again
PATIENCE = 10_000.0  # ms beyond its time for which a client whose connection broke asks on


@dataclass(slots=True)
class Fate:
    """What became of one message: for the table of results. Times in ms."""

    order: Order
    number: int
    tries: int = 0
    answer: str = ""
    age: float = 0.0
    refusals: int = 0
    attempts: int = 0
    met: set[str] = field(default_factory=set)  # results of its attempts that were no delivery


class Clients:
    """All clients of a day: they hand in, ask on where a connection broke, and try again as they are told."""

    def __init__(self, stage: Stage) -> None:
        self.stage, self.day, self.clock, self.tape = stage, stage.day, stage.clock, stage.tape
        self.rng = Random(f"{stage.day.seed} clients")
        self.fates: dict[str, Fate] = {}

    def begin(self, order: Order, number: int) -> None:
        """Hand a message in for the first time."""
        payment = f"p-{number}"
        self.fates[payment] = Fate(order, number)
        self._hand_in(order, payment, 0, self.clock.now(), order.sender)

    def _hand_in(
        self, order: Order, payment: str, attempt: int, begun: float, to: int, lost: bool = False
    ) -> None:
        """One try; ``lost`` says that the last one broke: its client asks on, to learn the answer."""
        day, now = self.day, self.clock.now()
        cls = self.stage.classes[order.class_name]
        fate = self.fates[payment]
        left = begun + cls.deadline - now
        over = left <= -PATIENCE if lost else left <= 100.0 or fate.refusals >= day.clients.tries
        if over:
            return
        left = max(left, 1.0)
        sender = self.stage.senders[to]
        client = f"c{order.client}"
        if sender.engine is None:  # nobody listens there
            self.clock.call_at(
                now + LOST_PAUSE, lambda: self._again(order, payment, attempt, begun, to, LOST_PAUSE, True)
            )
            return
        fate.tries += 1
        self.tape.add(
            HandIn(
                now / 1000.0,
                client,
                sender.name,
                payment,
                payment,
                order.class_name,
                order.key,
                day.homes[order.destination - 1].name,
                attempt,
                left / 1000.0,
            )
        )
        open_ = True

        def answered(answer: FinalAnswer) -> None:
            nonlocal open_
            if not open_:
                return
            open_ = False
            sender.cut.remove(broke)
            self._answered(order, payment, attempt, begun, to, answer)

        def broke() -> None:
            nonlocal open_
            open_ = False
            self.tape.add(Answered(self.clock.now() / 1000.0, client, payment, payment, "lost", attempt))
            self._again(order, payment, attempt, begun, to, LOST_PAUSE, True)

        sender.cut.append(broke)
        payload = Payload("a/b", payment.encode()) if sender.storage is not None else None
        sender.engine.submit(
            Submission(
                "client", payment, order.class_name, order.destination, left, order.key, attempt > 0, payload
            ),
            answered,
        )

    def _answered(
        self, order: Order, payment: str, attempt: int, begun: float, to: int, answer: FinalAnswer
    ) -> None:
        now, fate = self.clock.now(), self.fates[payment]
        self.tape.add(
            Answered(
                now / 1000.0,
                f"c{order.client}",
                payment,
                payment,
                answer.answer.value,
                attempt,
                answer.retry_after / 1000.0,
            )
        )
        fate.answer, fate.age = answer.answer.value, now - begun
        if answer.answer.value != "refused":
            return
        fate.refusals += 1
        day = self.day
        pause = answer.retry_after if self.rng.random() < day.clients.honour_wait else 0.0
        pause = max(pause, day.clients.backoff * (2.0**attempt) * (0.5 + self.rng.random()))
        self._again(order, payment, attempt, begun, to, pause)

    def _again(
        self,
        order: Order,
        payment: str,
        attempt: int,
        begun: float,
        to: int,
        pause: float,
        lost: bool = False,
    ) -> None:
        # Ordered and unsafe messages stay with their sender: another could not know what became of them.
        stays = bool(order.key) or self.stage.effects[order.class_name] == "unsafe"
        if not stays and self.rng.random() < self.day.clients.moves:
            to = self.rng.randrange(len(self.stage.senders))
        self.clock.call_at(
            self.clock.now() + pause, lambda: self._hand_in(order, payment, attempt + 1, begun, to, lost)
        )
