"""Who is alive: SWIM with Lifeguard's amendments, as one copy steps it. Pure: ``step(now, facts) -> steps``.

All times are milliseconds of one monotonic clock. Its owner steps it with each message, and at ``due``.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable

from brassweir.peers.claims import ALIVE, DEAD, SUSPECTED, WORDS, Claim
from brassweir.peers.contact import Contact
from brassweir.peers.copies import Fleet
from brassweir.peers.health import Health
from brassweir.peers.helping import Errand, Errands
from brassweir.peers.pace import Pace
from brassweir.peers.probing import Prober
from brassweir.peers.sharing import Sharing
from brassweir.peers.table import Table
from brassweir.peers.talk import (
    ACK,
    ASK,
    NACK,
    PING,
    PUSH,
    Changed,
    Fact,
    Heard,
    Late,
    Listed,
    Relive,
    SelfChanged,
    Send,
    Step,
    Talk,
    TalkError,
    View,
    pack,
    unpack,
)
from brassweir.peers.tuning import DEFAULT, Tuning


class Core:
    """One copy's liveness. ``counts`` is for metrics: what happened, by word."""

    def __init__(self, fleet: Fleet, life: int, now: float, rng: random.Random,
                 tuning: Tuning = DEFAULT) -> None:
        self.fleet, self.rng, self.tuning = fleet, rng, tuning
        self.counts: Counter[str] = Counter()
        self.health, self.pace = Health(tuning), Pace(tuning)
        self.contact = Contact(fleet, now, tuning)
        self.table = Table(fleet, life, tuning, self.health)
        self.prober, self.errands = Prober(tuning, self.pace, rng), Errands()
        self.sharing = Sharing(self.table, fleet, tuning, rng)
        self.left = False
        self.due = now
        self.next_probe = now + rng.random() * tuning.period
        self.next_retry = now
        self.next_push = float("-inf")
        self.healing: dict[str, float] = {}  # not heard since the end of a cut: when it began
        self.heal_until = float("-inf")
        self.shown = {copy.name: WORDS[ALIVE] for copy in fleet.others}
        self.self_shown = (False, False, False)
        self.steps: list[Step] = []

    def step(self, now: float, facts: Iterable[Fact] = ()) -> list[Step]:
        """Take facts in and time on; what is to be done now."""
        if now > self.due + self.tuning.stall:
            self._stalled(now, now - self.due)
        for fact in facts:
            if isinstance(fact, Heard):
                self._heard(fact, now)
            elif isinstance(fact, Late):
                self.health.late(fact.ms)
            elif isinstance(fact, Listed):
                self._listed(fact.fleet, now)
            else:
                self._leave()
        if now >= self.due:
            self._run(now)
        self._show(now)
        steps, self.steps = self.steps, []
        return steps

    def view(self) -> View:
        """What this copy thinks of all now."""
        return View(dict(self.shown), *self.self_shown)

    # ---- facts

    def _heard(self, fact: Heard, now: float) -> None:
        sender = fact.sender
        held = self.table.standings.get(sender)
        if held is None:
            return
        try:
            talk = unpack(fact.body)
        except TalkError:
            self.counts["bad_body"] += 1
            return
        self.contact.hear(sender, now)
        if self.healing and self.healing.pop(sender, None) is not None:
            self.table.changed.add(sender)
        self._claim(Claim(sender, fact.life, talk.inc, ALIVE), now)
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
            self._tell(sender)
        if len(self.table.news):
            self.due = min(self.due, max(self.next_push, now))

    def _claim(self, claim: Claim, now: float) -> None:
        life = self.table.hear(claim, now)
        if life is not None:
            self.steps.append(Relive(life))

    def _answered(self, sender: str, talk: Talk, now: float) -> None:
        errand = self.errands.answered(talk.number)
        if errand is not None:
            held = self.table.standings.get(errand.about)
            claims = (held.claim(errand.about),) if held is not None else ()
            self._send(errand.asker, ACK, errand.number, claims, errand.about)
            return
        probe = self.prober.answered(talk.number, sender, now)
        if probe is not None:
            self.health.answered()
        self.sharing.synced()

    def _asked(self, sender: str, talk: Talk, now: float) -> None:
        errand = Errand(sender, talk.number, talk.about, now + self.pace.answer)
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
        self.healing = {name: at for name, at in self.healing.items() if name in fleet}
        if change.added:
            self.sharing.ask()
        self.due = now

    def _leave(self) -> None:
        self.left = self.table.left = True
        claim = Claim(self.table.own, self.table.life, self.table.inc, DEAD, self.table.own)
        for name in self.sharing.some(2 * self.tuning.push_to):
            self._send(name, PUSH, 0, (claim,))

    # ---- time

    def _run(self, now: float) -> None:
        table, tuning = self.table, self.tuning
        if not self.left:
            self._probe(now)
        for errand in self.errands.over(now):
            self._send(errand.asker, NACK, errand.number, (), errand.about)
        if self.contact.look(now, self.pace.answer, table.dead):
            self._cut(now)
        table.expire(now, self.contact, self.pace.answer, self._tell)
        if self.healing and now >= self.heal_until:
            table.changed |= set(self.healing)
            self.healing.clear()
        if len(table.news) and now >= self.next_push and not self.left:
            self.next_push = now + tuning.push
            for name in self.sharing.some(tuning.push_to):
                self._send(name, PUSH, 0, self.sharing.push(name))
        self.due = min(now + tuning.tick, max(now, self.next_probe), self.prober.due(), self.errands.due(),
                       self.next_push if len(table.news) else math.inf, table.due(now, self.pace.answer))

    def _probe(self, now: float) -> None:
        table, score = self.table, self.health.score
        if now >= self.next_probe:
            self.next_probe = max(self.next_probe + self.tuning.period * (1 + score), now)
            target = self.prober.target(self.fleet, table.dead)
            if target is not None:
                self.prober.begin(target, now)
        if table.dead:
            each = self.tuning.retry * (table.size - len(table.dead)) / len(table.dead)
            gap = max(self.tuning.retry_least, each)
            self.next_retry = min(self.next_retry, now + gap * 1.5)
            if now >= self.next_retry:
                self.next_retry = now + gap * (0.5 + self.rng.random())
                self._tell(self.rng.choice(sorted(table.dead)), PING)
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

    def _cut(self, now: float) -> None:
        """A cut was noticed or ended: views follow, nothing is told to others."""
        contact = self.contact
        for scope in (contact.all, contact.outside):
            if scope.level:
                self.healing |= {name: now for name in scope.names if name not in self.healing}
                self.heal_until = math.inf
        if not contact.all.level and not contact.outside.level:
            self.heal_until = now + self.tuning.heal
            self.sharing.ask()
        self.table.changed |= contact.all.names

    # ---- view and messages

    def _state(self, name: str) -> str:
        level = self.contact.level(name)
        status = self.table.standings[name].status
        if level == 2:
            return WORDS[DEAD]
        return WORDS[max(status, SUSPECTED) if level or name in self.healing else status]

    def _show(self, now: float) -> None:
        if self.table.changed:
            changed, self.table.changed = self.table.changed, set()
            self.shown = {name: self.shown.get(name, WORDS[ALIVE]) for name in self.table.standings}
            for name in sorted(changed & self.shown.keys()):
                state = self._state(name)
                if state != self.shown[name]:
                    self.shown[name] = state
                    self.counts[f"became_{state}"] += 1
                    self.steps.append(Changed(name, state))
        alone, outside = self.contact.all.level == 2, self.contact.outside.level == 2
        own = (self.health.doubts(now) or alone, alone, alone or outside)
        if own != self.self_shown:
            self.self_shown = own
            self.steps.append(SelfChanged(*own))

    def _tell(self, name: str, what: int = PUSH) -> None:
        """Tell it at once what is said of it."""
        self._send(name, what, 0, self.sharing.ride(name), sync=False)

    def _send(self, to: str, what: int, number: int, claims: Iterable[Claim], about: str = "",
              sync: bool = False) -> None:
        self.steps.append(Send(to, pack(Talk(what, number, self.table.inc, tuple(claims), about, sync))))
