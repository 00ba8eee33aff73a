"""The failure detector of one copy: SWIM with Lifeguard's extensions. Pure: ``step(now, facts) -> steps``.

All times are milliseconds of one monotonic clock. The caller steps it with each message, and at ``due``.
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
    GOSSIP,
    NACK,
    PING,
    PING_REQ,
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
    decode,
    encode,
)
from brassweir.peers.probing import Prober
from brassweir.peers.rtt import RttEstimator
from brassweir.peers.tuning import DEFAULT, Tuning


class FailureDetector:
    """One copy's failure detector. ``counts``: events by name, for metrics."""

    def __init__(
        self, fleet: Fleet, generation: int, now: float, rng: random.Random, tuning: Tuning = DEFAULT
    ) -> None:
        self.fleet, self.rng, self.tuning = fleet, rng, tuning
        self.counts: Counter[str] = Counter()
        self.health, self.rtt = Health(tuning), RttEstimator(tuning)
        self.isolation = IsolationDetector(fleet, now, tuning)
        self.table = MembershipTable(fleet, generation, now, tuning, self.health, self.rtt)
        self.prober, self.indirect = Prober(tuning, self.rtt, rng), IndirectProbes()
        self.claims = Dissemination(self.table, fleet, tuning, rng)
        self.left = False
        self.due = now
        self.next_probe = now + rng.random() * tuning.probe_period_ms
        self.next_retry = now
        self.next_gossip = float("-inf")
        self.local_view = LocalView(fleet, self.table, self.isolation, self.health, tuning)
        self.steps: list[Step] = []

    def step(self, now: float, facts: Iterable[Fact] = ()) -> list[Step]:
        """Apply facts, run what is due, and return what is to be done."""
        if now > self.due + self.tuning.stall_ms:
            self._stalled(now, now - self.due)
        for fact in facts:
            if isinstance(fact, Received):
                self._receive(fact, now)
            elif isinstance(fact, LoopDelayed):
                self.health.loop_delayed(fact.delay_ms)
            elif isinstance(fact, CopiesChanged):
                self._set_fleet(fact.fleet, now)
            else:
                self._leave()
        if now >= self.due:
            self._run(now)
        self.steps += self.local_view.steps(now, self.counts)
        steps, self.steps = self.steps, []
        return steps

    def view(self) -> View:
        """This copy's current view of all others and of itself."""
        return self.local_view.view()

    # ---- facts

    def _receive(self, fact: Received, now: float) -> None:
        sender = fact.sender
        member = self.table.members.get(sender)
        if member is None:
            return
        try:
            message = decode(fact.body)
        except SwimMessageError:
            self.counts["bad_body"] += 1
            return
        self.isolation.heard(sender, now)
        self.local_view.heard(sender)
        self._apply(Claim(sender, fact.generation, message.incarnation, ALIVE), now)
        for claim in message.claims:
            self._apply(claim, now)
        if message.kind == PING:
            claims = self.claims.for_answer(sender, message.wants_state)
            self._send(sender, ACK, message.number, claims)
        elif message.kind == ACK:
            self._acked(sender, message, now)
        elif message.kind == PING_REQ:
            self._probe_for(sender, message, now)
        elif message.kind == NACK:
            self.prober.nacked(message.number, sender)
        elif message.kind != GOSSIP:
            self.counts["unknown_talk"] += 1
        if message.kind != PING and member.status != ALIVE and now >= member.notified + self.tuning.gossip_ms:
            member.notified = now
            self._contact(sender, GOSSIP)
        if len(self.table.gossip):
            self.due = min(self.due, max(self.next_gossip, now))

    def _apply(self, claim: Claim, now: float) -> None:
        generation = self.table.apply_claim(claim, now)
        if generation is not None:
            self.steps.append(NewGeneration(generation))

    def _acked(self, sender: str, message: SwimMessage, now: float) -> None:
        relay = self.indirect.answered(message.number, sender)
        if relay is not None:
            self._send(relay.asker, ACK, relay.number, self.claims.about(relay.target), relay.target)
            return
        if message.subject in self.table.members:  # through a helper: it lives and can be reached
            self.isolation.heard(message.subject, now)
            self.local_view.heard(message.subject)
        probe = self.prober.acked(message.number, sender, now)
        if probe is not None:
            self.health.probe_answered()
        self.claims.page_received()

    def _probe_for(self, asker: str, message: SwimMessage, now: float) -> None:
        relay = IndirectProbe(asker, message.number, message.subject, now + self.rtt.timeout)
        number = self.indirect.start(relay) if message.subject in self.table.members else None
        if number is None:
            self._send(asker, NACK, message.number, (), message.subject)
            return
        self._send(message.subject, PING, number, self.claims.for_probe(message.subject))
        self.due = min(self.due, relay.deadline)

    def _stalled(self, now: float, gap: float) -> None:
        """Discard what timed out while this process stood still: it says nothing of others."""
        self.counts["stalls"] += 1
        self.prober.abandon()
        self.indirect.open.clear()
        self.table.shift_times(gap)
        self.isolation.shift_times(gap)
        self.health.stalled(now)

    def _set_fleet(self, fleet: Fleet, now: float) -> None:
        change = fleet.changes_from(self.fleet)
        self.fleet = fleet
        self.table.set_fleet(fleet)
        self.isolation.set_fleet(fleet, now)
        self.claims.set_fleet(fleet)
        self.local_view.set_fleet(fleet)
        if change.added:
            self.prober.add_targets(sorted(change.added))
            self.claims.request_state()
        self.due = now

    def _leave(self) -> None:
        self.left = self.table.left = True
        claim = Claim(self.table.own, self.table.generation, self.table.incarnation, DEAD, self.table.own)
        for name in self.claims.random_live(2 * self.tuning.gossip_fanout):
            self._send(name, GOSSIP, 0, (claim,))

    # ---- time

    def _run(self, now: float) -> None:
        table, tuning = self.table, self.tuning
        if not self.left:
            self._probe(now)
        for relay in self.indirect.expired(now):
            self._send(relay.asker, NACK, relay.number, self.claims.about(relay.target), relay.target)
        if self.isolation.update(now, self.rtt.timeout, table.dead) and self.local_view.cut_changed(now):
            self.prober.abandon()  # begun while this copy was cut off
            self.claims.request_state()
        table.expire(now, self.isolation, self._last_call)
        self.local_view.end_recovery(now)
        if len(table.gossip) and now >= self.next_gossip and not self.left:
            self.next_gossip = now + tuning.gossip_ms
            for name in self.claims.random_live(tuning.gossip_fanout):
                self._send(name, GOSSIP, 0, self.claims.for_gossip(name))
        self.due = min(
            now + tuning.max_step_gap_ms,
            max(now, self.next_probe),
            self.prober.due(),
            self.indirect.next_deadline(),
            self.next_gossip if len(table.gossip) else math.inf,
            table.next_check(now),
        )

    def _probe(self, now: float) -> None:
        table, score = self.table, self.health.score
        if now >= self.next_probe:
            self.next_probe = max(self.next_probe + self.tuning.probe_period_ms * (1 + score), now)
            target = self.prober.next_target(self.fleet, table.dead)
            if target is not None:
                self.prober.start(target, now)
        if table.dead:
            self._retry_dead(now)
        requests, failed = self.prober.advance(now, score, self.claims.helpers)
        for kind, to, subject, number in requests:
            claims = self.claims.for_probe(to) if kind == PING else ()
            self._send(to, kind, number, claims, subject, kind == PING and self.claims.pages_wanted > 0)
        for probe in failed:
            self.counts["probes_failed"] += 1
            self.isolation.probe_failed(probe.name)
            if probe.helpers and not probe.responders:
                self.health.helpers_silent()
            if not self.isolation.level(probe.name) and self.isolation.has_witness(probe.name, probe.started):
                table.suspect(probe.name, now)
        self.prober.prune(now)

    def _retry_dead(self, now: float) -> None:
        """Ping one of the dead copies from time to time, so that both sides notice the end of a partition."""
        dead = self.table.dead
        gap = max(self.tuning.min_retry_ms, self.tuning.retry_ms * (self.table.size - len(dead)) / len(dead))
        self.next_retry = min(self.next_retry, now + gap * 1.5)
        if now >= self.next_retry:
            self.next_retry = now + gap * (0.5 + self.rng.random())
            self._contact(self.rng.choice(sorted(dead)))

    # ---- messages

    def _last_call(self, name: str) -> None:
        """Ping a suspected copy directly and through a helper: the link may be down in one direction."""
        self._contact(name)
        for helper in self.claims.helpers(name)[:1]:
            self._send(helper, PING_REQ, 0, (), name)

    def _contact(self, name: str, kind: int = PING) -> None:
        """Send a message outside of any probe, with the claim about the receiver alone."""
        self._send(name, kind, 0, self.claims.about_receiver(name))

    def _send(
        self, to: str, kind: int, number: int, claims: Iterable[Claim], subject: str = "", state: bool = False
    ) -> None:
        message = SwimMessage(kind, number, self.table.incarnation, tuple(claims), subject, state)
        self.steps.append(Send(to, encode(message)))
