"""Trials: paired experiments, searches, bounds, traces, the commands and the pages."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import msgspec
import numpy as np
import pytest
from click.testing import CliRunner

from brassweir import interface as api
from brassweir.cli.main import main
from brassweir.config.load import ConfigError
from brassweir.control import dispatch, gate, outcomes
from brassweir.lab.models import verdicts
from brassweir.lab.models.day import ClassPlan, Day, Strike
from brassweir.lab.models.drawing import draw
from brassweir.lab.simulated import runs, trace
from brassweir.lab.trials.experiment import Experiment
from brassweir.lab.trials.search import Found, shrink
from brassweir.lab.trials.variants import VariantModel, constants
from tests.lab.models.made import SMALL, small


def test_a_trace_is_retraced_and_another_module_is_seen(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "s1.trace"
    runs.play(draw(small(), 3), ("s1", path))
    same = trace.retrace(path)
    assert same.difference is None and same.turns > 50
    monkeypatch.setattr(dispatch, "TIMEOUT_FACTOR", 2.0)
    other = trace.retrace(path)
    assert (
        other.difference is not None
        and other.difference.recorded != other.difference.retraced
        and 0 < other.turns < same.turns
    )
    result = CliRunner().invoke(main, ["lab", "retrace", str(path), "--json"])
    assert result.exit_code == 1 and json.loads(result.output)["difference"]["turn"] == other.turns
    path.write_bytes(b"\xc1 nothing")
    bad = CliRunner().invoke(main, ["lab", "retrace", str(path)])
    assert bad.exit_code == 1 and "no trace" in bad.output


def test_flat_values_come_back() -> None:
    values = [
        api.AttemptEnded(1, 0, "e", api.Result.BUSY, 5.0, True, 3.0, None, 2.5),
        api.TimerDue(),
        api.NewMessage(1, "c", 2, 5.0, "k"),
        api.ListUpdate(
            api.ListKind.DELTA, (api.EndpointInfo("e", 1, "k", "z", api.EntryState.DRAINING, 1.0),)
        ),
        api.PastAttempt("e", api.Result.OK, 1.0),
    ]
    assert [
        trace.whole(msgspec.msgpack.decode(msgspec.msgpack.encode(trace.flat(one)))) for one in values
    ] == values
    with pytest.raises(ValueError, match="knows no 'Rumour'"):
        trace.whole(["Rumour", 1])


def test_intervals_looks_and_verdicts() -> None:
    assert verdicts.looks(8, 64) == [8, 16, 32, 64] and verdicts.looks(5, 5) == [5]
    clear = verdicts.interval([0.1, 0.12, 0.09, 0.11] * 4)
    assert clear.low < 0.105 < clear.high and verdicts.answered(clear, 0.001) == "better"
    assert clear == verdicts.interval([0.1, 0.12, 0.09, 0.11] * 4)
    assert verdicts.answered(verdicts.interval([-0.1, -0.2, -0.1]), 0.01) == "worse"
    assert verdicts.answered(verdicts.interval([0.001, -0.001, 0.0]), 0.01) == "alike"
    assert (
        verdicts.answered(verdicts.interval([0.3, -0.3, 0.1, -0.2]), 0.01)
        == ""
        == verdicts.answered(verdicts.interval([0.3]), 0.01)
    )


def experiment(folder: Path, variants: str, most: int = 2) -> Path:
    (folder / "small.yaml").write_text(
        SMALL.replace("seconds: 14", "seconds: 8").replace("warm_s: 2", "warm_s: 1")
    )
    path = folder / "e.yaml"
    path.write_text(
        f"name: e\nquestion: which\ndeployment: small.yaml\nleast: 2\nmost: {most}\nvariants:\n{variants}"
    )
    return path


def test_an_experiment_pairs_days_resumes_and_tells(tmp_path: Path) -> None:
    path = experiment(
        tmp_path,
        "  - {name: a}\n  - {name: b, senders: {slots: 1}}\n  - {name: c, constants: {HEALTHY_CAP: 0.1}}\n",
    )
    told: list[str] = []
    outcome = Experiment(path, tmp_path / "r", 3).run(told.append)
    assert (
        outcome["days"] == 2
        and set(outcome["differences"]) == {"b", "c"}
        and not any(outcome["rules_broken"].values())
    )
    assert outcome["differences"]["b"]["mean"] < 0, "one slot is worse than twelve"
    import pyarrow.parquet as pq

    table = pq.read_table(tmp_path / "r" / "runs.parquet").to_pylist()
    assert len(table) == 6 and {row["variant"] for row in table} == {"a", "b", "c"}
    assert len({row["day"] for row in table if row["variant"] != "b"}) == 2, "the same days for each"
    kept = sorted((tmp_path / "r" / "runs").glob("*.json"))
    kept[0].write_text("{")  # cut off while it was written
    told.clear()
    again = Experiment(path, tmp_path / "r", 3).run(told.append)
    assert "5 of 6 runs are there, playing 1" in told[0] and again["means"] == outcome["means"]


@pytest.mark.parametrize(
    ("variants", "words"),
    [
        ("  - {name: a}\n", "variants"),
        ("  - {name: a}\n  - {name: a}\n", "stands more than once"),
        ("  - {name: a}\n  - {name: b, senders: {legs: 2}}\n", "senders has no legs"),
        ("  - {name: a}\n  - {name: b, senders: {slots: -1}}\n", "slots"),
        ("  - {name: a}\n  - {name: b, code: nowhere}\n", "no checkout that can simulate"),
    ],
)
def test_bad_experiments(tmp_path: Path, variants: str, words: str) -> None:
    with pytest.raises(ConfigError) as caught:
        Experiment(experiment(tmp_path, variants), tmp_path / "r")
    assert words in str(caught.value)


def test_tuned_values_must_be_there() -> None:
    for name in ("NO_SUCH", "Sender", "min"):
        with pytest.raises(ConfigError, match="no tuned value"):
            constants(VariantModel(name="x", constants={name: 1}))


def test_a_tuned_value_is_set_wherever_it_is_used(monkeypatch: pytest.MonkeyPatch) -> None:
    users = (gate, dispatch, outcomes)
    for module in users:
        monkeypatch.setattr(module, "RECENT_FACTOR", module.RECENT_FACTOR)  # given back at the end
    constants(VariantModel(name="x", constants={"RECENT_FACTOR": 9.0}))
    assert [module.RECENT_FACTOR for module in users] == [9.0] * 3


def test_a_bad_day_is_shrunk_to_what_matters() -> None:
    bad = Strike("hang", [1], 3000.0, 9000.0)
    idle = [Strike("pause", [7], 4000.0, 4100.0), Strike("slow_connect", [6], 5000.0, 5100.0, 1.0, 1.0)]
    day: Day = msgspec.structs.replace(draw(small(), 3), strikes=[bad, *idle])
    found = shrink(Found(day, runs.summary(runs.play(day))))
    assert found.day.strikes == [bad]


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
    calm = msgspec.structs.replace(
        calm,
        homes=[
            msgspec.structs.replace(home, manner=replace(home.manner, workers=50, rate=0.0))
            for home in calm.homes
        ],
    )
    full = sum(
        {one.name: one.weight for one in calm.classes}[order.class_name]
        for order in calm.orders
        if order.at >= calm.warm
    )
    assert bound.best(calm) == pytest.approx(full)
    dead = msgspec.structs.replace(
        calm, strikes=[Strike("crash", list(range(1, len(calm.homes) + 1)), 0.0, calm.end * 2)]
    )
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
    assert bound._programme({("c", 0): 2}, {"c": cls}, caps) == pytest.approx(2.0), (
        "the second is served a slot later, within the aim"
    )
    assert bound._programme({("c", 0): 5}, {"c": cls}, caps) == pytest.approx(3.0 + 0.5), (
        "slots 0 to 2 in full, slot 3 at half"
    )


def test_pages_stand_alone(tmp_path: Path) -> None:
    model, page = tmp_path / "m.yaml", tmp_path / "r.html"
    model.write_text(SMALL)
    done = CliRunner().invoke(main, ["lab", "sim", str(model), "--bound", "--report", str(page), "--json"])
    tree = json.loads(done.output)
    assert 0.0 < tree["share_of_bound"] <= 1.02
    text = page.read_text()
    assert (
        text.count("data:image/png;base64,") == 4
        and "http" not in text.replace("data:", "")
        and text.count('class="says"') == 4
    )
