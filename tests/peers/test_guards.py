"""Each guard of the failure detector is needed: with one disabled, a fault scenario shows a violation."""

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
from brassweir.peers.messages import GOSSIP, SwimMessage, encode
from tests.peers.play import World

Scenario = Callable[[], list[str]]


def unheard_copy() -> list[str]:
    """Nobody hears one copy for ten seconds, then all do."""
    world = World(6, 1)
    world.net.cut(["c002"], [name for name in world.names if name != "c002"])
    world.run(10_000.0)
    world.net.cuts.clear()
    world.run(8_000.0)
    return world.unsettled()


def partition() -> list[str]:
    """Two sites are cut from two others, so that no site considers itself cut off."""
    world = World(8, 2, sites=4)
    half = [copy.name for copy in world.net.copies if copy.site in ("s0", "s1")]
    world.net.cut(half, [name for name in world.names if name not in half], both=True)
    world.run(15_000.0)
    world.net.cuts.clear()
    world.run(10_000.0)
    return world.unsettled()


def stall() -> list[str]:
    """A copy stops while it suspects another, which refutes that meanwhile: it must suspect itself instead."""
    world = World(6, 3)
    world.net.buffer = 0  # a stopped process receives nothing later
    world.net.weather = Weather(soonest=100.0, latest=120.0)
    world.run(5_000.0)
    world.net.stop("c001", 1_900.0)
    for _ in range(60):
        if world.net.views()["c004"].states["c001"] == "suspected":
            break
        world.run(50.0)
    world.net.stop("c004", 4_000.0)
    world.clear_tape()
    world.run(7_000.0)
    return [
        f"c004 shows {of} dead at {at}" for at, who, of, _ in world.published("dead") if who == "c004"
    ] + ([] if world.published("doubts", "c004") else ["c004 did not suspect itself"])


def one_way() -> list[str]:
    """One direction between two copies is cut, while both reach all others."""
    world = World(5, 4)
    world.net.cut(["c000"], ["c001"])
    world.run(15_000.0)
    return world.suspicions()


def replays() -> list[str]:
    """Messages of a copy that died are replayed."""
    world = World(4, 5)
    recorded: list[tuple[str, bytes]] = []
    world.net.recorder = lambda sender, to, data: recorded.append((to, data)) if sender == "c001" else None
    world.run(2_000.0)
    world.kill("c001")
    for _ in range(50):
        for to, data in recorded[:30]:
            world.net.arrive(to, data)
        world.run(100.0)
    return world.unknown_dead("c001")


def forgery() -> list[str]:
    """A sender without the key reports that a live copy has left."""
    world = World(4, 6)
    body = encode(SwimMessage(GOSSIP, 0, 0, (Claim("c002", 1_780_000_000_000, 5, DEAD, "c002"),)))
    forged = EnvelopeCodec("c001", 1_780_000_000_000, Keys([b"the key of someone else"])).seal(
        "c000", "live", body
    )
    world.net.arrive("c000", forged)
    world.run(100.0)
    return world.false_deaths()


def isolated() -> list[str]:
    """One copy is cut off from all: its suspicions from then must not reach the others."""
    world = World(9, 7)
    world.net.cut(["c000"], world.names[1:], both=True)
    world.run(15_000.0)
    world.net.cuts.clear()
    world.clear_tape()
    world.run(6_000.0)
    return world.unsettled() + [
        f"{who} suspects {of}" for _, who, of, _ in world.published("suspected") if "c000" not in (who, of)
    ]


def ignore_incarnation(member: MemberState, claim: Claim, joining: bool = False) -> ClaimEffect:
    """claim_effect without the comparison of incarnations."""
    same = MemberState()
    same.generation, same.incarnation, same.status = member.generation, claim.incarnation, member.status
    return claim_effect(same, claim)


def accept_replays(monkeypatch: Any) -> None:
    real = EnvelopeCodec._check_number

    def check_number(self: EnvelopeCodec, envelope: Envelope, once: Any) -> None:
        real(self, envelope, ())

    monkeypatch.setattr(EnvelopeCodec, "_check_number", check_number)


def never_isolated(monkeypatch: Any) -> None:
    monkeypatch.setattr(IsolationDetector, "has_witness", lambda *_: True)
    monkeypatch.setattr(IsolationDetector, "update", lambda *_: False)


GUARDS: dict[str, tuple[Scenario, Callable[[Any], None]]] = {
    "no refutation": (unheard_copy, lambda m: m.setattr(MembershipTable, "refute", lambda *_: None)),
    "incarnation not compared": (
        unheard_copy,
        lambda m: m.setattr(membership, "claim_effect", ignore_incarnation),
    ),
    "dead copies are not pinged again": (
        partition,
        lambda m: m.setattr(FailureDetector, "_retry_dead", lambda *_: None),
    ),
    "a stall is not noticed": (stall, lambda m: m.setattr(FailureDetector, "_stalled", lambda *_: None)),
    "no indirect probe": (one_way, lambda m: m.setattr(Dissemination, "helpers", lambda *_: [])),
    "replay accepted": (replays, accept_replays),
    "digest not checked": (forgery, lambda m: m.setattr(Keys, "verify", lambda *_: True)),
    "isolation not noticed": (isolated, never_isolated),
}


@pytest.mark.parametrize("guard", GUARDS)
def test_a_scenario_fails_only_without_its_guard(guard: str, monkeypatch: Any) -> None:
    scenario, disable = GUARDS[guard]
    assert scenario() == []
    disable(monkeypatch)
    assert scenario() != []
