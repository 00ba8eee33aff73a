"""Experiments and the search: paired days, verdicts, tuned values, and bad days shrunk to what matters."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from brassweir.config.load import ConfigError
from brassweir.control import choosing, ending, gate
from brassweir.lab import runs, variants
from brassweir.lab.experiment import Experiment
from brassweir.lab.models import verdicts
from brassweir.lab.models.day import Day, Strike, draw
from brassweir.lab.search import Found, shrink
from tests.lab.models.test_models import SMALL, small


def test_intervals_looks_and_verdicts() -> None:
    assert verdicts.looks(8, 64) == [8, 16, 32, 64] and verdicts.looks(5, 5) == [5]
    clear = verdicts.interval([0.1, 0.12, 0.09, 0.11] * 4)
    assert clear.low < 0.105 < clear.high and verdicts.answered(clear, 0.001) == "better"
    assert clear == verdicts.interval([0.1, 0.12, 0.09, 0.11] * 4)
    assert verdicts.answered(verdicts.interval([-0.1, -0.2, -0.1]), 0.01) == "worse"
    assert verdicts.answered(verdicts.interval([0.001, -0.001, 0.0]), 0.01) == "alike"
    assert verdicts.answered(verdicts.interval([0.3, -0.3, 0.1, -0.2]), 0.01) == "" == verdicts.answered(verdicts.interval([0.3]), 0.01)


def experiment(folder: Path, variants: str, most: int = 2) -> Path:
    (folder / "small.yaml").write_text(SMALL.replace("seconds: 14", "seconds: 8").replace("warm_s: 2", "warm_s: 1"))
    path = folder / "e.yaml"
    path.write_text(f"name: e\nquestion: which\ndeployment: small.yaml\nleast: 2\nmost: {most}\nvariants:\n{variants}")
    return path


def test_an_experiment_pairs_days_resumes_and_tells(tmp_path: Path) -> None:
    path = experiment(tmp_path, "  - {name: a}\n  - {name: b, senders: {slots: 1}}\n  - {name: c, constants: {CAP: 0.1}}\n")
    told: list[str] = []
    outcome = Experiment(path, tmp_path / "r", 3).run(told.append)
    assert outcome["days"] == 2 and set(outcome["differences"]) == {"b", "c"} and not any(outcome["rules_broken"].values())
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


@pytest.mark.parametrize(("variants", "words"), [
    ("  - {name: a}\n", "variants"), ("  - {name: a}\n  - {name: a}\n", "stands more than once"), ("  - {name: a}\n  - {name: b, senders: {legs: 2}}\n", "senders has no legs"),
    ("  - {name: a}\n  - {name: b, senders: {slots: -1}}\n", "slots"), ("  - {name: a}\n  - {name: b, code: nowhere}\n", "no checkout that can simulate"),
])
def test_bad_experiments(tmp_path: Path, variants: str, words: str) -> None:
    with pytest.raises(ConfigError) as caught:
        Experiment(experiment(tmp_path, variants), tmp_path / "r")
    assert words in str(caught.value)


def test_tuned_values_must_be_there() -> None:
    for name in ("NO_SUCH", "Sender", "min"):
        with pytest.raises(ConfigError, match="no tuned value"):
            variants.constants(variants.VariantModel(name="x", constants={name: 1}))


def test_a_tuned_value_is_set_wherever_it_is_used(monkeypatch: pytest.MonkeyPatch) -> None:
    users = (gate, choosing, ending)
    for module in users:
        monkeypatch.setattr(module, "LATELY", module.LATELY)  # given back at the end
    variants.constants(variants.VariantModel(name="x", constants={"LATELY": 9.0}))
    assert [module.LATELY for module in users] == [9.0] * 3


def test_a_bad_day_is_shrunk_to_what_matters() -> None:
    bad = Strike("hang", [1], 3000.0, 9000.0)
    idle = [Strike("pause", [7], 4000.0, 4100.0), Strike("slow_connect", [6], 5000.0, 5100.0, 1.0, 1.0)]
    day: Day = msgspec.structs.replace(draw(small(), 3), strikes=[bad, *idle])
    found = shrink(Found(day, runs.summary(runs.play(day))))
    assert found.day.strikes == [bad]
