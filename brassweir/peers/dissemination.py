"""Which claims a message carries and who gets news: riding on probes, pushed, or asked for. Pure."""

from __future__ import annotations

import random

from brassweir.peers.claims import ALIVE, Claim
from brassweir.peers.copies import Fleet
from brassweir.peers.membership import MembershipTable
from brassweir.peers.tuning import Tuning


class Dissemination:
    """Reads a copy's table; ``asking`` is how many answers with state it still wants."""

    def __init__(self, table: MembershipTable, fleet: Fleet, tuning: Tuning, rng: random.Random) -> None:
        self.table, self.tuning, self.rng = table, tuning, rng
        self.turn = 0
        self.listed(fleet)
        self.ask()

    def listed(self, fleet: Fleet) -> None:
        """Another list of copies."""
        self.fleet = fleet
        self.names = [copy.name for copy in fleet.others]

    def ask(self) -> None:
        """Want state: what a page holds may be missing, so some more than it takes."""
        self.asking = 3 + len(self.names) // self.tuning.push_claims

    def synced(self) -> None:
        """An answer came."""
        self.asking = max(0, self.asking - 1)

    def ride(self, to: str) -> list[Claim]:
        """Claims on a probe: what is said of the receiver first, so that it can refute it, then news."""
        return self._first(to, self.table.news.take(self.tuning.ride_claims, self.table.size))

    def push(self, to: str) -> list[Claim]:
        """Claims of a message of news."""
        return self._first(to, self.table.news.take(self.tuning.push_claims, self.table.size))

    def answer(self, to: str, sync: bool) -> list[Claim]:
        """Claims on an answer: as on a probe and one more of the table; many where state is asked for."""
        claims = self.ride(to)
        return claims + self._state(self.tuning.push_claims if sync else 1, to)

    def said(self, to: str) -> list[Claim]:
        """What is said of the receiver and nothing else: it may be dead, and news must not go there."""
        return self._first(to, [])

    def known(self, about: str) -> list[Claim]:
        """What is held of one, for who asked about it: it may never have heard of that generation."""
        held = self.table.standings.get(about)
        return (
            [held.claim(about, self.table.first_found(about))] if held is not None and held.generation else []
        )

    def _first(self, to: str, claims: list[Claim]) -> list[Claim]:
        held = self.table.standings.get(to)
        if held is None or held.status == ALIVE:
            return claims
        return [held.claim(to, self.table.own)] + [claim for claim in claims if claim.name != to]

    def _state(self, most: int, to: str) -> list[Claim]:
        """Some of the table, by turns: of those not alive and of all, so that what got lost is made good."""
        if not self.names:
            return []
        standings = self.table.standings
        claims: list[Claim] = []
        bad = sorted({*self.table.suspicions, *self.table.dead}) if most > 1 or self.turn % 2 else []
        if len(bad) > most:
            bad = self.rng.sample(bad, most)
        for _ in range(most):
            self.turn += 1
            name = bad.pop() if bad else self.names[(self.turn // 2) % len(self.names)]
            held = standings[name]
            if held.generation and name != to:
                claims.append(held.claim(name, self.table.first_found(name)))
        return claims

    def some(self, many: int) -> list[str]:
        """Random others that are not dead."""
        names = self.names
        picked: list[str] = []
        for _ in range(3 * many):
            if not names or len(picked) == many:
                break
            name = self.rng.choice(names)
            if name not in picked and name not in self.table.dead:
                picked.append(name)
        return picked

    def helpers(self, about: str) -> list[str]:
        """Whom to ask about one: not suspected, those of third sites first, in random order within."""
        table, fleet = self.table, self.fleet
        there, here = fleet.by_name[about].site, fleet.own.site
        many = 4 * self.tuning.helpers
        names = [
            name
            for name in (self.some(many) if len(self.names) > many else self.names)
            if name != about and table.standings[name].status == ALIVE
        ]
        self.rng.shuffle(names)
        return sorted(names, key=lambda name: fleet.by_name[name].site in (there, here))
