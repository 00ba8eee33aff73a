"""``brassweir destinations``: shows the state of a running sender's destinations."""

from __future__ import annotations

import json
import urllib.error
import urllib.parse
import urllib.request
from typing import Any

import click


@click.group()
def destinations() -> None:
    """Ask a running sender, at its metrics address, about its destinations."""


_at = click.option("--at", "address", required=True, help="HOST:PORT of sender.metrics.")
_json = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
_ORDERS = click.Choice(["open", "out", "slow", "failing"])


def _ask(address: str, path: str) -> Any:
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=5.0) as answer:
            return json.loads(answer.read())
    except urllib.error.HTTPError as error:
        raise click.ClickException(error.read().decode("utf-8", "replace").strip()) from None
    except (OSError, ValueError) as error:
        raise click.ClickException(f"{address} does not answer: {error}") from None


@destinations.command("top")
@_at
@click.option("--by", type=_ORDERS, default="open", show_default=True)
@click.option("--count", type=click.IntRange(1, 100), default=10, show_default=True)
@_json
def top_command(address: str, by: str, count: int, as_json: bool) -> None:
    """The destinations that lead in messages held, calls out, call time or failures."""
    tree = _ask(address, f"/destinations?by={by}&count={count}")
    if as_json:
        click.echo(json.dumps(tree))
        return
    click.echo(f"{tree['awake']} awake, {tree['asleep']} asleep")
    for destination in tree["top"]:
        values = "  ".join(f"{name}={value}" for name, value in destination.items() if name != "destination")
        click.echo(f"{destination['destination']:30} {values}")


@destinations.command("show")
@click.argument("name")
@_at
@_json
def show_command(name: str, address: str, as_json: bool) -> None:
    """One destination's full state: an AS2 partner's name or a webhook's destination."""
    tree = _ask(address, "/destinations/" + urllib.parse.quote(name, safe=""))
    click.echo(json.dumps(tree) if as_json else json.dumps(tree, indent=2))
