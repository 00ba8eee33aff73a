"""What head office publishes: who owns which share of all messages, from when and until when. Pure.

A message's place is a number from 0 to 1 made from its client's name and its own: the same in every region,
for every repeat. A grant gives a region the places from ``low`` up to ``high``, from ``begins`` until
``ends`` (ms, wall clock). Grants of one place never overlap in time, however many epochs there have been.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence

import msgspec

PLACES = 1 << 32
MOST_NUMBER = 1 << 53  # of epochs and turns: every reader of JSON has it exactly
# ms that earlier owners are told of beyond what is needed: forgetting one early could let a message run
# twice, and keeping one costs some bytes. So a publisher's clock that is wrong by less harms nobody.
KEEP_PAST_MS = 600_000.0


class EpochError(ValueError):
    """What was published makes no sense, or contradicts what was published before."""


class Grant(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``region`` owns the places ``low`` <= place < ``high`` from ``begins`` until ``ends``."""

    region: str
    low: int
    high: int
    begins: float
    ends: float


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where clients find a region."""

    region: str
    url: str


class Epoch(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One publication. ``issued`` is the publisher's clock when it was made (ms); ``turn`` counts how often
    the right to publish was handed over (see sources.py)."""

    number: int
    issued: float
    grants: tuple[Grant, ...]
    regions: tuple[Address, ...]
    past: tuple[Grant, ...] = ()  # of earlier owners, as long as messages of their time may be asked for
    turn: int = 0


def place(owner: str, identity: str) -> int:
    """Where a message belongs; the same for every repeat, in every region."""
    digest = hashlib.sha256(f"place\0{owner}\0{identity}".encode()).digest()
    return int.from_bytes(digest[:4], "big")


def parse(data: bytes) -> Epoch:
    """Read and check a publication. Raises EpochError with the field."""
    try:
        epoch = msgspec.json.decode(data, type=Epoch)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise EpochError(f"no epoch: {error}") from None
    check(epoch)
    return epoch


def check(epoch: Epoch) -> None:
    """Raise EpochError unless every place has exactly one owner now and never two at a time."""
    if not 0 <= epoch.turn <= MOST_NUMBER or not 0 <= epoch.number <= MOST_NUMBER:
        raise EpochError("number or turn is no count")
    if not math.isfinite(epoch.issued):
        raise EpochError("issued is no time")
    names = [one.region for one in epoch.regions]
    if len(set(names)) < len(names) or not names:
        raise EpochError("regions: none, or one stands more than once")
    for grant in (*epoch.grants, *epoch.past):
        if grant.region not in names:
            raise EpochError(f"grant to {grant.region!r}, which is no region here")
        if not 0 <= grant.low < grant.high <= PLACES:
            raise EpochError(f"grant from {grant.low} to {grant.high} is no range of places")
        if not -math.inf < grant.begins < grant.ends < math.inf:
            raise EpochError(f"grant from {grant.low}: it ends before it begins")
    at = 0
    for grant in sorted(epoch.grants, key=lambda one: one.low):
        if grant.low != at:
            low, high = sorted((at, grant.low))
            raise EpochError(f"grants: places {low} to {high} have no owner or two")
        at = grant.high
    if at != PLACES:
        raise EpochError(f"grants: places from {at} on have no owner")
    _apart((*epoch.grants, *epoch.past))


def _apart(grants: Sequence[Grant]) -> None:
    """No two grants hold one place at one time: a sweep over the places, with those that stand there."""
    edges = sorted({one.low for one in grants} | {one.high for one in grants})
    for low in edges[:-1]:
        here = sorted((one for one in grants if one.low <= low < one.high), key=lambda one: one.begins)
        for earlier, later in zip(here, here[1:], strict=False):
            if later.begins < earlier.ends:
                raise EpochError(
                    f"place {low}: {earlier.region} holds it until {earlier.ends:.0f} and "
                    f"{later.region} from {later.begins:.0f}"
                )


def check_follows(newer: Epoch, older: Epoch) -> None:
    """Raise EpochError unless ``newer`` may be taken after ``older``: never back, never a place to two.

    What an older epoch granted must still be told of, as long as it lasts: else a region that has not heard
    of the newer one could hold a place that another thinks its own.
    """
    if newer.number < older.number:
        raise EpochError(f"epoch {newer.number} comes after {older.number}")
    if newer.turn < older.turn:
        raise EpochError(f"epoch {newer.number} is of turn {newer.turn}, and {older.turn} was reached")
    if newer.number == older.number and newer.issued < older.issued:
        raise EpochError(f"epoch {newer.number} was issued before the one that is known")
    told = (*newer.grants, *newer.past)
    for grant in older.grants:
        for low, high in _pieces(grant, told):
            here = [one for one in told if one.low <= low and high <= one.high]
            if any(one.region == grant.region and one.ends >= min(grant.ends, newer.issued) for one in here):
                continue
            for one in here:
                if one.region != grant.region and one.begins < grant.ends:
                    raise EpochError(
                        f"epoch {newer.number} gives places from {low} to {one.region} while "
                        f"epoch {older.number} leaves them to {grant.region}"
                    )


def _pieces(grant: Grant, others: Sequence[Grant]) -> list[tuple[int, int]]:
    """A grant's places, cut where others begin or end."""
    cuts = sorted(
        {grant.low, grant.high}
        | {edge for one in others for edge in (one.low, one.high) if grant.low < edge < grant.high}
    )
    return list(zip(cuts, cuts[1:], strict=False))


def check_succeeds(newer: Epoch, older: Epoch, lost: str = "") -> None:
    """Raise EpochError unless ``newer`` may come right after ``older`` where both are known to all.

    Stricter than :func:`follows`, which allows for what head office ended: no grant of ``older`` may be cut
    short, whatever ``newer`` says of when it was made, except those of a region that is stated as lost.
    """
    told = (*newer.grants, *newer.past)
    for grant in older.grants:
        if grant.region == lost:
            continue
        for low, high in _pieces(grant, told):
            here = [one for one in told if one.low <= low and high <= one.high]
            if not any(one.region == grant.region and one.ends >= grant.ends for one in here):
                raise EpochError(
                    f"places from {low}: epoch {newer.number} cuts short what {grant.region} "
                    f"holds until {grant.ends:.0f}"
                )
    for grant in older.past:
        gone = [
            one
            for one in newer.past
            if one.region == grant.region
            and one.low <= grant.low
            and grant.high <= one.high
            and one.ends >= grant.ends
        ]
        if not gone and newer.issued < grant.ends + KEEP_PAST_MS:
            raise EpochError(
                f"past: epoch {newer.number} forgets too early that {grant.region} held places "
                f"from {grant.low}"
            )
