"""Deployments, days, the simulated stage, traces, experiments, and the search: the same every time, and honest."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from brassweir import control
from brassweir import interface as api
from brassweir.config.load import ConfigError, load
from brassweir.lab.models import worth
from brassweir.lab.models.day import ClassPlan, Strike, decode, encode
from brassweir.lab.models.deployment import Deployment
from brassweir.lab.models.desk import Desk, Manner
from brassweir.lab.models.drawing import draw
from brassweir.lab.simulated import runs
from brassweir.lab.trials.search import replay
from tests.lab.models.made import ROOT, fingerprint, small


def test_the_same_seed_gives_the_same_day_and_the_same_run() -> None:
    assert encode(draw(small(), 4)) == encode(draw(small(), 4)) != encode(draw(small(), 5))
    assert decode(encode(draw(small(), 4))) == draw(small(), 4)
    assert fingerprint(runs.play(draw(small(), 4))) == fingerprint(runs.play(draw(small(), 4)))


def test_the_same_bytes_with_other_hash_seeds(tmp_path: Path) -> None:
    path = tmp_path / "d.json"
    path.write_bytes(encode(draw(small(), 7)))
    code = (
        "import sys, pathlib; from brassweir.lab.simulated import runs; from brassweir.lab.models.day import decode;"
        "run = runs.play(decode(pathlib.Path(sys.argv[1]).read_bytes()));"
        "print(__import__('hashlib').sha256(repr([run.stage.tape.seen, run.rows]).encode()).hexdigest())"
    )
    seen = {
        subprocess.run(
            [sys.executable, "-c", code, str(path)],
            capture_output=True,
            text=True,
            check=True,
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("1", "2", "77")
    }
    assert len(seen) == 1


@pytest.mark.parametrize("seed", range(1, 7))
def test_days_are_clean_on_the_simulated_stage(seed: int) -> None:
    run = runs.play(draw(small(), seed))
    assert run.verdict.clean, run.verdict.broken
    assert len(run.rows) == len(run.day.orders) and run.verdict.tested[2] > 0
    assert {row["answer"] for row in run.rows} <= {"delivered", "refused", "failed"}


@pytest.mark.parametrize(
    ("rule", "strike", "patch"),
    [
        (
            2,
            Strike("lost", [1, 2, 3], 2000.0, 8000.0, 0.7),
            (
                "_may_retry",
                lambda self, message: not message.ended and message.attempts < 4 and not message.in_flight,
            ),
        ),
        (6, Strike("shut", [1], 2000.0, 8000.0, 1.0, 1.0), None),
    ],
)
def test_a_fault_in_the_module_is_seen_by_the_stage(
    monkeypatch: pytest.MonkeyPatch, rule: int, strike: Strike, patch: tuple[str, object] | None
) -> None:
    day = msgspec.structs.replace(draw(small(), 2), strikes=[strike])
    assert runs.play(day).verdict.clean
    if patch is not None:
        monkeypatch.setattr(control.Sender, *patch)
    else:
        handle = control.Sender.handle

        def deaf(self: control.Sender, now: float, events: list[api.Event]) -> list[api.Action]:
            return handle(
                self,
                now,
                [
                    replace(one, wait=0.0, result=api.Result.OK)
                    if isinstance(one, api.AttemptEnded) and one.result is api.Result.BUSY
                    else one
                    for one in events
                ],
            )

        monkeypatch.setattr(control.Sender, "handle", deaf)
    assert runs.play(day).verdict.broken[rule]


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        ("rate: 40", "rate: 0", ":4: rate: Input should be greater than 0"),
        ("kind: bank, count: 3", "kind: bonk, count: 3", "no kind 'bonk'"),
        ("seconds: [2, 3]}", "seconds: [3, 2]}", "3.0 is over 2.0"),
        ("kind: crash", "kind: flood", "troubles[0].kind"),
        ("share: [0.4, 0.6]", "share: [0.4, 1.6]", "share is at most 1"),
        ("name: small", "name: Small", ":1: name"),
        ("count: 3, slots", "count: 0, slots", "senders.count"),
    ],
)
def test_bad_descriptions(old: str, new: str, words: str) -> None:
    with pytest.raises(ConfigError) as caught:
        small((old, new))
    assert any(words in one for one in caught.value.problems), caught.value.problems


@pytest.mark.parametrize(
    "path", sorted((ROOT / "deploy" / "models").glob("*.yaml")), ids=lambda path: path.stem
)
def test_the_examples_are_good(path: Path) -> None:
    day = draw(load(path, Deployment), 1)
    assert day.orders and day.strikes


@pytest.mark.parametrize(
    "path", sorted((ROOT / "deploy" / "days").glob("*.json")), ids=lambda path: path.stem
)
def test_kept_days(path: Path) -> None:
    """Bad days that a search found: rules hold, and worth is no lower than when they were kept."""
    name = json.loads(path.read_text())["deployment"]
    day, kept = replay(path.read_bytes(), load(ROOT / "deploy" / "models" / f"{name}.yaml", Deployment))
    run = runs.play(day)
    assert run.verdict.clean, run.verdict.broken
    assert runs.summary(run)["worth"] >= kept.worth - 0.02 and kept.why
    with pytest.raises(ValueError, match="has changed"):
        replay(path.read_bytes(), small())


def test_a_desk_tips_limits_and_warms_up() -> None:
    desk = Desk(
        Manner(
            service=0.1,
            workers=1,
            cold=4.0,
            start_capacity=0.25,
            tip_multiple=2.0,
            tip_span=1.0,
            rate=2.0,
            span=1.0,
        )
    )
    desk.returned(10.0)
    assert desk.capacity(10.0) == 0.25 and desk.capacity(12.0) == 0.625 and desk.capacity(99.0) == 1.0
    fallen = [desk.tips(10.0 + i * 0.01, f"s{i % 2}") for i in range(8)]
    assert [one is not None for one in fallen].index(True) == 5 and fallen[5] == {"s0": 3, "s1": 3}
    assert [desk.limited(20.0 + i * 0.1) > 0 for i in range(4)] == [
        False,
        False,
        True,
        True,
    ] and desk.limited(21.0) == 0.0
    assert desk.limited(31.0, 0.5) == 0.0 and desk.limited(31.1, 0.5) > 0.0, "throttled to half"


def test_worth_falls_from_the_aim_to_the_deadline() -> None:
    cls = ClassPlan("c", "safe", 1000.0, 3000.0, 0.0, False, 0.2, 2.0)
    assert [worth.worth(cls, age) for age in (0.0, 1000.0, 2000.0, 3000.0, 3001.0)] == pytest.approx(
        [2.0, 2.0, 1.2, 0.4, 0.0]
    )
    assert (
        worth.loss("delivered", 500.0, cls, 1, set()) == ""
        and worth.loss("delivered", 1500.0, cls, 1, set()) == "late"
    )
    assert (
        worth.loss("refused", 1.0, cls, 0, set()) == "admission"
        and worth.loss("refused", 1.0, cls, 2, {"full"}) == "limit"
    )
    assert (
        worth.loss("failed", 1.0, cls, 1, {"timeout"}) == "lost answer"
        and worth.loss("", 0.0, cls, 0, set()) == "unanswered"
    )
