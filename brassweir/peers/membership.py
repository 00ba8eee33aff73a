"""What one copy knows of each other copy: states, running suspicions, and the claims to disseminate. Pure."""

from __future__ import annotations

from collections.abc import Callable

from brassweir.peers.claims import ALIVE, DEAD, SUSPECTED, Claim, ClaimEffect, MemberState, claim_effect
from brassweir.peers.copies import Fleet
from brassweir.peers.gossip_queue import GossipQueue
from brassweir.peers.health import Health
from brassweir.peers.isolation import IsolationDetector
from brassweir.peers.rtt import RttEstimator
from brassweir.peers.suspicion import Suspicion, SuspicionTimeouts, suspicion_timeouts
from brassweir.peers.tuning import Tuning

RECHECK_MS = 100.0  # until a suspicion that may not end yet is checked again
MAX_GENERATION = 1 << 61  # a later one is refused: continuing from it would run out of numbers
MANY_SUSPICIONS = 8  # with more than this, all are checked at a fixed period instead of each at its time


class MembershipTable:
    """The shared state of a failure detector's parts; ``changed`` collects names whose state changed."""

    def __init__(
        self,
        fleet: Fleet,
        generation: int,
        now: float,
        tuning: Tuning,
        health: Health,
        rtt: RttEstimator,
    ) -> None:
        self.tuning, self.health, self.rtt = tuning, health, rtt
        self.own, self.generation, self.incarnation = fleet.own.name, generation, 0
        self.renewed_at = float("-inf")
        self.gossip = GossipQueue(tuning)
        self.members: dict[str, MemberState] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self.dead: frozenset[str] = frozenset()
        self.changed: set[str] = set()
        self.refuted = self.twins = 0
        self.joining_until = now + tuning.join_ms
        self.left = False  # this process is ending, so a claim of its death is not refuted
        self.set_fleet(fleet)

    def set_fleet(self, fleet: Fleet) -> None:
        """Replace the list: new copies count as alive, removed ones are forgotten."""
        self.size = len(fleet)
        names = [copy.name for copy in fleet.others]
        for name in set(self.members) - set(names):
            self.suspicions.pop(name, None)
            self.gossip.discard(name)
        self.members = {name: self.members.get(name) or MemberState() for name in names}
        self.dead = frozenset(name for name in self.dead if name in self.members)
        self.changed |= set(names)

    def self_claim(self) -> Claim:
        """This copy's claim that it is alive."""
        return Claim(self.own, self.generation, self.incarnation, ALIVE)

    def apply_claim(self, claim: Claim, now: float) -> int | None:
        """Apply a claim. Returns the generation to continue under, if a claim about this copy demands one."""
        if claim.name == self.own:
            return self._apply_claim_about_self(claim, now)
        member = self.members.get(claim.name)
        if member is None:
            return None  # not in this copy's file
        effect = claim_effect(member, claim, joining=now < self.joining_until)
        if effect is ClaimEffect.REPLACE:
            self.replace(claim, now)
        elif effect is ClaimEffect.CONFIRM:
            if self.suspicions[claim.name].confirm(claim.reporter, self.suspicion_timeouts().enough):
                self.gossip.add(claim)
        elif effect is ClaimEffect.VERIFY:
            if member.status == ALIVE or (member.generation, member.incarnation) < (
                claim.generation,
                claim.incarnation,
            ):
                self.replace(
                    Claim(claim.name, claim.generation, claim.incarnation, SUSPECTED, claim.reporter), now
                )
            self.suspicions[claim.name].reported_dead = True
        return None

    def _apply_claim_about_self(self, claim: Claim, now: float) -> int | None:
        """Outbid a later generation of this copy's name, and refute a claim that this copy is not alive."""
        if claim.generation > self.generation:
            if claim.generation > MAX_GENERATION or now < self.renewed_at + self.tuning.min_renewal_gap_ms:
                return None
            self.twins += self.renewed_at > float("-inf")
            self.renewed_at = now
            self.generation, self.incarnation = claim.generation + 1, 0
            self.gossip.add(self.self_claim())
            return self.generation
        if (
            not self.left
            and claim.generation == self.generation
            and claim.status != ALIVE
            and claim.incarnation >= self.incarnation
        ):
            self.refute(claim, now)
        return None

    def first_reporter(self, name: str) -> str:
        """One reporter of the suspicion of ``name``: a claim passed on names it, and so confirms nothing."""
        suspicion = self.suspicions.get(name)
        return min(suspicion.reporters) if suspicion is not None else ""

    def refute(self, claim: Claim, now: float) -> None:
        """Claim with a higher incarnation that this copy is alive."""
        self.incarnation = claim.incarnation + 1
        self.refuted += 1
        self.health.refuted(now)
        self.gossip.add(self.self_claim())

    def replace(self, claim: Claim, now: float) -> None:
        """Replace what is known of a copy by a claim, and queue the claim if it may be new to others."""
        member = self.members[claim.name]
        known = member.generation > 0 or member.status != ALIVE
        if known or claim.status != ALIVE:
            self.gossip.add(claim)
        if member.status != claim.status:
            self.changed.add(claim.name)
            if claim.status == DEAD:
                self.dead |= {claim.name}
            elif member.status == DEAD:
                self.dead -= {claim.name}
        member.generation, member.incarnation, member.status = (
            claim.generation,
            claim.incarnation,
            claim.status,
        )
        if claim.status == SUSPECTED:
            self.suspicions[claim.name] = Suspicion(now, claim.reporter)
        else:
            self.suspicions.pop(claim.name, None)

    def suspect(self, name: str, now: float) -> None:
        """This copy's own probe of ``name`` failed."""
        member = self.members.get(name)
        if member is not None and member.status != DEAD:
            self.apply_claim(Claim(name, member.generation, member.incarnation, SUSPECTED, self.own), now)

    def clear_suspicions(self, names: frozenset[str]) -> None:
        """This copy was cut off from ``names``: its suspicions of them are unfounded and are dropped."""
        for name in names & self.suspicions.keys():
            del self.suspicions[name]
            self.members[name].status = ALIVE
            self.gossip.discard(name)
            self.changed.add(name)

    def suspicion_timeouts(self) -> SuspicionTimeouts:
        """The current time-outs of suspicions."""
        return suspicion_timeouts(self.tuning, self.size, self.health.score, self.rtt)

    def expire(self, now: float, isolation: IsolationDetector, last_call: Callable[[str], None]) -> None:
        """Declare copies dead whose suspicion timed out, after all last calls were made.

        The time-out of a copy that was heard since starts again. None is declared dead while this copy may
        be cut off.
        """
        timeouts = self.suspicion_timeouts()
        for name, suspicion in list(self.suspicions.items()):
            if now < suspicion.next_check(timeouts):
                continue
            if suspicion.last_calls_made < len(timeouts.last_calls):
                suspicion.last_calls_made += 1
                last_call(name)
            elif isolation.last_heard[name] >= suspicion.since:
                suspicion.since, suspicion.last_calls_made = now, 0
            elif not isolation.level(name) and isolation.has_witness(name, suspicion.since):
                member = self.members[name]
                self.replace(Claim(name, member.generation, member.incarnation, DEAD, self.own), now)

    def next_check(self, now: float) -> float:
        """When a suspicion is to be checked next (ms)."""
        if len(self.suspicions) > MANY_SUSPICIONS:
            return now + RECHECK_MS / 2
        timeouts = self.suspicion_timeouts()
        return min(
            (max(one.next_check(timeouts), now + RECHECK_MS / 2) for one in self.suspicions.values()),
            default=float("inf"),
        )

    def shift_times(self, gap: float) -> None:
        """This copy stood still for ``gap`` ms: extend all suspicions by as much."""
        for suspicion in self.suspicions.values():
            suspicion.since, suspicion.last_calls_made = suspicion.since + gap, 0
