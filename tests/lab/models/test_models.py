"""Deployments, days, the simulated stage, traces, experiments, and the search: the same every time, and honest."""

from __future__ import annotations

import hashlib
import json
import os
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import msgspec
import numpy as np
import pytest
from click.testing import CliRunner

from brassweir import control
from brassweir import interface as api
from brassweir.cli.main import main
from brassweir.config.load import ConfigError, load, parse
from brassweir.control import choosing
from brassweir.lab import runs, trace
from brassweir.lab.models import worth
from brassweir.lab.models.day import ClassPlan, Strike, decode, draw, encode
from brassweir.lab.models.deployment import Deployment
from brassweir.lab.models.desk import Desk, Manner
from brassweir.lab.search import replay

ROOT = Path(__file__).parents[3]
SMALL = """\
name: small
seconds: 14
warm_s: 2
rate: 40
classes:
  - {name: payment, aim_ms: 1500, deadline_ms: 5000, effect: unsafe, late_worth: 0.3, weight: 3}
  - {name: order, aim_ms: 1500, deadline_ms: 5000, effect: keyed, window_ms: 8000, in_order: true}
  - {name: status, aim_ms: 1000, deadline_ms: 4000, effect: safe}
kinds:
  - {name: bank, median_ms: 30, workers: [2, 3], near_ms: 2, far_ms: 6}
  - {name: hook, median_ms: 10, workers: [1, 2], limit: {per_second: 8}, batch: 3}
groups:
  - {name: bank, kind: bank, count: 3, share: 0.7}
  - {name: hook, kind: hook, count: 4, share: 0.3}
senders: {count: 3, slots: 12, max_open: 100, zones: 2}
troubles:
  - {kind: crash, count: [1, 1], seconds: [2, 3]}
  - {kind: lost, count: [1, 1], seconds: [2, 3], share: [0.4, 0.6]}
  - {kind: sender_crash, count: [1, 2]}
  - {kind: sender_roll, count: [0, 1]}
  - {kind: drain, count: [1, 1], seconds: [3, 4]}
  - {kind: burst, count: [1, 1], seconds: [1, 2], factor: [1, 2]}
"""


def small(change: tuple[str, str] = ("", "")) -> Deployment:
    return parse(SMALL.replace(*change, 1) if change[0] else SMALL, Deployment, "m.yaml")


def fingerprint(run: runs.Run) -> str:
    return hashlib.sha256(repr([run.stage.tape.seen, run.rows]).encode()).hexdigest()


def test_the_same_seed_gives_the_same_day_and_the_same_run() -> None:
    assert encode(draw(small(), 4)) == encode(draw(small(), 4)) != encode(draw(small(), 5))
    assert decode(encode(draw(small(), 4))) == draw(small(), 4)
    assert fingerprint(runs.play(draw(small(), 4))) == fingerprint(runs.play(draw(small(), 4)))


def test_the_same_bytes_with_other_hash_seeds(tmp_path: Path) -> None:
    path = tmp_path / "d.json"
    path.write_bytes(encode(draw(small(), 7)))
    code = ("import sys, pathlib; from brassweir.lab import runs; from brassweir.lab.models.day import decode;"
            "run = runs.play(decode(pathlib.Path(sys.argv[1]).read_bytes()));"
            "print(__import__('hashlib').sha256(repr([run.stage.tape.seen, run.rows]).encode()).hexdigest())")
    seen = {subprocess.run([sys.executable, "-c", code, str(path)], capture_output=True, text=True, check=True, cwd=ROOT,
                           env={**os.environ, "PYTHONHASHSEED": seed}).stdout for seed in ("1", "2", "77")}
    assert len(seen) == 1


@pytest.mark.parametrize("seed", range(1, 7))
def test_days_are_clean_on_the_simulated_stage(seed: int) -> None:
    run = runs.play(draw(small(), seed))
    assert run.verdict.clean, run.verdict.broken
    assert len(run.rows) == len(run.day.orders) and run.verdict.tested[2] > 0
    assert {row["answer"] for row in run.rows} <= {"delivered", "refused", "failed"}


@pytest.mark.parametrize(("rule", "strike", "patch"), [
    (2, Strike("lost", [1, 2, 3], 2000.0, 8000.0, 0.7), ("_may_retry", lambda self, message: not message.over and message.tries < 4 and not message.live)),
    (6, Strike("shut", [1], 2000.0, 8000.0, 1.0, 1.0), None),
])
def test_a_fault_in_the_module_is_seen_by_the_stage(monkeypatch: pytest.MonkeyPatch, rule: int, strike: Strike,
                                                    patch: tuple[str, object] | None) -> None:
    day = msgspec.structs.replace(draw(small(), 2), strikes=[strike])
    assert runs.play(day).verdict.clean
    if patch is not None:
        monkeypatch.setattr(control.Sender, *patch)
    else:
        handle = control.Sender.handle

        def deaf(self: control.Sender, now: float, events: list[api.Event]) -> list[api.Action]:
            return handle(self, now, [replace(one, wait=0.0, result=api.Result.OK) if isinstance(one, api.AttemptEnded)
                                      and one.result is api.Result.FULL else one for one in events])

        monkeypatch.setattr(control.Sender, "handle", deaf)
    assert runs.play(day).verdict.broken[rule]


@pytest.mark.parametrize(("old", "new", "words"), [
    ("rate: 40", "rate: 0", ":4: rate: Input should be greater than 0"), ("kind: bank, count: 3", "kind: bonk, count: 3", "no kind 'bonk'"),
    ("seconds: [2, 3]}", "seconds: [3, 2]}", "3.0 is over 2.0"), ("kind: crash", "kind: flood", "troubles[0].kind"),
    ("share: [0.4, 0.6]", "share: [0.4, 1.6]", "share is at most 1"), ("name: small", "name: Small", ":1: name"), ("count: 3, slots", "count: 0, slots", "senders.count"),
])
def test_bad_descriptions(old: str, new: str, words: str) -> None:
    with pytest.raises(ConfigError) as caught:
        small((old, new))
    assert any(words in one for one in caught.value.problems), caught.value.problems


@pytest.mark.parametrize("path", sorted((ROOT / "deploy" / "models").glob("*.yaml")), ids=lambda path: path.stem)
def test_the_examples_are_good(path: Path) -> None:
    day = draw(load(path, Deployment), 1)
    assert day.orders and day.strikes


@pytest.mark.parametrize("path", sorted((ROOT / "deploy" / "days").glob("*.json")), ids=lambda path: path.stem)
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
    desk = Desk(Manner(service=0.1, workers=1, cold=4.0, start_capacity=0.25, tip_multiple=2.0, tip_span=1.0, rate=2.0, span=1.0))
    desk.returned(10.0)
    assert desk.capacity(10.0) == 0.25 and desk.capacity(12.0) == 0.625 and desk.capacity(99.0) == 1.0
    fallen = [desk.tips(10.0 + i * 0.01, f"s{i % 2}") for i in range(8)]
    assert [one is not None for one in fallen].index(True) == 5 and fallen[5] == {"s0": 3, "s1": 3}
    assert [desk.limited(20.0 + i * 0.1) > 0 for i in range(4)] == [False, False, True, True] and desk.limited(21.0) == 0.0
    assert desk.limited(31.0, 0.5) == 0.0 and desk.limited(31.1, 0.5) > 0.0, "throttled to half"


def test_worth_falls_from_the_aim_to_the_deadline() -> None:
    cls = ClassPlan("c", "safe", 1000.0, 3000.0, 0.0, False, 0.2, 2.0)
    assert [worth.worth(cls, age) for age in (0.0, 1000.0, 2000.0, 3000.0, 3001.0)] == pytest.approx([2.0, 2.0, 1.2, 0.4, 0.0])
    assert worth.loss("delivered", 500.0, cls, 1, set()) == "" and worth.loss("delivered", 1500.0, cls, 1, set()) == "late"
    assert worth.loss("refused", 1.0, cls, 0, set()) == "admission" and worth.loss("refused", 1.0, cls, 2, {"full"}) == "limit"
    assert worth.loss("failed", 1.0, cls, 1, {"timeout"}) == "lost answer" and worth.loss("", 0.0, cls, 0, set()) == "unanswered"


def test_a_trace_is_retraced_and_another_module_is_seen(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "s1.trace"
    runs.play(draw(small(), 3), ("s1", path))
    same = trace.retrace(path)
    assert same.difference is None and same.turns > 50
    monkeypatch.setattr(choosing, "TIMEOUT_MEANS", 2.0)
    other = trace.retrace(path)
    assert other.difference is not None and other.difference.recorded != other.difference.retraced and 0 < other.turns < same.turns
    result = CliRunner().invoke(main, ["lab", "retrace", str(path), "--json"])
    assert result.exit_code == 1 and json.loads(result.output)["difference"]["turn"] == other.turns
    path.write_bytes(b"\xc1 nothing")
    bad = CliRunner().invoke(main, ["lab", "retrace", str(path)])
    assert bad.exit_code == 1 and "no trace" in bad.output


def test_flat_values_come_back() -> None:
    values = [api.AttemptEnded(1, 0, "e", api.Result.FULL, 5.0, True, 3.0, None, 2.5), api.TimerDue(), api.NewMessage(1, "c", 2, 5.0, "k"),
              api.ListNews(api.ListKind.DELTA, (api.EndpointInfo("e", 1, "k", "z", api.State.DRAINING, 1.0),)), api.Past("e", api.Result.OK, 1.0)]
    assert [trace.whole(msgspec.msgpack.decode(msgspec.msgpack.encode(trace.flat(one)))) for one in values] == values
    with pytest.raises(ValueError, match="knows no 'Rumour'"):
        trace.whole(["Rumour", 1])


def test_the_commands(tmp_path: Path) -> None:
    model, day = tmp_path / "m.yaml", tmp_path / "d.json"
    model.write_text(SMALL)
    invoke = CliRunner().invoke
    drawn = json.loads(invoke(main, ["lab", "draw", str(model), str(day), "--seed", "4", "--json"]).output)
    played = invoke(main, ["lab", "sim", str(day), "--json"])
    assert played.exit_code == 0 and json.loads(played.output)["day"] == drawn["digest"]
    day.write_text("{}")
    bad = invoke(main, ["lab", "sim", str(day)])
    assert bad.exit_code == 1 and "missing required field" in bad.output
    model.write_text("name: x\n")
    assert "rate: is missing" in invoke(main, ["lab", "draw", str(model), str(day)]).output


def test_the_bound_is_one_where_nothing_is_short_and_holds_for_every_run() -> None:
    from brassweir.lab.models import bound

    calm = msgspec.structs.replace(draw(small(), 2), strikes=[])
    calm = msgspec.structs.replace(calm, homes=[msgspec.structs.replace(home, manner=replace(home.manner, workers=50, rate=0.0)) for home in calm.homes])
    full = sum({one.name: one.weight for one in calm.classes}[order.class_name] for order in calm.orders if order.at >= calm.warm)
    assert bound.best(calm) == pytest.approx(full)
    dead = msgspec.structs.replace(calm, strikes=[Strike("crash", list(range(1, len(calm.homes) + 1)), 0.0, calm.end * 2)])
    assert bound.best(dead) == pytest.approx(0.0)
    for seed in (1, 2, 3):
        run = runs.play(draw(small(), seed))
        got = sum(row["worth"] for row in run.rows if row["at_ms"] >= run.day.warm)
        assert got <= bound.best(run.day) * 1.02, "capacities are expectations: luck may be a little better"


def test_the_bound_of_one_server_by_hand() -> None:
    """Two a second for two seconds at a destination that serves one: late ones are worth what the curve says."""
    from brassweir.lab.models import bound

    cls = ClassPlan("c", "safe", 500.0, 1000.0, 0.0, False, 0.0, 1.0)
    caps = np.full(12, 1.0)
    assert bound._programme({("c", 0): 2}, {"c": cls}, caps) == pytest.approx(2.0), "the second is served a slot later, within the aim"
    assert bound._programme({("c", 0): 5}, {"c": cls}, caps) == pytest.approx(3.0 + 0.5), "slots 0 to 2 in full, slot 3 at half"


def test_pages_stand_alone(tmp_path: Path) -> None:
    model, page = tmp_path / "m.yaml", tmp_path / "r.html"
    model.write_text(SMALL)
    done = CliRunner().invoke(main, ["lab", "sim", str(model), "--bound", "--report", str(page), "--json"])
    tree = json.loads(done.output)
    assert 0.0 < tree["share_of_bound"] <= 1.02
    text = page.read_text()
    assert text.count("data:image/png;base64,") == 4 and "http" not in text.replace("data:", "") and text.count('class="says"') == 4
