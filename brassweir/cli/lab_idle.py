"""``brassweir lab idle``: measures many idle destinations beside a few busy ones."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path

import click
import uvloop

from brassweir.config.load import ConfigError
from brassweir.lab.rigs import idle
from brassweir.lab.rigs.idle_setup import Plan
from brassweir.lab.rigs.load import Mix
from brassweir.lab.standins.hooks import Strike


@click.command("idle")
@click.option(
    "--destinations", default=10_000, show_default=True, type=click.IntRange(1, 200_000), help="Idle ones."
)
@click.option("--busy", default=8, show_default=True, type=click.IntRange(1, 1000))
@click.option(
    "--rate",
    default=510.0,
    show_default=True,
    type=click.FloatRange(1.0, 20_000.0),
    help="Messages a second to the busy ones.",
)
@click.option(
    "--wakes",
    default=20.0,
    show_default=True,
    type=click.FloatRange(0.0, 5000.0),
    help="First messages a second to idle ones.",
)
@click.option(
    "--wave",
    "waves",
    multiple=True,
    type=(float, int, float),
    help="SECOND COUNT SPAN: so many idle ones wake within so many seconds.",
)
@click.option(
    "--strike",
    "strikes",
    multiple=True,
    type=(str, int, int, float, float),
    help="KIND FIRST LAST START END: receivers hang, error, close or have lost answers.",
)
@click.option(
    "--replace",
    "lists",
    multiple=True,
    type=(float, float),
    help="SECOND SHARE: a list that replaces that share of the idle ones.",
)
@click.option(
    "--shortage",
    "shortages",
    multiple=True,
    type=(float, int, float),
    help="SECOND LEFT SECONDS: the system gives the sender no more than LEFT further descriptors.",
)
@click.option("--connections", default=4000, show_default=True, type=click.IntRange(1, 100_000))
@click.option("--journal", is_flag=True, help="The sender keeps its journal; else nothing is kept.")
@click.option("--seconds", default=60.0, show_default=True, type=click.FloatRange(1.0, 600.0))
@click.option(
    "--seed", default=1, show_default=True, type=click.IntRange(0, 1_000_000), help="One seed, one day."
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def idle_command(
    destinations: int,
    busy: int,
    rate: float,
    wakes: float,
    waves: tuple[tuple[float, int, float], ...],
    strikes: tuple[tuple[str, int, int, float, float], ...],
    lists: tuple[tuple[float, float], ...],
    shortages: tuple[tuple[float, int, float], ...],
    connections: int,
    journal: bool,
    seconds: float,
    seed: int,
    as_json: bool,
) -> None:
    """Very many idle webhook destinations beside a few busy ones: their cost and first message's latency.

    Exits with 1 if a rule was broken or a message was lost.
    """
    mix = Mix(seconds, rate, busy, destinations, wakes, waves=waves)
    plan = Plan(
        mix,
        seed,
        connections=connections,
        strikes=[Strike(*strike) for strike in strikes],
        lists=list(lists),
        shortages=list(shortages),
        journaled=journal,
    )
    with tempfile.TemporaryDirectory(prefix="brassweir-") as temporary:
        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                tree = runner.run(idle.play(plan, Path(temporary)))
        except ConfigError as error:
            raise click.ClickException("; ".join(error.problems)) from None
    click.echo(json.dumps(tree) if as_json else json.dumps(tree, indent=2))
    sys.exit(1 if any(tree["broken_rules"].values()) else 0)
