"""Identity checks after a restart: a voter is not kept waiting, and records are kept long enough."""

from __future__ import annotations

from random import Random

import pytest

from brassweir.agreed import timing
from brassweir.agreed.core import Core
from brassweir.agreed.events import Received, Send, Write, Written
from brassweir.agreed.messages import (
    VERSION,
    AppendEntries,
    Entry,
    Envelope,
    IdentityCheck,
    IdentityReply,
    Membership,
)
from brassweir.agreed.records import Ballot, Base, Identity, Persisted
from brassweir.lab.models.logworld import World
from brassweir.lab.models.toys import Pile


class NotWooed(Core):
    """Checks its identity only if its own log says that it votes."""

    def needs_identity_check(self) -> bool:
        return not self.identity_confirmed and self.is_voter


@pytest.mark.parametrize("core", [Core, NotWooed])
def test_a_voter_that_has_not_heard_that_it_is_one_helps_to_elect(core: type[Core]) -> None:
    world = World(4, 3, 1, core=core)
    world.run(6_000.0)
    world.crash("v3", "lost", -1.0)  # for good: the three others are the quorum of four
    world.crash("l1", "kept", 100.0)  # in its second run it votes only once it has asked
    world.run(world.now + 6_000.0)
    leader = str(world.leader())
    world.change("l1", True)
    leader_core = world.nodes[leader].core
    assert leader_core is not None
    while "l1" not in leader_core.log.membership.names():
        world.run(world.now + 0.1)
    world.crash("l1", "lost", 50.0)  # the entry that admits it is still on its way
    world.run(world.now + 20.0)
    assert leader_core.durable_index >= leader_core.log.membership_index
    world.crash(leader, "kept", 60.0)
    world.run(world.now + 20_000.0)
    assert (world.leader() is not None) is (core is Core)


def test_members_are_forgotten_only_beyond_the_bound() -> None:
    voters = Membership((("a", "ma"), ("b", "mb")))
    core = Core("a", Persisted(Identity("ma", "g", 1, 7), base=Base(0, 0, voters, 0)), Pile(), Random(1), 0.0)
    for i in range(timing.MAX_MEMBER_RECORDS + 5):
        envelope = Envelope(VERSION, "g", f"m{i}", 1, 9, IdentityCheck(0, 0))
        core.step(float(i), [Received("c", envelope)])
        assert len(core.member_records) == min(i + 1, timing.MAX_MEMBER_RECORDS)


@pytest.mark.parametrize(
    "entries, agrees", [((4,) * 20, False), ((4,) * 10 + (5, 5), True), ((4,) * 10 + (5,), False)]
)
def test_a_long_log_of_an_older_term_hides_no_forgotten_entry(entries: tuple[int, ...], agrees: bool) -> None:
    """The leader of 5 had 11 and 12 from a; the directory of a is of term 5, from before or after that."""
    voters = Membership((("a", "ma"), ("b", "mb"), ("c", "mc")))
    base, log = Base(0, 0, voters, 0), [Entry(i + 1, term, 0) for i, term in enumerate(entries)]
    b = Core("b", Persisted(Identity("mb", "g", 1, 7), Ballot(5, ""), base), Pile(), Random(1), 0.0)
    b.step(
        1.0,
        [
            Received(
                "c",
                Envelope(VERSION, "g", "mc", 1, 9, AppendEntries(5, 0, 0, (), 0, 1, (("ma", 1, 3, 5, 12),))),
            )
        ],
    )
    a = Core(
        "a",
        Persisted(Identity("ma", "g", 2, 8), Ballot(5, ""), base, log),
        Pile(),
        Random(1),
        0.0,
        ("a", "b", "c"),
    )
    checks = [
        step.envelope
        for step in a.step(2.0, [])
        if isinstance(step, Send) and isinstance(step.envelope.body, IdentityCheck)
    ]
    write = next(step for step in b.step(3.0, [Received("a", checks[0])]) if isinstance(step, Write))
    replies = [step.envelope.body for step in b.step(4.0, [Written(write.token)]) if isinstance(step, Send)]
    assert [body.agrees for body in replies if isinstance(body, IdentityReply)] == [agrees]
