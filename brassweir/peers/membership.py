"""What one copy holds of each: standings, suspicions under way, and the news that follows from them. Pure."""

from __future__ import annotations

from collections.abc import Callable

from brassweir.peers.claims import ALIVE, DEAD, SUSPECTED, Claim, ClaimEffect, MemberState, claim_effect
from brassweir.peers.copies import Fleet
from brassweir.peers.gossip_queue import GossipQueue
from brassweir.peers.health import Health
from brassweir.peers.isolation import IsolationDetector
from brassweir.peers.rtt import RttEstimator
from brassweir.peers.suspicion import Span, Suspicion, span
from brassweir.peers.tuning import Tuning

AGAIN = 100.0  # ms; a suspicion that may not end yet is looked at again after so long
FURTHEST = 1 << 61  # no generation is so late; going on from it would end the numbers
MANY = 8  # with more suspicions than this, all are looked at twice as often instead of each at its time


class MembershipTable:
    """The shared part of a copy's state; ``changed`` collects the names whose standing changed."""

    def __init__(
        self, fleet: Fleet, generation: int, now: float, tuning: Tuning, health: Health, pace: RttEstimator
    ) -> None:
        self.tuning, self.health, self.pace = tuning, health, pace
        self.own, self.generation, self.incarnation = fleet.own.name, generation, 0
        self.renewed_at = float("-inf")
        self.news = GossipQueue(tuning)
        self.standings: dict[str, MemberState] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self.dead: frozenset[str] = frozenset()
        self.changed: set[str] = set()
        self.refuted = self.twins = 0
        self.joins_until = now + tuning.join
        self.left = False  # this process ends: its death is no rumour
        self.listed(fleet)

    def listed(self, fleet: Fleet) -> None:
        """Another list: who is new counts as alive, who is gone is forgotten."""
        self.size = len(fleet)
        names = [copy.name for copy in fleet.others]
        for name in set(self.standings) - set(names):
            self.suspicions.pop(name, None)
            self.news.drop(name)
        self.standings = {name: self.standings.get(name) or MemberState() for name in names}
        self.dead = frozenset(name for name in self.dead if name in self.standings)
        self.changed |= set(names)

    def self_claim(self) -> Claim:
        """What this copy says of itself."""
        return Claim(self.own, self.generation, self.incarnation, ALIVE)

    def hear(self, claim: Claim, now: float) -> int | None:
        """Take note of a claim; a later generation to go on as, if it was about us and called for one."""
        if claim.name == self.own:
            return self._of_self(claim, now)
        held = self.standings.get(claim.name)
        if held is None:
            return None  # not in this copy's file
        weight = claim_effect(held, claim, joins=now < self.joins_until)
        if weight is ClaimEffect.TAKE:
            self.take(claim, now)
        elif weight is ClaimEffect.CONFIRM:
            if self.suspicions[claim.name].confirm(claim.by, self.span().enough):
                self.news.put(claim)
        elif weight is ClaimEffect.DOUBT:
            if held.status == ALIVE or (held.generation, held.incarnation) < (
                claim.generation,
                claim.incarnation,
            ):
                self.take(Claim(claim.name, claim.generation, claim.incarnation, SUSPECTED, claim.by), now)
            self.suspicions[claim.name].found = True
        return None

    def _of_self(self, claim: Claim, now: float) -> int | None:
        if claim.generation > self.generation:
            if claim.generation > FURTHEST or now < self.renewed_at + self.tuning.renew_after:
                return None
            self.twins += self.renewed_at > float("-inf")
            self.renewed_at = now
            self.generation, self.incarnation = claim.generation + 1, 0
            self.news.put(self.self_claim())
            return self.generation
        if (
            not self.left
            and claim.generation == self.generation
            and claim.status != ALIVE
            and claim.incarnation >= self.incarnation
        ):
            self.refute(claim, now)
        return None

    def first_found(self, name: str) -> str:
        """Who suspects it: an independent finder, so that passing it on confirms nothing."""
        suspicion = self.suspicions.get(name)
        return min(suspicion.by) if suspicion is not None else ""

    def refute(self, claim: Claim, now: float) -> None:
        """Say with a higher incarnation that this copy is alive."""
        self.incarnation = claim.incarnation + 1
        self.refuted += 1
        self.health.refuted(now)
        self.news.put(self.self_claim())

    def take(self, claim: Claim, now: float) -> None:
        """Hold a claim in place of what was held, and pass it on if it is news."""
        held = self.standings[claim.name]
        known = held.generation > 0 or held.status != ALIVE
        if known or claim.status != ALIVE:
            self.news.put(claim)
        if held.status != claim.status:
            self.changed.add(claim.name)
            if claim.status == DEAD:
                self.dead |= {claim.name}
            elif held.status == DEAD:
                self.dead -= {claim.name}
        held.generation, held.incarnation, held.status = claim.generation, claim.incarnation, claim.status
        if claim.status == SUSPECTED:
            self.suspicions[claim.name] = Suspicion(now, claim.by)
        else:
            self.suspicions.pop(claim.name, None)

    def suspect(self, name: str, now: float) -> None:
        """The own probe of it failed."""
        held = self.standings.get(name)
        if held is not None and held.status != DEAD:
            self.hear(Claim(name, held.generation, held.incarnation, SUSPECTED, self.own), now)

    def forgive(self, names: frozenset[str]) -> None:
        """This copy was cut off from these: whom it suspects there, it has no grounds to."""
        for name in names & self.suspicions.keys():
            del self.suspicions[name]
            self.standings[name].status = ALIVE
            self.news.drop(name)
            self.changed.add(name)

    def span(self) -> Span:
        """The time-outs of now."""
        return span(self.tuning, self.size, self.health.score, self.pace)

    def expire(self, now: float, contact: IsolationDetector, call: Callable[[str], None]) -> None:
        """Find those dead whose suspicion ran out, never without having called them oneself."""
        lasting = self.span()
        for name, suspicion in list(self.suspicions.items()):
            if now < suspicion.due(lasting):
                continue
            if suspicion.calls < len(lasting.calls):
                suspicion.calls += 1
                call(name)
            elif contact.last[name] >= suspicion.since:
                suspicion.since, suspicion.calls = now, 0
            elif not contact.level(name) and contact.witness(name, suspicion.since):
                held = self.standings[name]
                self.take(Claim(name, held.generation, held.incarnation, DEAD, self.own), now)

    def due(self, now: float) -> float:
        """When a suspicion may run out next."""
        if len(self.suspicions) > MANY:
            return now + AGAIN / 2
        lasting = self.span()
        return min(
            (max(one.due(lasting), now + AGAIN / 2) for one in self.suspicions.values()), default=float("inf")
        )

    def shift(self, gap: float) -> None:
        """This copy stood still for ``gap`` ms: suspicions last that much longer."""
        for suspicion in self.suspicions.values():
            suspicion.since, suspicion.calls = suspicion.since + gap, 0
