"""Plans the epoch to propose from a file that an operator made, based on the epoch in the log. Pure.

Leases in the log are renewed every few seconds, so an epoch that was planned in a file is always made from an
older state. Proposed unchanged, it would cut leases short, which the machine refuses. So the file states the
desired epoch: which places go to whom, with which pause; the proposal is planned from the current one.
"""

from __future__ import annotations

from dataclasses import replace

import msgspec

from brassweir.regions import planning
from brassweir.regions.epochs import Epoch, EpochError, Grant, check
from brassweir.regions.ownership import Assumptions
from brassweir.regions.planning import LossStatement
from brassweir.regions.sources import Source, publisher

FIRST_EPOCH_MAX_AGE_MS = 3_600_000.0  # an older one may be of a group that was lost after places moved


def check_recent(first: Epoch, now: float) -> None:
    """Raise EpochError if a log's first epoch is too old to be proposed without an operator's request."""
    if now - first.issued > FIRST_EPOCH_MAX_AGE_MS:
        raise EpochError(
            "it was made over an hour ago: a group founded with it may have moved places since. "
            "If none of it is left, SIGHUP proposes it"
        )


def reconciled(
    desired: Epoch, current: Epoch | None, now: float, lease: float, assumed: Assumptions
) -> tuple[Epoch, str] | None:
    """The epoch to propose, and the region that it states as lost ("" for none); None for nothing to do.

    Raises EpochError with the reason if the desired epoch does not follow the current one.
    """
    check(desired)
    if current is None or publisher(current) is not Source.AGREED:
        if publisher(desired) is not Source.AGREED:
            raise EpochError(
                f"epoch {desired.number} is the file's to publish (turn {desired.turn}): hand over first"
            )
        return desired, ""
    if desired.number <= current.number:
        return None
    if desired.number != current.number + 1:
        raise EpochError(f"epoch {desired.number} does not follow {current.number}, which the log holds")
    if desired.turn != current.turn:
        return _handed(desired, current, now), ""
    lost = _lost(desired, current)
    if lost:
        move = planning.taken_over(current, lost, now, lease, assumed, LossStatement(True, True))
        return move.epoch, lost
    return _moved(desired, current, now, lease, _pausing(desired, assumed)), ""


def _handed(desired: Epoch, current: Epoch, now: float) -> Epoch:
    if desired.turn != current.turn + 1:
        raise EpochError(f"epoch {desired.number} is of turn {desired.turn}, and {current.turn} is reached")
    if _owners(desired) != _owners(current):
        raise EpochError(f"epoch {desired.number} hands over and changes grants: it may do one only")
    return planning.handed_over(current, now)


def _owners(epoch: Epoch) -> list[tuple[str, int, int]]:
    return [
        (grant.region, grant.low, grant.high) for grant in sorted(epoch.grants, key=lambda grant: grant.low)
    ]


def _lost(desired: Epoch, current: Epoch) -> str:
    """The region that an operator states as lost: what it held ends when the desired epoch was made."""
    holders = {grant.region for grant in current.grants}
    gone = holders - {grant.region for grant in desired.grants}
    ended = {grant.region for grant in desired.past if grant.ends == desired.issued}
    return next(iter(sorted(gone & ended)), "")


def _pausing(desired: Epoch, assumed: Assumptions) -> Assumptions:
    """The assumptions, with the pause that the operator's moves have if that is longer."""
    pauses = [
        grant.begins - max(earlier.ends, desired.issued)
        for grant in desired.grants
        for earlier in desired.past
        if grant.region != earlier.region
        and earlier.low < grant.high
        and grant.low < earlier.high
        and grant.begins > desired.issued
    ]
    shown = min(pauses, default=0.0) - 2.0 * assumed.clock_error_ms
    return replace(assumed, max_deadline_ms=max(assumed.max_deadline_ms, shown))


def _moved(desired: Epoch, current: Epoch, now: float, lease: float, assumed: Assumptions) -> Epoch:
    """Move every range that has another owner in the desired epoch, all in one epoch."""
    epoch = current
    for grant in desired.grants:
        if any(other.region != grant.region for other in _within(current, grant)):
            epoch = planning.moved(epoch, grant.low, grant.high, grant.region, now, lease, assumed).epoch
    if _owners(_joined(epoch)) == _owners(_joined(current)):
        raise EpochError(f"epoch {desired.number} changes no owner: renewals are the leader's")
    return msgspec.structs.replace(epoch, number=current.number + 1)


def _within(epoch: Epoch, grant: Grant) -> list[Grant]:
    return [other for other in epoch.grants if other.low < grant.high and grant.low < other.high]


def _joined(epoch: Epoch) -> Epoch:
    """Join neighbouring grants of one owner: for comparing owners, not for publishing."""
    grants: list[Grant] = []
    for grant in sorted(epoch.grants, key=lambda grant: grant.low):
        if grants and grants[-1].region == grant.region:
            grants[-1] = msgspec.structs.replace(grants[-1], high=grant.high)
        else:
            grants.append(grant)
    return msgspec.structs.replace(epoch, grants=tuple(grants))
