"""Makes epochs: the first one, renewals, hand-overs, planned moves and a forced take-over. Pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from brassweir.regions.epochs import KEEP_PAST_MS, PLACES, Address, Epoch, EpochError, Grant, check
from brassweir.regions.ownership import Assumptions


def first_epoch(regions: Mapping[str, str], now: float, lease: float) -> Epoch:
    """The first epoch: all places split evenly between ``regions`` (name: URL), each for one lease (ms)."""
    names = sorted(regions)
    edges = [round(PLACES * i / len(names)) for i in range(len(names) + 1)]
    grants = tuple(Grant(name, edges[i], edges[i + 1], now, now + lease) for i, name in enumerate(names))
    epoch = Epoch(1, now, grants, tuple(Address(name, regions[name]) for name in names))
    check(epoch)
    return epoch


def renewed(epoch: Epoch, now: float, lease: float, assumed: Assumptions) -> Epoch:
    """The same owners for another lease. A lapsed grant is renewed as well, since nobody else was given
    its places."""
    grants = tuple(
        msgspec.structs.replace(grant, ends=max(grant.ends, max(now, grant.begins) + lease))
        for grant in epoch.grants
    )
    renewal = Epoch(
        epoch.number, now, grants, epoch.regions, _retained_past(epoch.past, now, assumed), epoch.turn
    )
    check(renewal)
    return renewal


def handed_over(epoch: Epoch, now: float) -> Epoch:
    """The same grants, with the right to publish the next epoch passed to the other source."""
    return msgspec.structs.replace(epoch, number=epoch.number + 1, issued=now, turn=epoch.turn + 1)


def _retained_past(past: Sequence[Grant], now: float, assumed: Assumptions) -> tuple[Grant, ...]:
    """Earlier owners that clients may still have to ask for answers."""
    span = assumed.max_deadline_ms + assumed.answer_window_ms + 4.0 * assumed.clock_error_ms + KEEP_PAST_MS
    return tuple(grant for grant in past if now < grant.ends + span)


@dataclass(frozen=True, slots=True)
class Move:
    """A planned move: the epoch to publish, and for how long its places have no owner for unsafe and keyed
    classes."""

    epoch: Epoch
    pause_ms: float


def moved(epoch: Epoch, low: int, high: int, to: str, now: float, lease: float, assumed: Assumptions) -> Move:
    """Move the places from ``low`` up to ``high`` to the region ``to``. Raises EpochError.

    The present owner keeps them until its lease ends, since it may not learn of the move. The new one begins
    when the last attempt of a message that the old one accepted is over, by any clock within the assumed
    error.
    """
    if not 0 <= low < high <= PLACES:
        raise EpochError(f"{low} to {high} is not a range of places")
    if to not in {address.region for address in epoch.regions}:
        raise EpochError(f"{to!r} is not a region of the epoch")
    grants: list[Grant] = []
    past = list(_retained_past(epoch.past, now, assumed))
    pause = 0.0
    for grant in epoch.grants:
        cut_low, cut_high = max(grant.low, low), min(grant.high, high)
        if cut_low >= cut_high or grant.region == to:
            grants.append(grant)
            continue
        if grant.low < cut_low:
            grants.append(Grant(grant.region, grant.low, cut_low, grant.begins, grant.ends))
        if cut_high < grant.high:
            grants.append(Grant(grant.region, cut_high, grant.high, grant.begins, grant.ends))
        begins = max(grant.ends, now) + assumed.max_deadline_ms + 2.0 * assumed.clock_error_ms
        past.append(Grant(grant.region, cut_low, cut_high, grant.begins, grant.ends))
        grants.append(Grant(to, cut_low, cut_high, begins, begins + lease))
        pause = max(pause, begins + assumed.clock_error_ms - max(now, grant.ends - assumed.clock_error_ms))
    grants.sort(key=lambda grant: grant.low)
    result = Epoch(epoch.number + 1, now, tuple(grants), epoch.regions, tuple(past), epoch.turn)
    check(result)
    return Move(result, pause)


def drained(epoch: Epoch, region: str, now: float, lease: float, assumed: Assumptions) -> Move:
    """Move all places of a region to the others, in equal parts. Raises EpochError."""
    others = [address.region for address in epoch.regions if address.region != region]
    if not others:
        raise EpochError("there is no other region")
    result, pause = epoch, 0.0
    grants = [grant for grant in epoch.grants if grant.region == region]
    for grant in grants:
        edges = [grant.low + (grant.high - grant.low) * i // len(others) for i in range(len(others) + 1)]
        for other, low, high in zip(others, edges, edges[1:], strict=False):
            if low < high:
                step = moved(result, low, high, other, now, lease, assumed)
                result, pause = (
                    Epoch(
                        epoch.number + 1,
                        now,
                        step.epoch.grants,
                        step.epoch.regions,
                        step.epoch.past,
                        epoch.turn,
                    ),
                    max(pause, step.pause_ms),
                )
    check(result)
    return Move(result, pause)


@dataclass(frozen=True, slots=True)
class LossStatement:
    """What an operator states about a lost region; both must be true before a take-over."""

    senders_stopped: bool  # none of its processes runs, and none will be started on its journals
    journals_kept: bool  # its journals are preserved: they show what it delivered


def taken_over(
    epoch: Epoch, region: str, now: float, lease: float, assumed: Assumptions, stated: LossStatement
) -> Move:
    """Move a lost region's places to the others without waiting for its lease. Raises EpochError if that is
    unsafe.

    Messages that the lost region accepted and did not answer are unknown here. So messages created before the
    take-over are refused until no client asks for them any more.
    """
    if not stated.senders_stopped:
        raise EpochError(f"{region} may still send: stop its senders, or plan a move")
    if not stated.journals_kept:
        raise EpochError(f"keep the journals of {region}: only they show which messages it delivered")
    grants = tuple(
        Grant(
            grant.region, grant.low, grant.high, grant.begins, min(grant.ends, max(now, grant.begins + 1.0))
        )
        if grant.region == region
        else grant
        for grant in epoch.grants
    )
    ended = msgspec.structs.replace(epoch, issued=now, grants=grants)
    move = drained(
        ended, region, now, lease, Assumptions(assumed.clock_error_ms, 0.0, assumed.answer_window_ms)
    )
    check(move.epoch)
    return move
