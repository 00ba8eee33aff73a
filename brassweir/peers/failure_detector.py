"""Who is alive: SWIM with Lifeguard's amendments, as one copy steps it. Pure: ``step(now, facts) -> steps``.

All times are milliseconds of one monotonic clock. Its owner steps it with each message, and at ``due``.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable

from brassweir.peers.claims import ALIVE, DEAD, Claim
from brassweir.peers.copies import Fleet
from brassweir.peers.dissemination import Dissemination
from brassweir.peers.health import Health
from brassweir.peers.indirect_probes import IndirectProbe, IndirectProbes
from brassweir.peers.isolation import IsolationDetector
from brassweir.peers.local_view import LocalView
from brassweir.peers.membership import MembershipTable
from brassweir.peers.messages import (
    ACK,
    ASK,
    NACK,
    PING,
    PUSH,
    CopiesChanged,
    Fact,
    LoopDelayed,
    NewGeneration,
    Received,
    Send,
    Step,
    SwimMessage,
    SwimMessageError,
    View,
    pack,
    unpack,
)
from brassweir.peers.probing import Prober
from brassweir.peers.rtt import RttEstimator
from brassweir.peers.tuning import DEFAULT, Tuning


class FailureDetector:
    """One copy's liveness. ``counts`` is for metrics: what happened, by word."""

    def __init__(
        self, fleet: Fleet, generation: int, now: float, rng: random.Random, tuning: Tuning = DEFAULT
    ) -> None:
        self.fleet, self.rng, self.tuning = fleet, rng, tuning
        self.counts: Counter[str] = Counter()
        self.health, self.pace = Health(tuning), RttEstimator(tuning)
        self.contact = IsolationDetector(fleet, now, tuning)
        self.table = MembershipTable(fleet, generation, now, tuning, self.health, self.pace)
        self.prober, self.errands = Prober(tuning, self.pace, rng), IndirectProbes()
        self.sharing = Dissemination(self.table, fleet, tuning, rng)
        self.left = False
        self.due = now
        self.next_probe = now + rng.random() * tuning.period
        self.next_retry = now
        self.next_push = float("-inf")
        self.showing = LocalView(fleet, self.table, self.contact, self.health, tuning)
        self.steps: list[Step] = []

    def step(self, now: float, facts: Iterable[Fact] = ()) -> list[Step]:
        """Take facts in and time on; what is to be done now."""
        if now > self.due + self.tuning.stall:
            self._stalled(now, now - self.due)
        for fact in facts:
            if isinstance(fact, Received):
                self._heard(fact, now)
            elif isinstance(fact, LoopDelayed):
                self.health.late(fact.ms)
            elif isinstance(fact, CopiesChanged):
                self._listed(fact.fleet, now)
            else:
                self._leave()
        if now >= self.due:
            self._run(now)
        self.steps += self.showing.steps(now, self.counts)
        steps, self.steps = self.steps, []
        return steps

    def view(self) -> View:
        """What this copy thinks of all now."""
        return self.showing.view()

    # ---- facts

    def _heard(self, fact: Received, now: float) -> None:
        sender = fact.sender
        held = self.table.standings.get(sender)
        if held is None:
            return
        try:
            talk = unpack(fact.body)
        except SwimMessageError:
            self.counts["bad_body"] += 1
            return
        self.contact.hear(sender, now)
        self.showing.hear(sender)
        self._claim(Claim(sender, fact.generation, talk.incarnation, ALIVE), now)
        for claim in talk.claims:
            self._claim(claim, now)
        if talk.what == PING:
            claims = self.sharing.answer(sender, talk.sync)
            self._send(sender, ACK, talk.number, claims)
        elif talk.what == ACK:
            self._answered(sender, talk, now)
        elif talk.what == ASK:
            self._asked(sender, talk, now)
        elif talk.what == NACK:
            self.prober.sign(talk.number, sender)
        elif talk.what != PUSH:
            self.counts["unknown_talk"] += 1
        if talk.what != PING and held.status != ALIVE and now >= held.told + self.tuning.push:
            held.told = now
            self._call(sender, PUSH)
        if len(self.table.news):
            self.due = min(self.due, max(self.next_push, now))

    def _claim(self, claim: Claim, now: float) -> None:
        generation = self.table.hear(claim, now)
        if generation is not None:
            self.steps.append(NewGeneration(generation))

    def _answered(self, sender: str, talk: SwimMessage, now: float) -> None:
        errand = self.errands.answered(talk.number, sender)
        if errand is not None:
            self._send(errand.asker, ACK, errand.number, self.sharing.known(errand.about), errand.about)
            return
        if talk.about in self.table.standings:  # through a helper: it lives, and there is a way to it
            self.contact.hear(talk.about, now)
            self.showing.hear(talk.about)
        probe = self.prober.answered(talk.number, sender, now)
        if probe is not None:
            self.health.answered()
        self.sharing.synced()

    def _asked(self, sender: str, talk: SwimMessage, now: float) -> None:
        errand = IndirectProbe(sender, talk.number, talk.about, now + self.pace.answer)
        number = self.errands.take(errand) if talk.about in self.table.standings else None
        if number is None:
            self._send(sender, NACK, talk.number, (), talk.about)
            return
        self._send(talk.about, PING, number, self.sharing.ride(talk.about))
        self.due = min(self.due, errand.until)

    def _stalled(self, now: float, gap: float) -> None:
        """What timed out while this copy stood still says nothing of others."""
        self.counts["stalls"] += 1
        self.prober.forget()
        self.errands.open.clear()
        self.table.shift(gap)
        self.contact.shift(gap)
        self.health.stalled(now)

    def _listed(self, fleet: Fleet, now: float) -> None:
        change = fleet.changed(self.fleet)
        self.fleet = fleet
        self.table.listed(fleet)
        self.contact.listed(fleet, now)
        self.sharing.listed(fleet)
        self.showing.listed(fleet)
        if change.added:
            self.prober.join(sorted(change.added))
            self.sharing.ask()
        self.due = now

    def _leave(self) -> None:
        self.left = self.table.left = True
        claim = Claim(self.table.own, self.table.generation, self.table.incarnation, DEAD, self.table.own)
        for name in self.sharing.some(2 * self.tuning.push_to):
            self._send(name, PUSH, 0, (claim,))

    # ---- time

    def _run(self, now: float) -> None:
        table, tuning = self.table, self.tuning
        if not self.left:
            self._probe(now)
        for errand in self.errands.over(now):
            self._send(errand.asker, NACK, errand.number, self.sharing.known(errand.about), errand.about)
        if self.contact.look(now, self.pace.answer, table.dead) and self.showing.cut(now):
            self.prober.forget()  # begun while this copy was cut off
            self.sharing.ask()
        table.expire(now, self.contact, self._last_call)
        self.showing.time(now)
        if len(table.news) and now >= self.next_push and not self.left:
            self.next_push = now + tuning.push
            for name in self.sharing.some(tuning.push_to):
                self._send(name, PUSH, 0, self.sharing.push(name))
        self.due = min(
            now + tuning.tick,
            max(now, self.next_probe),
            self.prober.due(),
            self.errands.due(),
            self.next_push if len(table.news) else math.inf,
            table.due(now),
        )

    def _probe(self, now: float) -> None:
        table, score = self.table, self.health.score
        if now >= self.next_probe:
            self.next_probe = max(self.next_probe + self.tuning.period * (1 + score), now)
            target = self.prober.target(self.fleet, table.dead)
            if target is not None:
                self.prober.begin(target, now)
        if table.dead:
            self._retry(now)
        asks, failed = self.prober.run(now, score, self.sharing.helpers)
        for what, to, about, number in asks:
            claims = self.sharing.ride(to) if what == PING else ()
            self._send(to, what, number, claims, about, what == PING and self.sharing.asking > 0)
        for probe in failed:
            self.counts["probes_failed"] += 1
            self.contact.fail(probe.name)
            if probe.helpers and not probe.signs:
                self.health.unheard()
            if not self.contact.level(probe.name) and self.contact.witness(probe.name, probe.began):
                table.suspect(probe.name, now)
        self.prober.clean(now)

    def _retry(self, now: float) -> None:
        """Ping one of the dead now and then, so that a healed cut is found from both sides."""
        dead = self.table.dead
        gap = max(self.tuning.retry_least, self.tuning.retry * (self.table.size - len(dead)) / len(dead))
        self.next_retry = min(self.next_retry, now + gap * 1.5)
        if now >= self.next_retry:
            self.next_retry = now + gap * (0.5 + self.rng.random())
            self._call(self.rng.choice(sorted(dead)))

    # ---- messages

    def _last_call(self, name: str) -> None:
        """Ask it, and another about it: the way may be cut in one direction."""
        self._call(name)
        for helper in self.sharing.helpers(name)[:1]:
            self._send(helper, ASK, 0, (), name)

    def _call(self, name: str, what: int = PING) -> None:
        """Ask it, or only tell it, at once, with what is said of it."""
        self._send(name, what, 0, self.sharing.said(name))

    def _send(
        self, to: str, what: int, number: int, claims: Iterable[Claim], about: str = "", sync: bool = False
    ) -> None:
        talk = SwimMessage(what, number, self.table.incarnation, tuple(claims), about, sync)
        self.steps.append(Send(to, pack(talk)))
