"""The same day on simulated time and on sockets: they agree, and a model with a wrong constant is seen."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from brassweir.config.load import load
from brassweir.lab.models.day import Strike
from brassweir.lab.models.deployment import Deployment
from brassweir.lab.models.drawing import draw
from brassweir.lab.simulated import runs
from brassweir.lab.trials import compare
from tests.conftest import run

QUAY = Path(__file__).parents[2] / "deploy" / "models" / "quay.yaml"


def test_both_stages_play_the_same_day_and_a_planted_error_is_seen(tmp_path: Path) -> None:
    deployment = load(QUAY, Deployment).model_copy(update={"seconds": 14.0, "rate": 12.0})
    day = msgspec.structs.replace(draw(deployment, 3), strikes=[Strike("errors", [2], 3000.0, 5000.0, 0.6)])
    slow = msgspec.structs.replace(
        day,
        homes=[msgspec.structs.replace(home, manner=replace(home.manner, service=0.8)) for home in day.homes],
    )
    found = run(compare.compare(day, tmp_path))
    assert found["rules_broken"] == {"simulated": 0, "sockets": 0} and found["messages"] == len(day.orders)
    assert found["figures"]["worth"]["agrees"] and found["figures"]["delivered"]["agrees"]
    wrong = compare.figures(slow, runs.play(slow).rows)
    right = {name: one["sockets"] for name, one in found["figures"].items()}
    seen = {line.name: line.agrees for line in compare.agree(wrong, right)}
    assert not seen["p50_ms"], "call times of 800 instead of 40 ms must be seen"


@pytest.mark.parametrize(
    ("name", "model", "real", "good"),
    [
        ("worth", 0.9, 0.95, True),
        ("worth", 0.9, 0.8, False),
        ("refused", 0.0, 0.1, False),
        ("p50_ms", 40.0, 90.0, True),
        ("p50_ms", 40.0, 190.0, False),
        ("p50_ms", 200.0, 40.0, False),
        ("p99_ms", 1000.0, 2400.0, True),
        ("p99_ms", 1000.0, 3000.0, False),
        ("p99_ms", 5000.0, 300.0, False),
    ],
)
def test_what_one_day_s_luck_explains_and_what_not(name: str, model: float, real: float, good: bool) -> None:
    (line,) = compare.agree({name: model}, {name: real})
    assert line.agrees is good


def test_what_sockets_have_not_is_said() -> None:
    day = draw(load(QUAY, Deployment), 1)
    strikes = [
        Strike("crash", [1], 1.0, 2.0),
        Strike("drain", [2], 1.0, 2.0),
        Strike("sender_crash", [0], 1.0, 2.0),
        Strike("throttle", [1], 1.0, 2.0, 1.0, 0.5),
    ]
    made, left = compare.on_sockets(msgspec.structs.replace(day, strikes=strikes))
    assert (
        left == ["throttle"] and made.kills == [(0.001, 0)] and made.troubles["office1"][0].kind == "refuse"
    )
    assert [change for _, change in made.lists] == [{"office2-a": "draining"}, {"office2-a": "ready"}]
    assert len(made.orders) == len(day.orders)
