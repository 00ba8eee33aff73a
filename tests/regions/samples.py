"""Sample regions, epochs and messages, and a move that omits its wait."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from brassweir.interface import Effect
from brassweir.regions import planning
from brassweir.regions.epochs import PLACES, Epoch, place
from brassweir.regions.ownership import Assumptions, Ownership, Reason

URLS = {"east": "http://east/as2", "west": "http://west/as2"}
ASSUMED = Assumptions(clock_error_ms=200.0, max_deadline_ms=8_000.0, answer_window_ms=60_000.0)
LEASE = 30_000.0


def sample_epoch(now: float = 0.0) -> Epoch:
    return planning.first_epoch(URLS, now, LEASE)


def identity_in(low: int, high: int) -> str:
    return next(f"m{i}" for i in range(10_000) if low <= place("c", f"m{i}") < high)


EAST, WEST = identity_in(0, PLACES // 2), identity_in(PLACES // 2, PLACES)


def refusal_reason(
    ownership: Ownership, name: str, wall: float, born: float | None = None, effect: Effect = Effect.UNSAFE
) -> Reason | None:
    refusal = ownership.refusal(effect, "c", name, wall, born)
    return None if refusal is None else refusal.reason


REGIONS = {"east": "e", "west": "w", "south": "s"}


Mover = Callable[[Epoch, int, int, str, float, float, Assumptions], planning.Move]


def without_wait(planner: Mover) -> Mover:
    """A planner whose moves do not wait for the old owner's grant to end."""

    def moved(
        epoch: Epoch, low: int, high: int, to: str, now: float, lease: float, assumed: Assumptions
    ) -> planning.Move:
        move = planner(epoch, low, high, to, now, lease, assumed)
        grants = tuple(
            msgspec.structs.replace(grant, begins=now) if grant.begins > now else grant
            for grant in move.epoch.grants
        )
        past = tuple(msgspec.structs.replace(grant, ends=min(grant.ends, now)) for grant in move.epoch.past)
        return planning.Move(msgspec.structs.replace(move.epoch, grants=grants, past=past), 0.0)

    return moved
