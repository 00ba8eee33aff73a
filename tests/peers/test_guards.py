"""Each guard taken out by itself is seen by the judge: a check that cannot fail is none."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from brassweir.lab.models.peernet import Weather
from brassweir.peers import membership
from brassweir.peers.claims import DEAD, Claim, ClaimEffect, MemberState, claim_effect
from brassweir.peers.dissemination import Dissemination
from brassweir.peers.envelope import Envelope, EnvelopeCodec, Keys
from brassweir.peers.failure_detector import FailureDetector
from brassweir.peers.isolation import IsolationDetector
from brassweir.peers.membership import MembershipTable
from brassweir.peers.messages import PUSH, SwimMessage, pack
from tests.peers.play import World

Case = Callable[[], list[str]]


def heal() -> list[str]:
    """One is heard by nobody for ten seconds, then by all."""
    world = World(6, 1)
    world.net.cut(["c002"], [name for name in world.names if name != "c002"])
    world.run(10_000.0)
    world.net.cuts.clear()
    world.run(8_000.0)
    return world.unsettled()


def halves() -> list[str]:
    """Two sites from two others, so that no site thinks itself cut off."""
    world = World(8, 2, sites=4)
    half = [copy.name for copy in world.net.copies if copy.site in ("s0", "s1")]
    world.net.cut(half, [name for name in world.names if name not in half], both=True)
    world.run(15_000.0)
    world.net.cuts.clear()
    world.run(10_000.0)
    return world.unsettled()


def stall() -> list[str]:
    """One stops while it suspects another, who refutes that meanwhile: it must find fault with itself."""
    world = World(6, 3)
    world.net.buffer = 0  # no socket keeps anything meanwhile
    world.net.weather = Weather(soonest=100.0, latest=120.0)
    world.run(5_000.0)
    world.net.stop("c001", 1_900.0)
    for _ in range(60):
        if world.net.views()["c004"].states["c001"] == "suspected":
            break
        world.run(50.0)
    world.net.stop("c004", 4_000.0)
    world.fresh()
    world.run(7_000.0)
    return [f"c004 shows {of} dead at {at}" for at, who, of, _ in world.said("dead") if who == "c004"] + (
        [] if world.said("doubts", "c004") else ["c004 was sure of itself"]
    )


def one_way() -> list[str]:
    """Two that cannot hear each other one way, while all others can."""
    world = World(5, 4)
    world.net.cut(["c000"], ["c001"])
    world.run(15_000.0)
    return world.suspicions()


def replays() -> list[str]:
    """What a copy said before it died comes again and again."""
    world = World(4, 5)
    said: list[tuple[str, bytes]] = []
    world.net.recorder = lambda sender, to, data: said.append((to, data)) if sender == "c001" else None
    world.run(2_000.0)
    world.kill("c001")
    for _ in range(50):
        for to, data in said[:30]:
            world.net.arrive(to, data)
        world.run(100.0)
    return world.unknown_dead("c001")


def forgery() -> list[str]:
    """One without a key tells that a living copy has left."""
    world = World(4, 6)
    body = pack(SwimMessage(PUSH, 0, 0, (Claim("c002", 1_780_000_000_000, 5, DEAD, "c002"),)))
    forged = EnvelopeCodec("c001", 1_780_000_000_000, Keys([b"the key of someone else"])).seal(
        "c000", "live", body
    )
    world.net.arrive("c000", forged)
    world.run(100.0)
    return world.false_deaths()


def isolated() -> list[str]:
    """One copy is cut off from all: what it thought of others then is told to nobody."""
    world = World(9, 7)
    world.net.cut(["c000"], world.names[1:], both=True)
    world.run(15_000.0)
    world.net.cuts.clear()
    world.fresh()
    world.run(6_000.0)
    return world.unsettled() + [
        f"{who} suspects {of}" for _, who, of, _ in world.said("suspected") if "c000" not in (who, of)
    ]


def blind(held: MemberState, claim: Claim, joins: bool = False) -> ClaimEffect:
    """Weighs without incarnations."""
    same = MemberState()
    same.generation, same.incarnation, same.status = held.generation, claim.incarnation, held.status
    return claim_effect(same, claim)


def once(monkeypatch: Any) -> None:
    real = EnvelopeCodec._number

    def every(self: EnvelopeCodec, envelope: Envelope, once: Any) -> None:
        real(self, envelope, ())

    monkeypatch.setattr(EnvelopeCodec, "_number", every)


def unsuspecting(monkeypatch: Any) -> None:
    monkeypatch.setattr(IsolationDetector, "witness", lambda *_: True)
    monkeypatch.setattr(IsolationDetector, "look", lambda *_: False)


GUARDS: dict[str, tuple[Case, Callable[[Any], None]]] = {
    "no refutation": (heal, lambda m: m.setattr(MembershipTable, "refute", lambda *_: None)),
    "incarnation not compared": (heal, lambda m: m.setattr(membership, "claim_effect", blind)),
    "the dead never tried again": (halves, lambda m: m.setattr(FailureDetector, "_retry", lambda *_: None)),
    "a stall is not noticed": (stall, lambda m: m.setattr(FailureDetector, "_stalled", lambda *_: None)),
    "no indirect probe": (one_way, lambda m: m.setattr(Dissemination, "helpers", lambda *_: [])),
    "replay accepted": (replays, once),
    "digest not checked": (forgery, lambda m: m.setattr(Keys, "verify", lambda *_: True)),
    "no doubt when cut off": (isolated, unsuspecting),
}


@pytest.mark.parametrize("guard", GUARDS)
def test_with_the_guard_nothing_is_broken_and_without_it_something_is(guard: str, monkeypatch: Any) -> None:
    case, out = GUARDS[guard]
    assert case() == []
    out(monkeypatch)
    assert case() != []
