"""The sender's own probes at tiny sizes: all figures are there, and what is simulated comes out the same again."""

from __future__ import annotations

import pytest

from benchmarks.capacity.fit import TERMS
from benchmarks.capacity.measurement import Figure, Kind, Point
from benchmarks.capacity.probes import PROBES, Probe, dead_destination, decisions
from benchmarks.capacity.probes.simulated import Fleet

TINY = {
    "decisions": [Point(490, 50, 0.1), Point(490, 50)],
    "backlog": [Point(1, 1, backlog=20), Point(1, 1)],
    "dead_destination": [Point(3, 1)],
    "connections": [Point(1, 5)],
    "serve_lists": [Point(1, 5)],
}
LONG = {decisions.DIFFERENCE_MANY.name}  # needs a list of as many entries
SECONDS = 0.004  # enough for a few messages


def measured(probe: Probe) -> list[Figure]:
    """The figures that a probe measures itself."""
    return [figure for figure in probe.FIGURES if figure.kind is not Kind.DERIVED]


@pytest.mark.parametrize("name", TINY)
def test_probe_returns_all_its_figures(name: str) -> None:
    probe = dict(PROBES)[name]
    found = [one for point in TINY[name] for one in probe.measure(point, SECONDS)]
    assert {one.figure for one in found} == {figure.name for figure in measured(probe)} - LONG
    assert all(one.method for one in found)


def test_sizes_that_a_probe_cannot_take_give_nothing() -> None:
    assert dict(PROBES)["connections"].measure(Point(490, 70_000), SECONDS) == []


def test_simulated_calls_are_the_same_again() -> None:
    first, again = (dead_destination.measure(Point(5, 1), 0.02) for _ in range(2))
    assert first == again


def test_only_down_destinations_refuse() -> None:
    fleet = Fleet(2, 40, 0.25, 20.0, 1)
    fleet.run(60.0)
    assert len(fleet.down) == 10 and 0 < fleet.refused_calls < fleet.messages
    well = Fleet(2, 40, 0.0, 20.0, 1)
    well.run(60.0)
    assert well.refused_calls == 0 and len(well.attempts) < well.messages / 10


def test_dictionary_slots_double_as_they_fill() -> None:
    slots = [TERMS["table D"].at(Point(1, count)) for count in (5, 6, 85, 86, 70_000)]
    assert slots == [8.0, 16.0, 128.0, 256.0, 131_072.0]


def test_senders_reached_are_all_or_as_many_as_messages() -> None:
    few, many = (TERMS["reached N"].at(Point(senders, 1)) for senders in (10, 1_000_000))
    assert few == pytest.approx(10.0) and many == pytest.approx(471.0, rel=1e-3)
