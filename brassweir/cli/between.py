"""``brassweir lab between``: processes with faults between them."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path

import click
import uvloop
from rich.console import Console
from rich.table import Table

from brassweir.config.load import ConfigError
from brassweir.lab.between import schedule as schedules
from brassweir.lab.between.guards import GUARDS
from brassweir.lab.between.run import Outcome, Plan, run
from brassweir.lab.between.sites import LEAST, MOST, stands

PLANS = ("peers",)  # those that stand; ``all`` is every one of them


@click.command("between")
@click.option(
    "--plan",
    "name",
    default="all",
    show_default=True,
    type=click.Choice([*PLANS, "all"]),
    help="What the copies do together.",
)
@click.option(
    "--seed",
    default=1,
    show_default=True,
    type=click.IntRange(0, 1_000_000),
    help="One seed, one day and one schedule of faults.",
)
@click.option("--seconds", default=30.0, show_default=True, type=click.FloatRange(12.0, 120.0))
@click.option("--copies", default=6, show_default=True, type=click.IntRange(LEAST, MOST), help="Processes.")
@click.option(
    "--rate",
    default=10.0,
    show_default=True,
    type=click.FloatRange(0.5, 30.0),
    help="Messages a second from all clients.",
)
@click.option(
    "--schedule",
    "path",
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help="Faults from this file (YAML) instead of drawn from the seed.",
)
@click.option(
    "--without",
    default="",
    type=click.Choice(["", *sorted(GUARDS)]),
    show_choices=True,
    help="Take a guard out of every copy, to see that what breaks is caught.",
)
@click.option(
    "--folder",
    type=click.Path(path_type=Path, file_okay=False),
    help="Keep keys, logs, folders, the schedule and the relay's tape here.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def between_command(
    name: str,
    seed: int,
    seconds: float,
    copies: int,
    rate: float,
    path: Path | None,
    without: str,
    folder: Path | None,
    as_json: bool,
) -> None:
    """Sites of several senders as processes, a relay that all their talk passes, and faults between them.

    Judged from tapes, folders and answers. Exits with 1 if a property is broken.
    """
    if folder is not None and folder.exists() and any(folder.iterdir()):
        raise click.ClickException(f"{folder} is not empty: each run makes keys and settings of its own")
    plan = Plan(seed, seconds, copies, rate, _schedule(path, copies, seconds), without)
    console = Console(stderr=True)

    def say(text: str) -> None:
        if not as_json:
            console.print(text, highlight=False, soft_wrap=True)

    with tempfile.TemporaryDirectory(prefix="brassweir-") as temporary:
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            outcome = runner.run(run(plan, folder or Path(temporary), say))
    if as_json:
        click.echo(json.dumps(outcome.tree() | {"schedule": schedules.to_text(outcome.schedule)}))
    else:
        _show(outcome)
    sys.exit(0 if outcome.clean else 1)


def _schedule(path: Path | None, copies: int, seconds: float) -> schedules.Schedule | None:
    if path is None:
        return None
    try:
        found = schedules.read(path)
        schedules.known(found, stands(copies), seconds, str(path))
    except ConfigError as error:
        raise click.ClickException("\n".join(error.problems)) from None
    return found


def _show(outcome: Outcome) -> None:
    console = Console()
    table = Table(title=f"between, seed {outcome.plan.seed}")
    for column in ("property", "put to the test", "broken", "figures"):
        table.add_column(column)
    for name, found in outcome.findings.items():
        table.add_row(
            name,
            str(found.tested),
            str(len(found.broken)),
            ", ".join(f"{key} {value:g}" for key, value in found.figures.items()),
        )
    console.print(table)
    for name, found in outcome.findings.items():
        for what in found.broken[:5]:
            console.print(f"broken: {name}: {what}", highlight=False, soft_wrap=True)
    if not outcome.clean:
        console.print(
            "the schedule, to be repeated and shortened:\n" + schedules.to_text(outcome.schedule),
            highlight=False,
            soft_wrap=True,
        )
