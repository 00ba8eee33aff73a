"""A random simulation of grants: six copies in three regions, two sources of epochs, all messages tried."""

from __future__ import annotations

import random

import msgspec

from brassweir.agreed import commands
from brassweir.agreed.commands import Publish, encode
from brassweir.agreed.lease_renewal import LeaseRenewal, ProposeRenewal, RenewalInputs
from brassweir.agreed.machine import Machine
from brassweir.agreed.reconciliation import reconciled
from brassweir.interface import Effect
from brassweir.regions import planning
from brassweir.regions.epochs import PLACES, Epoch, EpochError
from brassweir.regions.ownership import Ownership
from brassweir.regions.planning import LossStatement
from brassweir.regions.sources import Source, publisher
from tests.agreed.drawn_copies import Site, Taken
from tests.regions.samples import ASSUMED, LEASE, REGIONS

NAMES = list(REGIONS)
ERROR = ASSUMED.clock_error_ms
EVENTS = (
    "renew renew renew renew renew desired raw raw raw raw read read read read read read step back restart older "
    "switch hand fork"
).split()


class World:
    """One run, from a seed. The judge reads ``tape``."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.now, self.tape = 0.0, list[Taken]()
        self.machine = Machine()
        self.files = [planning.first_epoch(REGIONS, 0.0, LEASE)]
        self.log: list[Epoch] = []
        self.lost: set[str] = set()
        self.office = self.draw.uniform(-ERROR, ERROR)
        self.copies = [
            Site(name, Ownership(name, ASSUMED, self.files[0]), self.draw.uniform(-ERROR, ERROR))
            for name in NAMES
            for _ in range(2)
        ]
        for copy in self.copies:
            copy.wall(0.0)  # the clock is right when it is first read
        self.messages: dict[str, tuple[float, float | None]] = {}  # birth, and what its client says of it
        self.took: set[tuple[str, str]] = set()
        if self.draw.random() < 0.85:
            self.hand()

    def publish(self, epoch: Epoch, after: int, lost: str = "") -> None:
        try:
            command = encode(Publish(epoch, after, lost))
        except commands.CommandError:
            return  # too many ranges
        self.machine.apply(self.machine.state.index + 1, command)
        agreed = self.machine.state.epoch
        if agreed is not None and (not self.log or self.log[-1] != agreed):
            self.log.append(agreed)
            if publisher(agreed) is Source.FILE:
                self.files.append(agreed)  # head office goes on from what it was handed

    def known(self) -> Epoch:
        """The newest epoch of both sources."""
        return max(
            (self.files[-1], *self.log[-1:]), key=lambda epoch: (epoch.turn, epoch.number, epoch.issued)
        )

    def hand(self) -> None:
        """Hand over to the other source."""
        if publisher(self.known()) is Source.FILE:
            epoch = planning.handed_over(self.known(), self.now + self.office)
            self.publish(epoch, self.machine.state.granted)
            if self.machine.state.epoch == epoch:
                self.files.append(epoch)
        else:
            self.publish(
                planning.handed_over(self.known(), self.now + self.office), self.machine.state.granted
            )

    def plan(self, base: Epoch, now: float) -> Epoch:
        """Move a large range, or drain a region."""
        if self.draw.random() < 0.3:
            return planning.drained(base, self.draw.choice(NAMES), now, LEASE, ASSUMED).epoch
        low = self.draw.randrange(7) * (PLACES // 12)
        return planning.moved(
            base, low, low + PLACES // 2, self.draw.choice(NAMES), now, LEASE, ASSUMED
        ).epoch

    def change(self, kind: str, copy: Site) -> None:
        """Publish as head office does by its file, or as a copy that thinks it leads does by the log."""
        draw, state, newest = self.draw, self.machine.state, self.known()
        if publisher(newest) is Source.FILE or state.epoch is None:
            now = self.now + self.office
            self.files.append(
                planning.renewed(newest, now, LEASE, ASSUMED) if kind == "renew" else self.plan(newest, now)
            )
            return
        wall, trusted = copy.wall(self.now), copy.view.clock_trusted(copy.wall(self.now))
        if kind == "renew":
            decision = LeaseRenewal().step(
                self.now,
                RenewalInputs(
                    True, wall, trusted, state.epoch, state.granted, LEASE, ASSUMED, lost=frozenset(self.lost)
                ),
            )
            if isinstance(decision, ProposeRenewal):
                self.publish(decision.epoch, decision.after)
            return
        # a stale view
        base = draw.choice(
            [old for old in self.log[-12:] if old.issued < self.now - 9_000.0] or self.log[-3:]
        )
        epoch = self.plan(base, self.now + draw.choice((0.0, 0.0, -60_000.0)))
        if kind == "desired" and trusted:  # the copy plans it again
            epoch = msgspec.structs.replace(
                epoch, number=max(epoch.number, state.epoch.number + draw.randrange(2))
            )
            proposed = reconciled(epoch, state.epoch, wall, LEASE, ASSUMED)
            if proposed is not None:
                self.publish(proposed[0], state.granted, proposed[1] if proposed[1] in self.lost else "")
        elif kind == "raw":  # unchanged, as a faulty sender or one with a stale state proposes it
            turn = state.epoch.turn + (draw.random() < 0.3)
            epoch = msgspec.structs.replace(
                epoch,
                turn=turn,
                number=state.epoch.number + draw.randrange(2),
                issued=max(epoch.issued, state.epoch.issued),
            )
            self.hear(2)
            self.publish(epoch, draw.choice((state.granted, state.granted, max(0, state.granted - 1))))
            self.hear(3)

    def hear(self, count: int) -> None:
        """Some copies are set to the right source, and learn the newest epoch."""
        for copy in self.draw.sample(self.copies, count):
            copy.source = publisher(self.known())
            copy.learn(self.known())

    def lose(self) -> None:
        """A region is lost for good: its senders stop, its places are taken over."""
        region = self.draw.choice(NAMES)
        if self.lost or region not in {grant.region for grant in self.known().grants}:
            return
        self.lost.add(region)
        self.copies = [copy for copy in self.copies if copy.region != region]
        last = self.known()
        epoch = planning.taken_over(
            last, region, self.now + self.office, LEASE, ASSUMED, LossStatement(True, True)
        ).epoch
        if publisher(last) is Source.FILE:
            self.files.append(epoch)
        else:
            self.publish(epoch, self.machine.state.granted, region)

    def fork(self) -> None:
        """All copies have taken a handover to the log, and head office goes on from an older state."""
        if publisher(self.known()) is Source.FILE:
            return
        for copy in self.copies:
            copy.source = Source.AGREED
            copy.learn(self.known())
            if copy.view.epoch != self.known():
                return
            copy.durable = [self.known()]
        older = next((copy for copy in reversed(self.files) if publisher(copy) is Source.FILE), self.files[0])
        stray = planning.renewed(older, self.now + self.office, LEASE, ASSUMED)
        stray = msgspec.structs.replace(
            stray, number=self.known().number + 1, issued=max(stray.issued, self.known().issued)
        )
        for copy in self.draw.sample(self.copies, 2):
            copy.source = Source.FILE
            copy.learn(stray)

    def event(self) -> None:
        draw, kind = self.draw, self.draw.choice(EVENTS)
        copy = draw.choice(self.copies)
        if kind in ("renew", "desired", "raw"):
            self.change(kind, copy)
        elif kind == "read":
            for other in draw.sample(self.copies, 2):
                epochs = self.files if other.source is Source.FILE else self.log
                if epochs:
                    other.learn(epochs[-1] if draw.random() < 0.7 else draw.choice(epochs[-4:]))
        elif kind == "step":
            copy.offset += draw.choice((-100_000.0, -40_000.0, -10_000.0, 10_000.0, 40_000.0, 100_000.0))
        elif kind in ("back", "restart", "older"):  # its operator has set the clock
            copy.offset = draw.uniform(-ERROR, ERROR)
            copy.restart(
                copy.view.epoch if kind != "older" or not copy.durable else draw.choice(copy.durable[-3:]),
                self.now,
            )
        elif kind == "switch":
            source = publisher(self.known())
            for other in self.copies:
                if draw.random() < 0.7:
                    other.source = source
        elif kind == "hand" and draw.random() < 0.3:
            self.hand()
        elif kind == "fork":
            self.fork() if draw.random() < 0.7 else self.lose()

    def pass_on(self) -> None:
        """Advance the time, often to just before or after a grant begins or ends, on some clock."""
        edges = [
            edge + by
            for grant in self.known().grants
            for edge in (grant.begins, grant.ends)
            for by in (-300.0, 0.0, 300.0, 700.0)
            if self.now < edge + by < self.now + 20_000.0
        ]
        self.now = (
            self.draw.choice(edges)
            if edges and self.draw.random() < 0.4
            else self.now + self.draw.uniform(0.0, 4_000.0)
        )

    def ask(self) -> None:
        """Try every message that may be tried, at every copy."""
        for _ in range(2):
            stamp = self.now + self.draw.uniform(-ERROR, ERROR) if self.draw.random() < 0.6 else None
            self.messages[f"m{len(self.messages)}"] = (self.now, stamp)
        for copy in self.copies:
            wall = copy.wall(self.now)
            for name, (born, stamp) in self.messages.items():
                if (
                    self.now <= born + ASSUMED.answer_window_ms
                    and (name, copy.region) not in self.took
                    and copy.view.refusal(Effect.UNSAFE, "c", name, wall, stamp) is None
                ):
                    self.took.add((name, copy.region))
                    self.tape.append((name, copy.region, self.now, self.now + ASSUMED.max_deadline_ms))


def run(seed: int, steps: int = 60) -> list[Taken]:
    """The tape of one run."""
    world = World(seed)
    for _ in range(steps):
        try:
            world.event()
        except EpochError:
            pass  # what cannot be planned is not
        world.pass_on()
        world.ask()
    return world.tape
