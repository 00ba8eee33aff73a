"""What head office does: first epoch, renewals, a planned move, a forced take-over. Pure: epochs in, an
epoch out."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from brassweir.regions.epochs import KEEP_PAST_MS, PLACES, Address, Epoch, EpochError, Grant, check
from brassweir.regions.ownership import Assumptions


def first_epoch(regions: Mapping[str, str], now: float, lease: float) -> Epoch:
    """All places split evenly between regions (name: URL), each for one lease (ms)."""
    names = sorted(regions)
    edges = [round(PLACES * i / len(names)) for i in range(len(names) + 1)]
    grants = tuple(Grant(name, edges[i], edges[i + 1], now, now + lease) for i, name in enumerate(names))
    epoch = Epoch(1, now, grants, tuple(Address(name, regions[name]) for name in names))
    check(epoch)
    return epoch


def renewed(epoch: Epoch, now: float, lease: float, assumed: Assumptions) -> Epoch:
    """The same owners for another lease. One that lapsed goes on too: nobody else was given its places."""
    grants = tuple(
        msgspec.structs.replace(one, ends=max(one.ends, max(now, one.begins) + lease)) for one in epoch.grants
    )
    made = Epoch(
        epoch.number, now, grants, epoch.regions, _retained_past(epoch.past, now, assumed), epoch.turn
    )
    check(made)
    return made


def handed_over(epoch: Epoch, now: float) -> Epoch:
    """The same grants, and the right to publish the next epoch goes to the other source."""
    return msgspec.structs.replace(epoch, number=epoch.number + 1, issued=now, turn=epoch.turn + 1)


def _retained_past(past: Sequence[Grant], now: float, assumed: Assumptions) -> tuple[Grant, ...]:
    """Earlier owners that messages may still be asked from."""
    span = assumed.max_deadline_ms + assumed.answer_window_ms + 4.0 * assumed.clock_error_ms + KEEP_PAST_MS
    return tuple(one for one in past if now < one.ends + span)


@dataclass(frozen=True, slots=True)
class Move:
    """A planned move: the epoch to publish, and how long (ms) its places are nobody's for unsafe and keyed
    classes."""

    epoch: Epoch
    pause_ms: float


def moved(epoch: Epoch, low: int, high: int, to: str, now: float, lease: float, assumed: Assumptions) -> Move:
    """Give the places ``low`` to ``high`` to another region.

    Their owner ends with the lease it has: it may not hear of this. The new one begins once the last attempt
    of what the old one took is over, on whatever clocks. Raises EpochError.
    """
    if not 0 <= low < high <= PLACES:
        raise EpochError(f"{low} to {high} is no range of places")
    if to not in {one.region for one in epoch.regions}:
        raise EpochError(f"{to!r} is no region")
    grants: list[Grant] = []
    past = list(_retained_past(epoch.past, now, assumed))
    pause = 0.0
    for one in epoch.grants:
        cut_low, cut_high = max(one.low, low), min(one.high, high)
        if cut_low >= cut_high or one.region == to:
            grants.append(one)
            continue
        if one.low < cut_low:
            grants.append(Grant(one.region, one.low, cut_low, one.begins, one.ends))
        if cut_high < one.high:
            grants.append(Grant(one.region, cut_high, one.high, one.begins, one.ends))
        begins = max(one.ends, now) + assumed.max_deadline_ms + 2.0 * assumed.clock_error_ms
        past.append(Grant(one.region, cut_low, cut_high, one.begins, one.ends))
        grants.append(Grant(to, cut_low, cut_high, begins, begins + lease))
        pause = max(pause, begins + assumed.clock_error_ms - max(now, one.ends - assumed.clock_error_ms))
    grants.sort(key=lambda one: one.low)
    made = Epoch(epoch.number + 1, now, tuple(grants), epoch.regions, tuple(past), epoch.turn)
    check(made)
    return Move(made, pause)


def drained(epoch: Epoch, region: str, now: float, lease: float, assumed: Assumptions) -> Move:
    """Give all of a region's places to the others, in equal parts. Raises EpochError."""
    others = [one.region for one in epoch.regions if one.region != region]
    if not others:
        raise EpochError("there is no other region")
    move, pause = epoch, 0.0
    mine = [one for one in epoch.grants if one.region == region]
    for one in mine:
        edges = [one.low + (one.high - one.low) * i // len(others) for i in range(len(others) + 1)]
        for other, low, high in zip(others, edges, edges[1:], strict=False):
            if low < high:
                step = moved(move, low, high, other, now, lease, assumed)
                move, pause = (
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
    check(move)
    return Move(move, pause)


@dataclass(frozen=True, slots=True)
class LossStatement:
    """What an operator states of a region that is gone for good; each must be true before a take-over."""

    senders_stopped: bool  # no process of it runs, and none will be started on its journals
    journals_kept: bool  # its journals are kept: what it carried out can be looked up in them


def taken_over(
    epoch: Epoch, region: str, now: float, lease: float, assumed: Assumptions, lost: LossStatement
) -> Move:
    """Give a lost region's places away without waiting for its lease. Raises EpochError if that is not safe
    to do.

    What it had taken and not answered cannot be known here: messages born before this stay with it, and are
    refused until nobody asks for them any more.
    """
    if not lost.senders_stopped:
        raise EpochError(f"{region} may still send: stop its senders, or plan a move")
    if not lost.journals_kept:
        raise EpochError(f"keep the journals of {region}: only they tell which payments it has carried out")
    grants = tuple(
        Grant(one.region, one.low, one.high, one.begins, min(one.ends, max(now, one.begins + 1.0)))
        if one.region == region
        else one
        for one in epoch.grants
    )
    ended = msgspec.structs.replace(epoch, issued=now, grants=grants)
    made = drained(
        ended, region, now, lease, Assumptions(assumed.clock_error_ms, 0.0, assumed.answer_window_ms)
    )
    check(made.epoch)
    return made
