"""``brassweir lab``: days played on loopback with the six rules checked."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import click
import uvloop
from rich.console import Console
from rich.table import Table

from brassweir.cli import model
from brassweir.cli.between import between_command
from brassweir.cli.lab_idle import idle_command
from brassweir.lab.rigs import days
from brassweir.lab.rigs.flood import Flood, FloodPlan
from brassweir.lab.rigs.play import Report, play
from brassweir.lab.rigs.script import Day
from brassweir.lab.simulated.crash import steps_of, sweep
from brassweir.lab.simulated.crash_world import Script
from brassweir.lab.simulated.disk import MODES


@click.group()
def lab() -> None:
    """Play days over loopback sockets against stand-in partners, and check the six rules."""


_seed = click.option(
    "--seed", default=1, show_default=True, type=click.IntRange(0, 1_000_000), help="One seed, one day."
)
_json = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
_keep = click.option(
    "--folder", type=click.Path(path_type=Path, file_okay=False), help="Keep keys, settings and logs here."
)


@lab.command("demo")
@_seed
@_json
@_keep
def demo_command(seed: int, as_json: bool, folder: Path | None) -> None:
    """Some hundred signed payments from clients through one sender to partners that fail, in a dozen seconds.

    Prints what ended how. Exits with 1 if a rule was broken.
    """
    _run(days.demo, seed, as_json, folder)


@lab.command("day")
@click.argument("name", type=click.Choice(["bad"]))
@click.option(
    "--fronts",
    default="as2",
    show_default=True,
    type=click.Choice(["as2", "as2,forward"]),
    help="Over what messages are handed in.",
)
@_seed
@_json
@_keep
def day_command(name: str, fronts: str, seed: int, as_json: bool, folder: Path | None) -> None:
    """Play a scripted day: four senders as processes, eight partners, every trouble, for a minute.

    With the forward front as well, four shippers and three forward destinations join in. Exits with 1 if a
    rule was broken.
    """
    _run(days.bad if fronts == "as2" else days.mixed, seed, as_json, folder)


@lab.command("crash")
@click.option("--kills", default=40, show_default=True, type=click.IntRange(1, 1000))
@click.option(
    "--rate", default=15.0, show_default=True, type=click.FloatRange(0.5, 100.0), help="Messages a second."
)
@_seed
@_json
@_keep
def crash_command(kills: int, rate: float, seed: int, as_json: bool, folder: Path | None) -> None:
    """Kill senders (SIGKILL) under load, let them recover, and count lost messages and doubled payments.

    Exits with 1 if a message had no answer or two, or a payment took effect twice.
    """
    _run(lambda number: days.crash(number, kills, rate), seed, as_json, folder)


@lab.command("sweep")
@click.option("--messages", default=30, show_default=True, type=click.IntRange(1, 500))
@click.option(
    "--every",
    default=1,
    show_default=True,
    type=click.IntRange(1, 1000),
    help="Take every n-th storage step.",
)
@click.option("--loops", default=1, show_default=True, type=click.IntRange(1, 20), help="Crashes in a row.")
@_seed
@_json
def sweep_command(messages: int, every: int, loops: int, seed: int, as_json: bool) -> None:
    """Crash a simulated sender at every storage step of its journal, in every mode, recover, and check.

    Exits with 1 if anything was lost, doubled or told twice.
    """
    total = steps_of(Script.draw(seed, messages, 2500.0), seed)
    result = sweep(seed, messages, MODES, range(1, total + 1, every), loops=loops)
    tree = {
        "steps": total,
        "points": result.points,
        "crashes": result.crashes,
        "messages": result.messages,
        "problems": result.problems[:50],
    }
    click.echo(json.dumps(tree) if as_json else json.dumps(tree, indent=2))
    sys.exit(1 if result.problems else 0)


@lab.command("forward-flood")
@click.option("--sources", default=50, show_default=True, type=click.IntRange(2, 2000))
@click.option("--idle", "idle_sources", default=1000, show_default=True, type=click.IntRange(10, 2000))
@click.option(
    "--seconds", default=12.0, show_default=True, type=click.FloatRange(3.0, 120.0), help="Of each phase."
)
@_seed
@_json
def flood_command(sources: int, idle_sources: int, seconds: float, seed: int, as_json: bool) -> None:
    """Forward sources that never slow down, one of them greedy, beside AS2: memory, fairness, and what AS2
    feels.

    Exits with 1 if memory went over twice the room for chunks, or a source had under half its share.
    """
    plan = FloodPlan(sources=sources, idle=idle_sources, seconds=seconds)
    with tempfile.TemporaryDirectory(prefix="brassweir-") as temporary:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            tree = runner.run(Flood(plan, seed, Path(temporary)).run())
    good = all(tree[phase]["over_before_by_room"] <= 2.0 for phase in ("flood", "shut"))
    good = good and (tree["flood"]["fairness_least_over_mean"] or 0.0) >= 0.5
    click.echo(json.dumps(tree) if as_json else json.dumps(tree, indent=2))
    sys.exit(0 if good else 1)


for command in (between_command, idle_command, *model.COMMANDS):
    lab.add_command(command)


def _run(make: Callable[[int], Day], seed: int, as_json: bool, folder: Path | None) -> None:
    if folder is not None and folder.exists() and any(folder.iterdir()):
        raise click.ClickException(f"{folder} is not empty: each run makes keys and settings of its own")
    console = Console(stderr=True)

    def say(text: str) -> None:
        if not as_json:
            console.print(text, highlight=False, soft_wrap=True)

    with tempfile.TemporaryDirectory(prefix="brassweir-") as temporary:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            report = runner.run(play(make(seed), seed, folder or Path(temporary), say))
    if as_json:
        click.echo(json.dumps(report.tree()))
    else:
        _show(report)
    sys.exit(0 if report.clean else 1)


def _show(report: Report) -> None:
    console = Console()
    table = Table(title=f"{report.day}, seed {report.seed}: what ended how")
    answers = ["delivered", "refused", "failed", "rejected", "unanswered"]
    for column in ("class", *answers, "effects per message"):
        table.add_column(column)
    for name, answer_counts in report.messages.items():
        counts = ", ".join(f"{count} x {times}" for times, count in report.effects[name].items())
        table.add_row(name, *(str(answer_counts.get(answer, 0)) for answer in answers), counts)
    console.print(table)
    rules = Table(title="the six rules")
    for column in ("rule", "put to the test", "broken"):
        rules.add_column(column)
    titles = (
        "one final answer in time",
        "no effect twice",
        "drains kept",
        "returning not pushed over",
        "order by key",
        "waits heeded",
    )
    for rule, title in enumerate(titles, 1):
        verdict = report.verdict
        rules.add_row(f"{rule} {title}", str(verdict.tested[rule]), str(len(verdict.broken[rule])))
    console.print(rules)
    for breaches in report.verdict.broken.values():
        for breach in breaches[:5]:
            console.print(f"broken: {breach}", highlight=False)
    for end in report.drains:
        console.print(f"{end['sender']} drained in {end['seconds']} s, exit {end['exit']}", highlight=False)
