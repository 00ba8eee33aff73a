"""Epochs: who owns which share of all messages, from when and until when; their checks. Pure.

A message's place is a number from 0 to 2^32 - 1, hashed from its client's name and its identity, so that
every region computes the same one for every repeat. A grant gives a region the places from ``low`` up to but
without ``high``, from ``begins`` until ``ends`` (ms, wall clock). Grants of one place never overlap in time,
over all epochs. Epochs are published by head office's file or by the agreed log (see sources.py).
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence

import msgspec

PLACES = 1 << 32
MAX_NUMBER = 1 << 53  # of epochs and turns: JSON readers that use doubles represent it exactly
# ms by which earlier owners are listed for longer than necessary: dropping one early could let a message run
# twice, so this also covers an error of the publisher's clock.
KEEP_PAST_MS = 600_000.0


class EpochError(ValueError):
    """An epoch that is invalid, or contradicts an earlier one."""


class Grant(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``region`` owns the places ``low`` <= place < ``high`` from ``begins`` until ``ends``."""

    region: str
    low: int
    high: int
    begins: float
    ends: float


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The URL at which clients reach a region."""

    region: str
    url: str


class Epoch(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One publication. ``issued`` is the publisher's clock when it was made (ms); ``turn`` counts the
    hand-overs of the right to publish (see sources.py)."""

    number: int
    issued: float
    grants: tuple[Grant, ...]
    regions: tuple[Address, ...]
    past: tuple[Grant, ...] = ()  # earlier owners, while clients may still retry messages of their time
    turn: int = 0


def place(owner: str, identity: str) -> int:
    """The place of a message, equal for every repeat in every region."""
    digest = hashlib.sha256(f"place\0{owner}\0{identity}".encode()).digest()
    return int.from_bytes(digest[:4], "big")


def parse(data: bytes) -> Epoch:
    """Decode and check an epoch from JSON. Raises EpochError with the field."""
    try:
        epoch = msgspec.json.decode(data, type=Epoch)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise EpochError(f"no epoch: {error}") from None
    check(epoch)
    return epoch


def check(epoch: Epoch) -> None:
    """Raise EpochError unless every place has one owner now and never two at a time."""
    if not 0 <= epoch.turn <= MAX_NUMBER or not 0 <= epoch.number <= MAX_NUMBER:
        raise EpochError("number or turn is no count")
    if not math.isfinite(epoch.issued):
        raise EpochError("issued is no time")
    names = [address.region for address in epoch.regions]
    if len(set(names)) < len(names) or not names:
        raise EpochError("regions: none, or one stands more than once")
    for grant in (*epoch.grants, *epoch.past):
        if grant.region not in names:
            raise EpochError(f"grant to {grant.region!r}, which is no region here")
        if not 0 <= grant.low < grant.high <= PLACES:
            raise EpochError(f"grant from {grant.low} to {grant.high} is no range of places")
        if not -math.inf < grant.begins < grant.ends < math.inf:
            raise EpochError(f"grant from {grant.low}: it ends before it begins")
    next_place = 0
    for grant in sorted(epoch.grants, key=lambda grant: grant.low):
        if grant.low != next_place:
            low, high = sorted((next_place, grant.low))
            raise EpochError(f"grants: places {low} to {high} have no owner or two")
        next_place = grant.high
    if next_place != PLACES:
        raise EpochError(f"grants: places from {next_place} on have no owner")
    _check_no_overlap((*epoch.grants, *epoch.past))


def _check_no_overlap(grants: Sequence[Grant]) -> None:
    """Raise EpochError if two grants hold one place at one time, by a sweep over the places."""
    edges = sorted({grant.low for grant in grants} | {grant.high for grant in grants})
    for low in edges[:-1]:
        holders = sorted(
            (grant for grant in grants if grant.low <= low < grant.high), key=lambda grant: grant.begins
        )
        for earlier, later in zip(holders, holders[1:], strict=False):
            if later.begins < earlier.ends:
                raise EpochError(
                    f"place {low}: {earlier.region} holds it until {earlier.ends:.0f} and "
                    f"{later.region} from {later.begins:.0f}"
                )


def check_follows(newer: Epoch, older: Epoch) -> None:
    """Raise EpochError unless ``newer`` may replace ``older``: numbers never decrease and no place gets two
    owners.

    Whatever ``older`` granted must be listed in ``newer`` while it lasts. Otherwise a region that has not
    received ``newer`` could still use a place that another region already owns.
    """
    if newer.number < older.number:
        raise EpochError(f"epoch {newer.number} comes after {older.number}")
    if newer.turn < older.turn:
        raise EpochError(f"epoch {newer.number} is of turn {newer.turn}, and {older.turn} was reached")
    if newer.number == older.number and newer.issued < older.issued:
        raise EpochError(f"epoch {newer.number} was issued before the one that is known")
    listed = (*newer.grants, *newer.past)
    for grant in older.grants:
        for low, high in _split_range(grant, listed):
            holders = [other for other in listed if other.low <= low and high <= other.high]
            if any(
                other.region == grant.region and other.ends >= min(grant.ends, newer.issued)
                for other in holders
            ):
                continue
            for other in holders:
                if other.region != grant.region and other.begins < grant.ends:
                    raise EpochError(
                        f"epoch {newer.number} gives places from {low} to {other.region} while "
                        f"epoch {older.number} leaves them to {grant.region}"
                    )


def _split_range(grant: Grant, others: Sequence[Grant]) -> list[tuple[int, int]]:
    """The places of a grant, split where grants of others begin or end."""
    cuts = sorted(
        {grant.low, grant.high}
        | {edge for other in others for edge in (other.low, other.high) if grant.low < edge < grant.high}
    )
    return list(zip(cuts, cuts[1:], strict=False))


def check_succeeds(newer: Epoch, older: Epoch, lost: str = "") -> None:
    """Raise EpochError unless ``newer`` may come directly after ``older``, where both are known to all.

    Stricter than :func:`check_follows`: no grant of ``older`` may be cut short, whatever ``newer`` says of
    when it was issued, except grants of the region ``lost``.
    """
    listed = (*newer.grants, *newer.past)
    for grant in older.grants:
        if grant.region == lost:
            continue
        for low, high in _split_range(grant, listed):
            holders = [other for other in listed if other.low <= low and high <= other.high]
            if not any(other.region == grant.region and other.ends >= grant.ends for other in holders):
                raise EpochError(
                    f"places from {low}: epoch {newer.number} cuts short what {grant.region} "
                    f"holds until {grant.ends:.0f}"
                )
    for grant in older.past:
        retained = [
            other
            for other in newer.past
            if other.region == grant.region
            and other.low <= grant.low
            and grant.high <= other.high
            and other.ends >= grant.ends
        ]
        if not retained and newer.issued < grant.ends + KEEP_PAST_MS:
            raise EpochError(
                f"past: epoch {newer.number} forgets too early that {grant.region} held places "
                f"from {grant.low}"
            )
