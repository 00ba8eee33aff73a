"""``brassweir``: every command hangs below this group."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

import click
import uvloop

from brassweir import __version__
from brassweir.cli.as2 import as2
from brassweir.cli.destinations import destinations
from brassweir.cli.importing import importing
from brassweir.cli.journal import journal
from brassweir.cli.kept import kept
from brassweir.cli.keys import keys
from brassweir.cli.lab import lab
from brassweir.cli.regions import regions
from brassweir.config.load import ConfigError
from brassweir.journal.writer import Broken
from brassweir.observe.logs import set_up
from brassweir.service.process import check, serve


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="brassweir")
def main() -> None:
    """A delivery service: takes messages over AS2 and carries each to its destination, or says why not."""


@main.command("serve")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--plain-log", is_flag=True, help="Log lines for a terminal instead of JSON.")
def serve_command(file: Path, plain_log: bool) -> None:
    """Run the sender that the settings in FILE describe, until SIGTERM or SIGINT."""
    try:
        config = check(file)
        log = set_up(config.sender.log_level, plain_log)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(file, log))
    except ConfigError as error:
        _complain(error)
    except Broken as error:
        click.echo(f"journal: {error}; nothing was answered or sent that is not written down", err=True)
        sys.exit(4)
    except OSError as error:
        forward = config.forward.listen if config.forward is not None else None
        places = " or ".join(filter(None, (config.sender.listen, forward, config.sender.metrics)))
        raise click.ClickException(f"cannot listen on {places}: {error.strerror or error}") from None


@main.command("check")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print the problems as one JSON object.")
def check_command(file: Path, as_json: bool) -> None:
    """Check the settings in FILE and all files they name; print every problem with its line and field."""
    problems: list[str] = []
    try:
        check(file)
    except ConfigError as error:
        problems = error.problems
    if as_json:
        click.echo(json.dumps({"good": not problems, "problems": problems}))
    else:
        click.echo("\n".join(problems) if problems else f"{file}: good")
    sys.exit(1 if problems else 0)


def _complain(error: ConfigError) -> None:
    for problem in error.problems:
        click.echo(problem, err=True)
    sys.exit(1)


main.add_command(as2)
main.add_command(destinations)
main.add_command(importing)
main.add_command(journal)
main.add_command(kept)
main.add_command(keys)
main.add_command(lab)
main.add_command(regions)
