"""``brassweir serve`` and ``check``: runs one process from a settings file, or checks the file."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

import click
import uvloop

from brassweir.config.load import ConfigError
from brassweir.config.model import Config, CopyConfig
from brassweir.journal.group import JournalBroken
from brassweir.observe.logs import configure_logging
from brassweir.service.checking import check
from brassweir.service.serving import serve


@click.command("serve")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--plain-log", is_flag=True, help="Log lines for a terminal instead of JSON.")
def serve_command(file: Path, plain_log: bool) -> None:
    """Run the sender that the settings in FILE describe, until SIGTERM or SIGINT."""
    try:
        config = check(file, edited=False)  # an invalid edited list must not prevent a start
        log = configure_logging(config.sender.log_level, plain_log)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(file, log))
    except ConfigError as error:
        _complain(error)
    except JournalBroken as error:
        click.echo(f"journal: {error}; nothing was answered or sent that is not written down", err=True)
        sys.exit(4)
    except OSError as error:
        raise click.ClickException(f"cannot listen on {_places(config)}: {error.strerror or error}") from None


@click.command("check")
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


def _places(config: CopyConfig) -> str:
    """Return the addresses that a process listens on, for an error message."""
    peers = config.peers.listen or "the own address in peers.copies" if config.peers is not None else None
    places = [config.sender.metrics, peers]
    if isinstance(config, Config):
        forward = config.forward.listen if config.forward is not None else None
        places = [config.sender.listen, forward, *places]
    return " or ".join(filter(None, places))


def _complain(error: ConfigError) -> None:
    for problem in error.problems:
        click.echo(problem, err=True)
    sys.exit(1)
