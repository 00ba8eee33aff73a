"""A readmission that is interrupted by a crash of the leader is completed by the next leader."""

from __future__ import annotations

from brassweir.agreed.core import Core
from brassweir.lab.models.logworld import World


def test_a_voter_taken_out_to_be_readmitted_comes_back_under_another_leader() -> None:
    world = World(4)
    world.run(5_000.0)
    leader = str(world.leader())
    lost = next(name for name in world.names if name != leader)
    world.lose(lost)
    while True:
        world.run(world.now + 1.0)
        core = world.nodes[leader].core
        assert core is not None and world.now < 30_000.0
        if lost not in core.log.membership.names() and core.durable_commit >= core.log.membership_index:
            break
    for name in world.names:  # the two that vote, and the one that is to
        world.crash(name, "torn", 100.0)
    world.run(world.now + 20_000.0)
    cores: list[Core] = [node.core for node in world.nodes.values() if node.core is not None]
    assert all(core.log.membership.names() == ["v1", "v2", "v3"] for core in cores) and world.leader()


def test_one_that_an_operator_took_out_stays_out() -> None:
    world = World(4)
    world.run(5_000.0)
    removed = next(name for name in world.names if name != world.leader())
    world.change(removed, False)
    world.run(world.now + 1_000.0)
    for name in world.names:
        world.crash(name, "torn", 100.0)
    world.run(world.now + 20_000.0)
    core = world.nodes[str(world.leader())].core
    assert core is not None and removed not in core.log.membership.names()
