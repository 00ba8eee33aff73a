"""From a file that an operator made to the epoch that is proposed: planned anew on what the log holds. Pure.

Leases in the log move on every few seconds, so an epoch that was planned beside it is always made from an
older state. Proposed as it is it would cut leases short, and the machine refuses that. So what the file says
counts as the desired epoch: which places go to whom, with which pause; what is proposed is planned from what
is there now.
"""

from __future__ import annotations

from dataclasses import replace

import msgspec

from brassweir.regions import planning
from brassweir.regions.epochs import Epoch, EpochError, Grant, check
from brassweir.regions.ownership import Assumptions
from brassweir.regions.planning import LossStatement
from brassweir.regions.sources import Source, publisher

FIRST_EPOCH_MAX_AGE_MS = 3_600_000.0


def check_recent(first: Epoch, now: float) -> None:
    """Raise EpochError if a log's first epoch is too old to be proposed without an operator's word."""
    if now - first.issued > FIRST_EPOCH_MAX_AGE_MS:
        raise EpochError(
            "it was made over an hour ago: a group founded with it may have moved places since. "
            "If none of it is left, SIGHUP proposes it"
        )


def reconciled(
    desired: Epoch, there: Epoch | None, now: float, lease: float, assumed: Assumptions
) -> tuple[Epoch, str] | None:
    """The epoch to propose, and the region that it states as lost ("" for none); None if there is nothing to
    do. Raises EpochError with the reason where the desired epoch does not follow."""
    check(desired)
    if there is None or publisher(there) is not Source.AGREED:
        if publisher(desired) is not Source.AGREED:
            raise EpochError(
                f"epoch {desired.number} is the file's to publish (turn {desired.turn}): hand over first"
            )
        return desired, ""
    if desired.number <= there.number:
        return None
    if desired.number != there.number + 1:
        raise EpochError(f"epoch {desired.number} does not follow {there.number}, which the log holds")
    if desired.turn != there.turn:
        return _handed(desired, there, now), ""
    lost = _lost(desired, there)
    if lost:
        move = planning.taken_over(there, lost, now, lease, assumed, LossStatement(True, True))
        return move.epoch, lost
    return _moved(desired, there, now, lease, _pausing(desired, assumed)), ""


def _handed(desired: Epoch, there: Epoch, now: float) -> Epoch:
    if desired.turn != there.turn + 1:
        raise EpochError(f"epoch {desired.number} is of turn {desired.turn}, and {there.turn} is reached")
    if _owners(desired) != _owners(there):
        raise EpochError(f"epoch {desired.number} hands over and changes grants: it may do one only")
    return planning.handed_over(there, now)


def _owners(epoch: Epoch) -> list[tuple[str, int, int]]:
    return [(one.region, one.low, one.high) for one in sorted(epoch.grants, key=lambda one: one.low)]


def _lost(desired: Epoch, there: Epoch) -> str:
    """The region that was taken over from, by an operator's statement: what it held ends when it was made."""
    holders = {one.region for one in there.grants}
    gone = holders - {one.region for one in desired.grants}
    cut = {one.region for one in desired.past if one.ends == desired.issued}
    return next(iter(sorted(gone & cut)), "")


def _pausing(desired: Epoch, assumed: Assumptions) -> Assumptions:
    """What the operator assumed shows in the pause of the move; the longer one counts."""
    pauses = [
        one.begins - max(before.ends, desired.issued)
        for one in desired.grants
        for before in desired.past
        if one.region != before.region
        and before.low < one.high
        and one.low < before.high
        and one.begins > desired.issued
    ]
    shown = min(pauses, default=0.0) - 2.0 * assumed.clock_error_ms
    return replace(assumed, max_deadline_ms=max(assumed.max_deadline_ms, shown))


def _moved(desired: Epoch, there: Epoch, now: float, lease: float, assumed: Assumptions) -> Epoch:
    """Every piece that has another owner in the desired epoch is moved, all in one epoch."""
    made = there
    for one in desired.grants:
        if any(other.region != one.region for other in _within(there, one)):
            made = planning.moved(made, one.low, one.high, one.region, now, lease, assumed).epoch
    if _owners(_joined(made)) == _owners(_joined(there)):
        raise EpochError(f"epoch {desired.number} changes no owner: renewals are the leader's")
    return msgspec.structs.replace(made, number=there.number + 1)


def _within(epoch: Epoch, grant: Grant) -> list[Grant]:
    return [one for one in epoch.grants if one.low < grant.high and grant.low < one.high]


def _joined(epoch: Epoch) -> Epoch:
    """Neighbours of one owner as one: for comparing who owns what, not for publishing."""
    out: list[Grant] = []
    for one in sorted(epoch.grants, key=lambda one: one.low):
        if out and out[-1].region == one.region:
            out[-1] = msgspec.structs.replace(out[-1], high=one.high)
        else:
            out.append(one)
    return msgspec.structs.replace(epoch, grants=tuple(out))
