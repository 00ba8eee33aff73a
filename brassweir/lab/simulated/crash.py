"""A scripted run of engine and journal on simulated time, crashed at every storage step and recovered.

The world outside survives each crash: clients that remember what they were told, and partners that remember
what they did. Clients ask again after a crash, as real ones do, with the same identity. What is checked comes
from that world alone.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from brassweir import interface as api
from brassweir.core.clock import SimClock
from brassweir.core.engine import Engine
from brassweir.core.ports import Clock, FinalAnswer, Payload, Submission
from brassweir.journal.recover import plan_recovery
from brassweir.journal.restart import apply_plan
from brassweir.journal.scan import scan
from brassweir.journal.store import JournalStore
from brassweir.journal.writer import Writer
from brassweir.lab.simulated.crash_world import BY_NAME, CLASSES, Partners, Script, World
from brassweir.lab.simulated.disk import Crash, SimIo, SimStorage

SETTINGS = api.Settings(
    classes=CLASSES, slots=6, max_open=60, max_retry_after=1500.0, order_pause=100.0, cold=2000.0, senders=2
)
REMEMBER = 600_000.0
ENDPOINTS = tuple(api.EndpointInfo(f"d{i}-{j}", i, "") for i in (1, 2, 3) for j in (0, 1))
DOWN = 200.0  # ms from a crash to the next start
ASYNC = 3  # every third client is told "accepted", waits for a receipt, and never asks again
CONFIRMED = 0.9  # share of the receipts whose confirmation arrives
COMMIT = 3.0  # ms in which a fact is surely durable here: a group under way, and its own
Tamper = Callable[[JournalStore], None]


class Run:
    """One life of the world, over as many lives of the sender as it takes."""

    def __init__(
        self,
        script: Script,
        seed: int,
        storage: SimStorage,
        tamper: Tamper | None = None,
        remember: float = REMEMBER,
    ) -> None:
        self.script, self.seed, self.storage, self.tamper = script, seed, storage, tamper
        self.remember = remember
        self.world = World()
        self.lives = 0
        self.now = 1000.0
        self.broken: list[BaseException] = []
        self.asked: set[str] = set()

    def life(self, until: float) -> bool:
        """Start a sender on the disk as it is and run to ``until``; false if it crashed."""
        clock = SimClock(self.now)
        self.lives += 1
        mine = self.lives
        ended = False
        alive = lambda: self.lives == mine and not ended  # noqa: E731 - it is passed on
        try:
            engine, store = self._start(clock, alive)
            for at, name, cls, destination, key in self.script.orders:
                # Those before this life are asked for again, with the same identity, as clients do.
                when = max(at + 1000.0, clock.now() + 1.0)
                if name not in self.world.accepted:
                    clock.call_at(when, self._hand_in(engine, store, alive, name, cls, destination, key))
            # Rewritten in the middle of all that goes on, again and again, and once more in peace.
            for at in range(1, 5):
                clock.call_at(
                    clock.now() + 500.0 * at, lambda: None if store.compacting else store.compact(clock.now())
                )
            clock.run(until)
            store.compact(clock.now())
            clock.run(until + 50.0)
            self.now = until + 50.0
            return True
        except Crash:
            ended = True
            # What it was told just before, and could not have written, it cannot know: like a lost answer.
            self.world.waits = {
                where: told for where, told in self.world.waits.items() if clock.now() - told[0] > COMMIT
            }
            self.now = clock.now() + DOWN
            return False

    def _owing(
        self, clock: Clock, store: JournalStore, alive: Callable[[], bool], ident: int, name: str
    ) -> Callable[[FinalAnswer], None]:
        """Brings the receipt of a client that was told "accepted"; now and then its confirmation is lost."""
        rng = Random(f"{self.seed} {name} {self.lives}")

        def bring(answer: FinalAnswer) -> None:
            def brought() -> None:
                if not alive():
                    return
                self.world.answers[name].append((clock.now(), answer))
                self.world.receipts[name] += 1
                if rng.random() < CONFIRMED:
                    store.receipt_delivered(ident)

            clock.call_at(clock.now() + rng.uniform(1.0, 30.0), brought)

        return bring

    def _hand_in(
        self,
        engine: Engine,
        store: JournalStore,
        alive: Callable[[], bool],
        name: str,
        cls: str,
        destination: int,
        key: str,
    ) -> Callable[[], None]:
        def later(left: float, payload: Payload) -> None:
            given = Submission(
                "client", name, cls, destination, max(left, 1.0), key, payload=payload, reply_to=b"r"
            )
            bring: list[Callable[[FinalAnswer], None]] = []
            _, record = engine.submit(given, lambda answer: bring[0](answer))
            bring.append(self._owing(engine.clock, store, alive, record.id, name))
            engine.when_persisted(record, lambda: self.world.accepted.add(name))

        def go() -> None:
            world, now = self.world, engine.clock.now()
            world.messages.setdefault(name, (now, cls, destination, key))
            left = world.messages[name][0] + 5500.0 - now
            payload = Payload("a/b", name.encode())
            if int(name[1:]) % ASYNC == 0:
                later(left, payload)
                return
            engine.submit(
                Submission("client", name, cls, destination, max(left, 1.0), key, payload=payload),
                lambda answer: world.answers[name].append((engine.clock.now(), answer)),
            )

        return go

    def _start(self, clock: SimClock, alive: Callable[[], bool]) -> tuple[Engine, JournalStore]:
        found = scan(self.storage)
        writer = Writer(self.storage, found)
        writer.open()
        store = JournalStore(
            writer, SimIo(clock, 0.7), BY_NAME, clock.now, str, self.broken.append, self.remember
        )
        if self.tamper is not None:
            self.tamper(store)
        world = self.world
        made = plan_recovery(
            found.state, found.holes, BY_NAME, clock.now(), self.remember, SETTINGS.order_pause
        )
        partners = Partners(world, clock, self.seed, alive)
        engine = Engine(SETTINGS, self.seed, clock, lambda _: partners, store=store)
        engine.update_list(api.ListUpdate(api.ListKind.FULL, ENDPOINTS))
        store.record_start("sim")
        if made.pause:
            clock.run(clock.now() + made.pause)
        apply_plan(
            made,
            engine,
            store,
            int,
            lambda ident, submission: self._owing(clock, store, alive, ident, submission.identity),
        )
        return engine, store

    def check(self) -> list[str]:
        """What went wrong, from the world's side."""
        world = self.world
        problems = list(world.problems)
        for name, (_, cls, _, _) in world.messages.items():
            answers = [answer for _, answer in world.answers[name]]
            if not answers:
                known = "was accepted and" if name in world.accepted else ""
                problems.append(f"{name} {known} never had an answer")
                continue
            if world.receipts[name] > 1 + self.lives:
                problems.append(f"{name} was brought {world.receipts[name]} receipts in {self.lives} lives")
            finals = {answer.answer.value for answer in answers if answer.answer.value != "refused"}
            if len(finals) > 1:
                problems.append(f"{name} was told {' and '.join(sorted(finals))}")
            kind = BY_NAME[cls].effect
            if kind is not api.Effect.SAFE and world.effects[name] > 1:
                problems.append(f"{name} ({cls}) took effect {world.effects[name]} times")
            if "delivered" in finals and not world.effects[name]:
                problems.append(f"{name} was called delivered and had no effect")
            refused = answers[-1].answer.value == "refused"
            if refused and kind is api.Effect.UNSAFE and world.maybe[name]:
                problems.append(f"{name} was refused as if harmless, and may have run")
        return problems


@dataclass(slots=True)
class Sweep:
    """What a sweep came to."""

    points: int = 0
    crashes: int = 0
    messages: int = 0
    problems: list[str] = field(default_factory=list)


def steps_of(script: Script, seed: int) -> int:
    """Storage steps of an undisturbed run."""
    run = Run(script, seed, SimStorage())
    run.life(30_000.0)
    return run.storage.step


def sweep(
    seed: int,
    count: int,
    modes: Sequence[str],
    points: Sequence[int] | None = None,
    tamper: Tamper | None = None,
    loops: int = 1,
) -> Sweep:
    """Crash at each of ``points`` (all if None) in each mode, ``loops`` times in a row; recover and check."""
    script = Script.draw(seed, count, 2500.0)
    found = Sweep()
    total = steps_of(script, seed)
    for point in points if points is not None else range(1, total + 1):
        for mode in modes:
            rng = Random(f"{seed} {point} {mode}")
            run = Run(script, seed, SimStorage(), tamper)
            run.storage.crash_at = point
            for loop in range(loops + 1):
                if run.life(30_000.0):
                    break
                found.crashes += 1
                run.storage = run.storage.after(mode, rng)
                # A crash loop: the next one may fall into the recovery itself.
                run.storage.crash_at = rng.randint(1, 40) if loop + 1 < loops else None
            found.points += 1
            found.messages += len(run.world.messages)
            found.problems += [f"step {point}, {mode}: {what}" for what in run.check()]
    return found
