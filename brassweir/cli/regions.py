"""``brassweir regions``: creates and shows the epochs that are published to all regions."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import click
import msgspec

from brassweir.regions import planning
from brassweir.regions.epochs import PLACES, Epoch, EpochError, parse
from brassweir.regions.ownership import Assumptions
from brassweir.regions.sources import Source, publisher

_path = click.Path(path_type=Path, exists=True, dir_okay=False)
_out = click.argument("out", type=click.Path(path_type=Path, dir_okay=False))
_lease = click.option("--lease-s", default=60.0, show_default=True, type=click.FloatRange(1.0, 86_400.0))
_error = click.option(
    "--clock-error-ms",
    default=500.0,
    show_default=True,
    type=click.FloatRange(1.0, 60_000.0),
    help="No region's clock is further off.",
)
_longest = click.option(
    "--longest-s",
    default=60.0,
    show_default=True,
    type=click.FloatRange(0.1, 86_400.0),
    help="The longest deadline of a message.",
)
_asks = click.option(
    "--asks-on-s",
    default=3600.0,
    show_default=True,
    type=click.FloatRange(0.0, 1e6),
    help="For how long clients ask for an answer.",
)
_json = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")


@click.group()
def regions() -> None:
    """Who owns which messages: epochs for all regions, made here and published as a file to each."""


def _read(path: Path) -> Epoch:
    try:
        return parse(path.read_bytes())
    except (OSError, EpochError) as error:
        raise click.ClickException(f"{path}: {error}") from None


def _tree(epoch: Epoch, now: float) -> dict[str, Any]:
    shares = {region.region: 0.0 for region in epoch.regions}
    for grant in epoch.grants:
        if grant.begins <= now < grant.ends:
            shares[grant.region] += (grant.high - grant.low) / PLACES
    return {
        "number": epoch.number,
        "issued_s_ago": round((now - epoch.issued) / 1000.0, 1),
        "share_owned_now": {name: round(share, 4) for name, share in shares.items()},
        "nobody_s_now": round(1.0 - sum(shares.values()), 4),
        "grants": [
            {
                "region": grant.region,
                "low": grant.low,
                "high": grant.high,
                "begins_in_s": round((grant.begins - now) / 1000.0, 1),
                "ends_in_s": round((grant.ends - now) / 1000.0, 1),
            }
            for grant in epoch.grants
        ],
        "past_owners": len(epoch.past),
        "next_by": publisher(epoch).value,
    }


def _write(epoch: Epoch, out: Path, as_json: bool, **more: object) -> None:
    temporary = out.with_name(out.name + ".new")
    temporary.write_bytes(msgspec.json.encode(epoch))
    temporary.replace(out)
    tree = {**_tree(epoch, time.time() * 1000.0), **more}
    click.echo(json.dumps(tree) if as_json else json.dumps(tree, indent=2))


@regions.command("first")
@_out
@click.option("--region", "given", multiple=True, required=True, type=(str, str), help="NAME URL.")
@_lease
@click.option("--for-log", is_flag=True, help="The agreed log publishes, not a file.")
@_json
def first_command(
    out: Path, given: tuple[tuple[str, str], ...], lease_s: float, for_log: bool, as_json: bool
) -> None:
    """Split all messages evenly between regions and write the first epoch to OUT."""
    if out.exists():
        raise click.ClickException(f"{out} exists: a second first epoch would give away what is owned")
    epoch = planning.first_epoch(dict(given), time.time() * 1000.0, lease_s * 1000.0)
    _write(msgspec.structs.replace(epoch, turn=int(for_log)), out, as_json)


@regions.command("show")
@click.argument("file", type=_path)
@_json
def show_command(file: Path, as_json: bool) -> None:
    """Show who owns how much now."""
    tree = _tree(_read(file), time.time() * 1000.0)
    click.echo(json.dumps(tree) if as_json else json.dumps(tree, indent=2))


def _assumed(clock_error_ms: float, longest_s: float, asks_on_s: float) -> Assumptions:
    return Assumptions(clock_error_ms, longest_s * 1000.0, asks_on_s * 1000.0)


@regions.command("renew")
@click.argument("file", type=_path)
@_out
@_lease
@_error
@_longest
@_asks
@click.option("--hand-over", is_flag=True, help="No new lease: the last epoch of its source.")
@_json
def renew_command(
    file: Path,
    out: Path,
    lease_s: float,
    clock_error_ms: float,
    longest_s: float,
    asks_on_s: float,
    hand_over: bool,
    as_json: bool,
) -> None:
    """Give every owner another lease; run it several times within one."""
    epoch, now = _read(file), time.time() * 1000.0
    if hand_over:
        _write(planning.handed_over(epoch, now), out, as_json)
        return
    if publisher(epoch) is not Source.FILE:
        raise click.ClickException(f"{file}: the agreed log publishes after this epoch, and renews it")
    assumed = _assumed(clock_error_ms, longest_s, asks_on_s)
    _write(planning.renewed(epoch, now, lease_s * 1000.0, assumed), out, as_json)


@regions.command("plan-move")
@click.argument("file", type=_path)
@_out
@click.option("--low", required=True, type=click.FloatRange(0.0, 1.0), help="Share of all places, from.")
@click.option("--high", required=True, type=click.FloatRange(0.0, 1.0), help="Share of all places, to.")
@click.option("--to", "region", required=True)
@_lease
@_error
@_longest
@_asks
@_json
def move_command(
    file: Path,
    out: Path,
    low: float,
    high: float,
    region: str,
    lease_s: float,
    clock_error_ms: float,
    longest_s: float,
    asks_on_s: float,
    as_json: bool,
) -> None:
    """Move a share of all messages to a region; prints for how long unsafe and keyed ones will wait."""
    assumed = _assumed(clock_error_ms, longest_s, asks_on_s)
    try:
        move = planning.moved(
            _read(file),
            round(low * PLACES),
            round(high * PLACES),
            region,
            time.time() * 1000.0,
            lease_s * 1000.0,
            assumed,
        )
    except EpochError as error:
        raise click.ClickException(str(error)) from None
    _write(move.epoch, out, as_json, pause_s=round(move.pause_ms / 1000.0, 1))


@regions.command("drain-region")
@click.argument("file", type=_path)
@_out
@click.argument("region")
@click.option("--lost", is_flag=True, help="It is gone for good: do not wait for its lease.")
@click.option("--its-senders-are-stopped", "stopped", is_flag=True, help="None runs or will be started.")
@click.option("--its-journals-are-kept", "kept", is_flag=True, help="What it carried out can be looked up.")
@_lease
@_error
@_longest
@_asks
@_json
def drain_command(
    file: Path,
    out: Path,
    region: str,
    lost: bool,
    stopped: bool,
    kept: bool,
    lease_s: float,
    clock_error_ms: float,
    longest_s: float,
    asks_on_s: float,
    as_json: bool,
) -> None:
    """Give all that a region owns to the others: planned, or after losing it for good."""
    assumed = _assumed(clock_error_ms, longest_s, asks_on_s)
    now, lease = time.time() * 1000.0, lease_s * 1000.0
    try:
        epoch = _read(file)
        move = (
            planning.taken_over(epoch, region, now, lease, assumed, planning.LossStatement(stopped, kept))
            if lost
            else planning.drained(epoch, region, now, lease, assumed)
        )
    except EpochError as error:
        raise click.ClickException(str(error)) from None
    _write(move.epoch, out, as_json, pause_s=round(move.pause_ms / 1000.0, 1))
