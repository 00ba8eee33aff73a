"""Experiments: days x variants, in parallel, paired, stopped when the question is answered, and resumable."""

from __future__ import annotations

import hashlib
import json
import multiprocessing
import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from concurrent.futures.process import BrokenProcessPool
from pathlib import Path
from typing import Any

from brassweir.config.load import ConfigError, load
from brassweir.lab.models import verdicts
from brassweir.lab.models.deployment import Deployment
from brassweir.lab.models.drawing import draw
from brassweir.lab.simulated import runs
from brassweir.lab.trials.variants import MEASURES, ExperimentModel, VariantModel, constants, varied


def one_run(deployment: Deployment, variant: VariantModel, seed: int, folder: Path) -> dict[str, Any]:
    """A worker's whole job; its process ends with it where the variant has changed the module."""
    day = draw(varied(deployment, variant), seed)
    if variant.code is not None:
        return runs.elsewhere(day, variant.code, folder)
    constants(variant)
    return runs.summary(runs.play(day))


class Experiment:
    """One experiment with its folder of results: a file for each run, so that nothing is played twice."""

    def __init__(self, path: Path, folder: Path, jobs: int | None = None) -> None:
        """Raises ConfigError."""
        self.model = load(path, ExperimentModel)
        self.deployment = load(path.parent / self.model.deployment, Deployment)
        self.variants = [
            one.model_copy(update={"code": (path.parent / one.code).resolve()}) if one.code else one
            for one in self.model.variants
        ]
        for one in self.variants:
            varied(self.deployment, one)
            if one.code is not None and not any((one.code / "brassweir" / "lab").rglob("stage.py")):
                raise ConfigError([f"variant {one.name}: {one.code} is no checkout that can simulate"])
        self.folder, self.jobs = folder, jobs or os.cpu_count() or 1
        (folder / "runs").mkdir(parents=True, exist_ok=True)

    def key(self, variant: VariantModel, seed: int) -> str:
        """What a run's result hangs on: deployment, variant, and the code that plays it."""
        told = [
            self.deployment.model_dump_json(),
            variant.model_dump_json(),
            str(seed),
            fingerprint(variant.code or Path(__file__).parents[3]),
        ]
        return hashlib.sha256("\0".join(told).encode()).hexdigest()[:24]

    def found(self, variant: VariantModel, seed: int) -> dict[str, Any] | None:
        """A run that was played before; one that was cut off while it was written does not count."""
        try:
            tree: dict[str, Any] = json.loads(
                (self.folder / "runs" / f"{self.key(variant, seed)}.json").read_text()
            )
            return tree
        except (OSError, ValueError):
            return None

    def run(self, say: Callable[[str], None] = lambda _: None) -> dict[str, Any]:
        """Play until the question is answered or all seeds are. Raises RuntimeError, OSError."""
        model = self.model
        planned = verdicts.looks(model.least, model.most)
        level = verdicts.LEVEL / len(planned)
        outcome: dict[str, Any] = {}
        for look, count in enumerate(planned, 1):
            seeds = range(model.first_seed, model.first_seed + count)
            self._play([(variant, seed) for seed in seeds for variant in self.variants], say)
            outcome = self._judge(list(seeds), level)
            say(
                f"look {look} of {len(planned)}, {count} days: "
                + "; ".join(
                    f"{name} {one['verdict'] or 'undecided'} ({one['mean']:+.4f}, {one['low']:+.4f} to "
                    f"{one['high']:+.4f})"
                    for name, one in outcome["differences"].items()
                )
            )
            if all(one["verdict"] for one in outcome["differences"].values()):
                break
        outcome |= {
            "name": model.name,
            "question": model.question,
            "measure": model.measure,
            "planned_looks": planned,
            "level_of_a_look": round(level, 5),
        }
        self._write(outcome)
        return outcome

    def _play(self, wanted: list[tuple[VariantModel, int]], say: Callable[[str], None]) -> None:
        missing = [one for one in wanted if self.found(*one) is None]
        if not missing:
            return
        say(f"{len(wanted) - len(missing)} of {len(wanted)} runs are there, playing {len(missing)}")
        # A process for each run: tuned values are set in it, and one that is killed takes nothing with it.
        with ProcessPoolExecutor(
            self.jobs, multiprocessing.get_context("spawn"), max_tasks_per_child=1
        ) as pool:
            waiting = {
                pool.submit(one_run, self.deployment, variant, seed, self.folder): (variant, seed)
                for variant, seed in missing
            }
            for done in as_completed(waiting):
                variant, seed = waiting[done]
                try:
                    tree = {"variant": variant.name, **done.result()}
                except BrokenProcessPool:
                    raise RuntimeError(
                        "a worker was killed; what is done is kept, run it again to go on"
                    ) from None
                path = self.folder / "runs" / f"{self.key(variant, seed)}.json"
                fresh = path.with_suffix(".new")
                fresh.write_text(json.dumps(tree))
                fresh.replace(path)

    def _judge(self, seeds: list[int], level: float) -> dict[str, Any]:
        table = {
            variant.name: [self.found(variant, seed) or {} for seed in seeds] for variant in self.variants
        }
        base, measure = self.variants[0].name, self.model.measure
        # Less is better of everything but worth and what was delivered.
        sign = 1.0 if measure in ("worth", "delivered") else -1.0
        differences = {}
        for name, found in table.items():
            if name == base:
                continue
            pairs = [
                sign * (one[measure] - other[measure]) for one, other in zip(found, table[base], strict=True)
            ]
            seen = verdicts.interval(pairs, level)
            differences[name] = {
                "mean": seen.mean,
                "low": seen.low,
                "high": seen.high,
                "pairs": seen.count,
                "verdict": verdicts.answered(seen, self.model.precision),
            }
        broken = {
            name: sum(run[f"rule_{rule}_broken"] for run in found for rule in range(1, 7))
            for name, found in table.items()
        }
        means = {
            name: {what: round(sum(run[what] for run in found) / len(found), 5) for what in MEASURES}
            for name, found in table.items()
        }
        return {
            "baseline": base,
            "days": len(seeds),
            "differences": differences,
            "rules_broken": broken,
            "means": means,
            "runs": [run for found in table.values() for run in found],
        }

    def _write(self, outcome: dict[str, Any]) -> None:
        """runs.parquet with a row for each run, and outcome.json."""
        rows = outcome.pop("runs")
        (self.folder / "outcome.json").write_text(json.dumps(outcome, indent=2) + "\n")
        try:
            import pyarrow as pa
            import pyarrow.parquet as pq
        except ImportError:
            return
        from brassweir.lab.trials.report import experiment_page

        (self.folder / "report.html").write_text(experiment_page(outcome, rows), encoding="utf-8")
        pq.write_table(pa.Table.from_pylist(rows), self.folder / "runs.parquet", compression="zstd")


def fingerprint(code: Path) -> str:
    """The code of a checkout: what it would play differently with is in here."""
    digest = hashlib.sha256()
    for path in sorted((code / "brassweir").rglob("*.py")):
        digest.update(path.relative_to(code).as_posix().encode() + b"\0" + path.read_bytes())
    return digest.hexdigest()
