"""Schedules: drawn ones are the same for a seed and read back as written; bad ones name line and field."""

from __future__ import annotations

from pathlib import Path

import pytest

from brassweir.config.load import ConfigError
from brassweir.lab.between import schedule as schedules
from brassweir.lab.between.draw import CALM, REMAKES, draw
from brassweir.lab.between.schedule import TO_PROCESS
from brassweir.lab.between.sites import stands

SITES = stands(7)


def test_drawn_schedules_are_seeded_kept_apart_and_read_back() -> None:
    kinds = set()
    for seed in range(100):
        made = draw(seed, 30.0, SITES, 500.0)
        assert made == draw(seed, 30.0, SITES, 500.0) == schedules.of_text(schedules.to_text(made))
        schedules.known(made, SITES, 30.0, "drawn")
        assert made.last() <= 30.0 - CALM + 0.01
        struck = sorted((one for one in made.faults if one.what in TO_PROCESS), key=lambda one: one.at)
        assert all(a.ends < b.at for a, b in zip(struck, struck[1:], strict=False))
        assert sum(one.what in REMAKES for one in made.faults) <= 1
        kinds |= {one.what for one in made.faults}
    assert len(kinds) == 13  # every kind there is
    assert draw(1, 30.0, SITES, 500.0) != draw(2, 30.0, SITES, 500.0)


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("faults:\n- {at: 1, what: fire}", "schedule:2: faults[0].what"),
        (
            "faults:\n- {at: 1, what: stall, who: s1}\n- {at: 2, what: stall}",
            "schedule:3: faults[1]: Value error, stall needs who",
        ),
        ("faults:\n- {at: 1, what: cut, who: s1}", "cut needs between"),
        ("faults:\n- {at: 1, what: kill, who: s1, age: 3}", "age: only for restore"),
        ("faults:\n- {at: .nan, what: rolling}", "faults[0].at"),
        ("faults:\n- {at: 1, what: rolling, howlong: 3}", "faults[0].howlong: is no known field"),
        ("faults:\n- {at: 1, what: clock, who: s1}", "clock needs by_ms"),
        ("faults: 3", "schedule:1: faults"),
        ("- 1", "a mapping is expected"),
        ("faults: [", "schedule:"),
    ],
)
def test_a_bad_schedule_is_one_error_with_its_place(text: str, words: str) -> None:
    with pytest.raises(ConfigError) as caught:
        schedules.of_text(text)
    assert len(caught.value.problems) == 1 and words in caught.value.problems[0]


def test_names_and_times_must_be_those_of_the_rig(tmp_path: Path) -> None:
    path = tmp_path / "s.yaml"
    path.write_text(
        "faults:\n- {at: 1, what: stall, who: s99}\n- {at: 1, what: cut, between: [s1, here]}\n"
        "- {at: 9, what: isolate, who: site-a, for: 9}\n- {at: 1, what: kill, who: site-a}\n- {at: 1, what: move, who: s1}\n"
    )
    with pytest.raises(ConfigError) as caught:
        schedules.known(schedules.read(path), SITES, 12.0, "s.yaml")
    assert [one.partition(":")[2].split(":")[0].strip() for one in caught.value.problems] == [
        "faults[0].who",
        "faults[1].between",
        "faults[2].for",
        "faults[3].who",
        "faults[4].who",
    ]
    many = schedules.of_text("faults:\n" + "- {at: 1, what: replace, who: leader}\n" * 5)
    with pytest.raises(ConfigError, match="replace 5 times"):
        schedules.known(many, SITES, 12.0, "s.yaml")
