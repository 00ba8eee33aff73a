"""The command ``brassweir node``: runs one sender on the platform."""

from __future__ import annotations

import asyncio
import sys

import click
import uvloop

from brassweir.journal.group import JournalBroken
from brassweir.observe.json_log import JsonLog
from brassweir.relay.settings import NodeConfigError
from brassweir.service.journaling import JournalUnusable
from brassweir.service.node_run import run
from brassweir.service.node_trace import FREQUENT_EVENTS


@click.command()
def node() -> None:
    """Run one sender on the platform until SIGTERM; SIGHUP reloads the configuration.

    RELAY_CONFIG names the configuration file, RELAY_STATE the directory that keeps the journal and the saved
    list.
    """
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run(JsonLog(frequent=FREQUENT_EVENTS)))
    except (NodeConfigError, JournalUnusable) as error:
        click.echo(f"brassweir node: {error}", err=True)
        sys.exit(1)
    except JournalBroken as error:
        click.echo(f"journal: {error}; nothing was answered or sent that is not written down", err=True)
        sys.exit(4)
    except OSError as error:
        raise click.ClickException(f"cannot listen: {error.strerror or error}") from None
