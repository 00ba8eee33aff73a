"""``brassweir lab between``: runs several processes with network faults between them."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any

import click
import uvloop
from rich.console import Console
from rich.table import Table

from brassweir.config.load import ConfigError
from brassweir.lab.between import configuration_run
from brassweir.lab.between import schedule as schedules
from brassweir.lab.between.configuration_rig import STANDS
from brassweir.lab.between.guards import GUARDS
from brassweir.lab.between.run import Outcome, Plan, run
from brassweir.lab.between.sites import LEAST, MOST, Stand, stands

Play = Callable[[Plan, Path, Callable[[str], None]], Coroutine[Any, Any, Outcome]]
PLANS: dict[str, Play] = {"peers": run, "configuration": configuration_run.run}


@click.command("between")
@click.option(
    "--plan",
    "name",
    default="peers",
    show_default=True,
    type=click.Choice([*PLANS, "all"]),
    help="What the copies do together; all: one run of each, one after the other.",
)
@click.option(
    "--seed",
    default=1,
    show_default=True,
    type=click.IntRange(0, 1_000_000),
    help="One seed, one day and one schedule of faults.",
)
@click.option("--seconds", default=30.0, show_default=True, type=click.FloatRange(12.0, 120.0))
@click.option(
    "--copies",
    default=6,
    show_default=True,
    type=click.IntRange(LEAST, MOST),
    help="Processes of the plan peers; the others have theirs.",
)
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
    names = list(PLANS) if name == "all" else [name]
    outcomes = []
    for plan_name in names:
        stands_used = STANDS if plan_name == "configuration" else stands(copies)
        plan = Plan(seed, seconds, len(stands_used), rate, _schedule(path, stands_used, seconds), without)
        outcomes.append(
            _play(plan_name, plan, folder / plan_name if folder and len(names) > 1 else folder, as_json)
        )
    sys.exit(0 if all(outcome.clean for outcome in outcomes) else 1)


def _play(name: str, plan: Plan, folder: Path | None, as_json: bool) -> Outcome:
    """Play one plan and print its outcome."""
    console = Console(stderr=True)

    def say(text: str) -> None:
        if not as_json:
            console.print(text, highlight=False, soft_wrap=True)

    with tempfile.TemporaryDirectory(prefix="brassweir-") as temporary:
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            outcome = runner.run(PLANS[name](plan, folder or Path(temporary), say))
    if as_json:
        click.echo(json.dumps(outcome.tree() | {"schedule": schedules.to_text(outcome.schedule)}))
    else:
        _show(outcome, name)
    return outcome


def _schedule(path: Path | None, stands_used: Sequence[Stand], seconds: float) -> schedules.Schedule | None:
    if path is None:
        return None
    try:
        schedule = schedules.read(path)
        schedules.known(schedule, stands_used, seconds, str(path))
    except ConfigError as error:
        raise click.ClickException("\n".join(error.problems)) from None
    return schedule


def _show(outcome: Outcome, name: str) -> None:
    console = Console()
    table = Table(title=f"between, {name}, seed {outcome.plan.seed}")
    for column in ("property", "put to the test", "broken", "figures"):
        table.add_column(column)
    for name, finding in outcome.findings.items():
        table.add_row(
            name,
            str(finding.tested),
            str(len(finding.broken)),
            ", ".join(f"{key} {value:g}" for key, value in finding.figures.items()),
        )
    console.print(table)
    for name, finding in outcome.findings.items():
        for breach in finding.broken[:5]:
            console.print(f"broken: {name}: {breach}", highlight=False, soft_wrap=True)
    if not outcome.clean:
        console.print(
            "the schedule, to be repeated and shortened:\n" + schedules.to_text(outcome.schedule),
            highlight=False,
            soft_wrap=True,
        )
