"""Grants through the log with clocks that step by a minute or an hour, and each safeguard removed."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.agreed import commands, machine
from brassweir.agreed.commands import Publish, encode
from brassweir.agreed.lease_renewal import LeaseRenewal, ProposeRenewal, RenewalInputs
from brassweir.agreed.machine import Machine
from brassweir.agreed.reconciliation import reconciled
from brassweir.interface import Effect
from brassweir.regions import planning
from brassweir.regions.epochs import KEEP_PAST_MS, PLACES, Epoch, EpochError
from brassweir.regions.ownership import Ownership, Reason
from tests.agreed.grants_samples import FIRST
from tests.regions.samples import ASSUMED, LEASE, REGIONS, identity_in


@dataclass
class World:
    """One log; three regions of one copy each, with clocks of their own; clients that ask anywhere."""

    machine: Machine = field(default_factory=Machine)
    log: list[Epoch] = field(default_factory=list)
    views: dict[str, Ownership] = field(default_factory=dict)
    read: dict[str, int] = field(default_factory=dict)
    clocks: dict[str, float] = field(default_factory=dict)
    took: dict[str, set[str]] = field(default_factory=dict)
    born: dict[str, float] = field(default_factory=dict)
    now: float = 0.0
    dated: bool = True  # clients tell when a message was made

    def publish(self, epoch: Epoch, after: int, lost: str = "") -> None:
        result = commands.decode_result(
            self.machine.apply(self.machine.state.index + 1, encode(Publish(epoch, after, lost)))
        )
        if result.ok and self.machine.state.epoch is not None:
            self.log.append(self.machine.state.epoch)

    def wall(self, region: str) -> float:
        wall = self.now + self.clocks[region]
        self.views[region].check_clocks(wall, self.now)
        return wall

    def ask(self, name: str, region: str) -> None:
        if self.now > self.born.setdefault(name, self.now) + ASSUMED.answer_window_ms:
            return
        wall = self.wall(region)
        born = self.born[name] if self.dated else None
        if self.views[region].refusal(Effect.UNSAFE, "c", name, wall, born) is None:
            self.took.setdefault(name, set()).add(region)


Event = tuple[str, int, int]
script = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "renew",
                "renew",
                "renew",
                "wish",
                "wish",
                "read",
                "read",
                "read",
                "ask",
                "ask",
                "ask",
                "step",
                "restart",
                "wait",
            ]
        ),
        st.integers(0, 1 << 20),
        st.integers(0, 1 << 20),
    ),
    max_size=90,
)
skew = st.floats(-200.0, 200.0)


def play(
    events: list[Event], skews: tuple[float, float, float], dated: bool = True, by: float = 60_000.0
) -> World:
    world, names, known = World(dated=dated), list(REGIONS), FIRST
    world.views = {name: Ownership(name, ASSUMED) for name in names}
    world.clocks, world.read = dict(zip(names, skews, strict=True)), dict.fromkeys(names, 0)
    world.publish(FIRST, 0)
    for kind, a, b in events:
        world.now += a % 7_000 + (80_000 if kind == "wait" and a % 5 == 0 else 0)
        region = names[b % 3]
        view, state = world.views[region], world.machine.state
        assert state.epoch is not None
        wall = world.wall(region)
        if kind == "renew":  # any copy may think that it leads
            decision = LeaseRenewal().step(
                world.now,
                RenewalInputs(
                    True, wall, view.clock_trusted(wall), state.epoch, state.granted, LEASE, ASSUMED
                ),
            )
            if isinstance(decision, ProposeRenewal):
                world.publish(decision.epoch, decision.after)
        elif kind == "wish":  # planned from a file that is old, and by a clock of its own
            low = a % PLACES
            desired = planning.moved(
                known,
                low,
                min(PLACES, low + 1 + (b << 11)),
                names[a % 3],
                world.now + by * (a % 3 - 1),
                LEASE,
                ASSUMED,
            ).epoch
            try:
                proposed = (
                    reconciled(desired, state.epoch, wall, LEASE, ASSUMED)
                    if view.clock_trusted(wall)
                    else None
                )
                if proposed is not None:
                    world.publish(proposed[0], state.granted, proposed[1])
                    known = world.log[-1]
            except EpochError:
                known = state.epoch
        elif kind == "read" and world.read[region] < len(
            world.log
        ):  # in the order of the log, some at a time
            world.read[region] = min(len(world.log), world.read[region] + 1 + a % 3)
            view.accept(world.log[world.read[region] - 1])
        elif kind == "step":
            world.clocks[region] += by * (a % 3 - 1)
        elif kind == "restart":  # its operator has set the clock; it knows its epoch
            world.views[region], world.clocks[region] = Ownership(region, ASSUMED, view.epoch), skews[b % 3]
        elif kind == "ask":
            world.ask(f"m{b % 40}", region)
    return world


@given(script, st.tuples(skew, skew, skew), st.booleans())
@settings(max_examples=300, deadline=None)
def test_no_message_is_taken_in_two_regions_whatever_clocks_do(
    events: list[Event], skews: tuple[float, float, float], dated: bool
) -> None:
    world = play(events, skews, dated)
    assert all(len(regions) == 1 for regions in world.took.values())


def asked_at_all_times(world: World, low: int, high: int, until: float) -> bool:
    """Whether two regions take a message of these places that is tried everywhere while it may be."""
    for born in range(int(world.now), int(until), 5_000):
        name = f"{identity_in(low, high)}"
        world.took.clear()
        world.born.clear()
        for at in range(born, int(min(until, born + ASSUMED.answer_window_ms)), 500):
            world.now = at
            for region in REGIONS:
                world.ask(name, region)
        if len(world.took.get(name, ())) > 1:
            return True
    return False


@pytest.mark.parametrize(
    "fault", ["", "a stale wish as it is", "renews by a wrong clock", "admits by a wrong clock"]
)
def test_each_guard_left_out_is_seen(monkeypatch: pytest.MonkeyPatch, fault: str) -> None:
    if fault == "a stale wish as it is":
        monkeypatch.setattr(machine, "check_succeeds", lambda *_: None)
    elif fault == "renews by a wrong clock":
        original = LeaseRenewal.step
        monkeypatch.setattr(
            LeaseRenewal,
            "step",
            lambda self, now, facts: original(self, now, replace(facts, trusted=True)),
        )
        monkeypatch.setattr(machine, "check_succeeds", lambda *_: None)
    elif fault == "admits by a wrong clock":
        monkeypatch.setattr(Ownership, "clock_trusted", lambda *_: True)
    world = play([], (0.0, 0.0, 0.0))
    third = FIRST.grants[0].high
    stale = planning.moved(FIRST, 0, third, "west", 1_000.0, LEASE, ASSUMED).epoch
    if "stale" in fault or not fault:
        world.publish(planning.renewed(FIRST, 20_000.0, LEASE, ASSUMED), 1)
        world.views["east"].accept(world.log[-1])
        world.publish(stale, world.machine.state.granted)
        world.views["west"].accept(world.log[-1])
        assert asked_at_all_times(world, 0, third, 60_000.0) is bool(fault)
    if "admits" in fault or not fault:
        world = play([], (0.0, 0.0, 0.0))
        world.publish(planning.moved(FIRST, 0, third, "west", 1_000.0, 1e6, ASSUMED).epoch, 1)
        for name in REGIONS:
            world.views[name].accept(world.log[-1])
            world.wall(name)
        world.views["east"].epoch = FIRST  # it has not heard of the move
        world.clocks["west"] += 100_000.0
        assert asked_at_all_times(world, 0, third, 40_000.0) is bool(fault)
    if "renews" in fault or not fault:
        world = play([], (0.0, 0.0, 0.0))
        world.publish(stale, 1)
        world.wall("west")
        world.clocks["west"] += KEEP_PAST_MS + 120_000.0
        wall, state = world.wall("west"), world.machine.state
        decision = LeaseRenewal().step(
            0.0,
            RenewalInputs(
                True,
                wall,
                world.views["west"].clock_trusted(wall),
                state.epoch,
                state.granted,
                LEASE,
                ASSUMED,
            ),
        )
        assert isinstance(decision, ProposeRenewal) is bool(fault)
        if isinstance(decision, ProposeRenewal):
            assert not decision.epoch.past, "it forgets who held the places before"
            world.publish(decision.epoch, decision.after)
        own = Ownership("south", ASSUMED, world.log[-1])
        refusal = Ownership("west", ASSUMED, msgspec.structs.replace(world.log[-1], issued=0.0)).refusal(
            Effect.UNSAFE, "c", identity_in(0, third), stale.grants[0].begins + 300.0
        )
        assert own.epoch is not None and (refusal is None) is bool(fault)
        assert refusal is None or refusal.reason is Reason.BORN_ELSEWHERE
