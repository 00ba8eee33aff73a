"""Which claims a message carries, and which copies receive gossip, state or requests. Pure."""

from __future__ import annotations

import random

from brassweir.peers.claims import ALIVE, Claim
from brassweir.peers.copies import Fleet
from brassweir.peers.membership import MembershipTable
from brassweir.peers.tuning import Tuning


class Dissemination:
    """Selects claims from a copy's table; ``pages_wanted``: answers with state that it still asks for."""

    def __init__(self, table: MembershipTable, fleet: Fleet, tuning: Tuning, rng: random.Random) -> None:
        self.table, self.tuning, self.rng = table, tuning, rng
        self.turn = 0
        self.set_fleet(fleet)
        self.request_state()

    def set_fleet(self, fleet: Fleet) -> None:
        """Replace the list of copies."""
        self.fleet = fleet
        self.names = [copy.name for copy in fleet.others]

    def request_state(self) -> None:
        """Ask for enough pages to read another copy's whole table, and a few more in case some get lost."""
        self.pages_wanted = 3 + len(self.names) // self.tuning.claims_per_gossip

    def page_received(self) -> None:
        """An answer came."""
        self.pages_wanted = max(0, self.pages_wanted - 1)

    def for_probe(self, receiver: str) -> list[Claim]:
        """Claims on a probe: first the one about the receiver, so that it can refute it, then gossip."""
        return self._with_receiver(
            receiver, self.table.gossip.take(self.tuning.claims_per_probe, self.table.size)
        )

    def for_gossip(self, receiver: str) -> list[Claim]:
        """Claims of a gossip message."""
        return self._with_receiver(
            receiver, self.table.gossip.take(self.tuning.claims_per_gossip, self.table.size)
        )

    def for_answer(self, receiver: str, wants_state: bool) -> list[Claim]:
        """Claims on an ack: as on a probe, and one entry of the table, or a page if the receiver asked."""
        claims = self.for_probe(receiver)
        return claims + self._page(self.tuning.claims_per_gossip if wants_state else 1, receiver)

    def about_receiver(self, receiver: str) -> list[Claim]:
        """Only the claim about the receiver: it may be dead, and gossip sent to it would be spent in vain."""
        return self._with_receiver(receiver, [])

    def about(self, name: str) -> list[Claim]:
        """What is known of ``name``, for a copy that asked to probe it and may not know its generation."""
        member = self.table.members.get(name)
        return (
            [member.claim(name, self.table.first_reporter(name))]
            if member is not None and member.generation
            else []
        )

    def _with_receiver(self, receiver: str, claims: list[Claim]) -> list[Claim]:
        """Put the claim about the receiver first, unless it counts as alive."""
        member = self.table.members.get(receiver)
        if member is None or member.status == ALIVE:
            return claims
        return [member.claim(receiver, self.table.own)] + [
            claim for claim in claims if claim.name != receiver
        ]

    def _page(self, max_claims: int, receiver: str) -> list[Claim]:
        """Some of the table, in turn: of copies not alive and of all, so that lost gossip is made up for."""
        if not self.names:
            return []
        members = self.table.members
        claims: list[Claim] = []
        not_alive = (
            sorted({*self.table.suspicions, *self.table.dead}) if max_claims > 1 or self.turn % 2 else []
        )
        if len(not_alive) > max_claims:
            not_alive = self.rng.sample(not_alive, max_claims)
        for _ in range(max_claims):
            self.turn += 1
            name = not_alive.pop() if not_alive else self.names[(self.turn // 2) % len(self.names)]
            member = members[name]
            if member.generation and name != receiver:
                claims.append(member.claim(name, self.table.first_reporter(name)))
        return claims

    def random_live(self, count: int) -> list[str]:
        """Up to ``count`` random other copies that are not dead."""
        names = self.names
        picked: list[str] = []
        for _ in range(3 * count):
            if not names or len(picked) == count:
                break
            name = self.rng.choice(names)
            if name not in picked and name not in self.table.dead:
                picked.append(name)
        return picked

    def helpers(self, target: str) -> list[str]:
        """Live copies to ask for an indirect probe: those of third sites first, in random order within."""
        table, fleet = self.table, self.fleet
        target_site, own_site = fleet.by_name[target].site, fleet.own.site
        count = 4 * self.tuning.helpers
        names = [
            name
            for name in (self.random_live(count) if len(self.names) > count else self.names)
            if name != target and table.members[name].status == ALIVE
        ]
        self.rng.shuffle(names)
        return sorted(names, key=lambda name: fleet.by_name[name].site in (target_site, own_site))
