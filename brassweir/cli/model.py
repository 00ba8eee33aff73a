"""``brassweir lab``: draws days from the description of a deployment and plays them on simulated time."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import uvloop
from rich.console import Console

from brassweir.config.load import ConfigError, load
from brassweir.lab.models.day import Day, decode, encode, summary
from brassweir.lab.models.deployment import Deployment
from brassweir.lab.models.drawing import draw
from brassweir.lab.simulated import runs, trace
from brassweir.lab.trials.compare import compare
from brassweir.lab.trials.experiment import Experiment
from brassweir.lab.trials.retracing import elsewhere
from brassweir.lab.trials.search import explained, search, shrink

_json = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
_path = click.Path(path_type=Path, exists=True, dir_okay=False)
_seed = click.option("--seed", default=1, show_default=True, type=click.IntRange(0, 1_000_000))


def _deployment(path: Path) -> Deployment:
    try:
        return load(path, Deployment)
    except ConfigError as error:
        raise click.ClickException("\n".join(error.problems)) from None


def _day(path: Path, seed: int) -> Day:
    """Read a day from its JSON file, or draw one from a deployment's file."""
    if path.suffix != ".json":
        return draw(_deployment(path), seed)
    try:
        return decode(path.read_bytes())
    except ValueError as error:
        raise click.ClickException(f"{path}: {error}") from None


def _say(quiet: bool) -> Callable[[str], None]:
    console = Console(stderr=True)
    return (lambda _: None) if quiet else lambda text: console.print(text, highlight=False, soft_wrap=True)


@click.command("draw")
@click.argument("deployment", type=_path)
@click.argument("out", type=click.Path(path_type=Path, dir_okay=False))
@_seed
@_json
def draw_command(deployment: Path, out: Path, seed: int, as_json: bool) -> None:
    """Draw a day from DEPLOYMENT (YAML) and write it to OUT (JSON)."""
    day = draw(_deployment(deployment), seed)
    out.write_bytes(encode(day))
    tree = summary(day)
    click.echo(json.dumps(tree) if as_json else json.dumps(tree, indent=2))


@click.command("sim")
@click.argument("day", type=_path)
@_seed
@click.option(
    "--trace",
    "traced",
    type=(str, click.Path(path_type=Path, dir_okay=False)),
    help="SENDER FILE: write down that sender's decisions, for retrace.",
)
@click.option("--report", "page", type=click.Path(path_type=Path, dir_okay=False), help="Write an HTML page.")
@click.option("--bound", "bounded", is_flag=True, help="Also tell the best that could be done.")
@_json
def sim_command(
    day: Path, seed: int, traced: tuple[str, Path] | None, page: Path | None, bounded: bool, as_json: bool
) -> None:
    """Play DAY (its JSON, or a deployment's YAML to draw from) on simulated time; the six rules are judged.

    Exits with 1 if a rule was broken.
    """
    run = runs.play(_day(day, seed), traced)
    tree = runs.summary(run)
    try:
        if bounded:
            tree |= _bound_shares(run)
        if page is not None:
            from brassweir.lab.trials.report import run_page

            page.write_text(run_page(run), encoding="utf-8")
    except ImportError as error:
        raise click.ClickException(f"{error.name} is needed: pip install 'brassweir[analysis]'") from None
    if as_json:
        click.echo(json.dumps(tree))
    else:
        tree["breaks"] = [breach for breaches in run.verdict.broken.values() for breach in breaches][:10]
        tree["rules_tested"] = run.verdict.tested
        click.echo(json.dumps(tree, indent=2))
    sys.exit(0 if run.verdict.clean else 1)


def _bound_shares(run: runs.Run) -> dict[str, Any]:
    """Return the upper bound of a run's worth as a share of all worth, and the run's share of that bound."""
    from brassweir.lab.models.bound import best

    counted = [row for row in run.rows if row["at_ms"] >= run.day.warm]
    full, bound = sum(row["full_worth"] for row in counted), best(run.day)
    achieved = sum(row["worth"] for row in counted)
    return {"bound": round(bound / full, 6), "share_of_bound": round(achieved / bound, 6)} if bound else {}


@click.command("experiment")
@click.argument("file", type=_path)
@click.option(
    "--folder", type=click.Path(path_type=Path, file_okay=False), help="Results; NAME.results if not given."
)
@click.option("--jobs", type=click.IntRange(1, 512), help="Processes; as many as cores if not given.")
@_json
def experiment_command(file: Path, folder: Path | None, jobs: int | None, as_json: bool) -> None:
    """Play the days of an experiment with each variant until its question is answered.

    Run it again to go on where it was cut off. Exits with 1 if a rule was broken.
    """
    try:
        experiment = Experiment(file, folder or file.with_suffix(".results"), jobs)
        outcome = experiment.run(_say(as_json))
    except ConfigError as error:
        raise click.ClickException("\n".join(error.problems)) from None
    except (RuntimeError, OSError) as error:
        raise click.ClickException(str(error)) from None
    click.echo(json.dumps(outcome) if as_json else json.dumps(outcome, indent=2))
    sys.exit(1 if any(outcome["rules_broken"].values()) else 0)


@click.command("search")
@click.argument("deployment", type=_path)
@click.argument("out", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--draws", default=64, show_default=True, type=click.IntRange(1, 100_000))
@click.option("--steps", default=10, show_default=True, type=click.IntRange(0, 10_000))
@click.option("--jobs", type=click.IntRange(1, 512))
@_seed
@_json
def search_command(
    deployment: Path, out: Path, draws: int, steps: int, jobs: int | None, seed: int, as_json: bool
) -> None:
    """Look for the worst day of DEPLOYMENT, shrink it, and keep it in OUT."""
    say = _say(as_json)
    worst = shrink(search(_deployment(deployment), seed, draws, steps, jobs, say), say)
    out.write_bytes(encode(worst.day))
    tree = explained(worst)
    click.echo(json.dumps(tree) if as_json else json.dumps(tree, indent=2))


@click.command("retrace")
@click.argument("file", type=_path)
@click.option(
    "--code",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    help="A checkout whose decision module is fed instead of this one.",
)
@_json
def retrace_command(file: Path, code: Path | None, as_json: bool) -> None:
    """Feed a trace to the decision module and show the first turn whose actions differ.

    Exits with 1 if one does.
    """
    try:
        tree = elsewhere(file, code) if code is not None else trace.retrace(file).tree()
    except (ValueError, OSError) as error:
        raise click.ClickException(str(error)) from None
    click.echo(json.dumps(tree) if as_json else json.dumps(tree, indent=2))
    sys.exit(0 if tree["difference"] is None else 1)


@click.command("compare")
@click.argument("day", type=_path)
@_seed
@click.option("--folder", type=click.Path(path_type=Path, file_okay=False), help="Keep keys and logs here.")
@_json
def compare_command(day: Path, seed: int, folder: Path | None, as_json: bool) -> None:
    """Play DAY on simulated time and over real sockets, and say where the two disagree.

    Takes a small day: each sender is a process, and stand-ins share one. Exits with 1 if they disagree.
    """
    if folder is not None and folder.exists() and any(folder.iterdir()):
        raise click.ClickException(f"{folder} is not empty: each run makes keys and settings of its own")
    with tempfile.TemporaryDirectory(prefix="brassweir-") as temporary:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            tree = runner.run(compare(_day(day, seed), folder or Path(temporary)))
    click.echo(json.dumps(tree) if as_json else json.dumps(tree, indent=2))
    sys.exit(0 if tree["agrees"] else 1)


COMMANDS = (compare_command, draw_command, sim_command, experiment_command, search_command, retrace_command)
