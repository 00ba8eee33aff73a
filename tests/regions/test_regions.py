"""Ownership: an unsafe or keyed message is accepted in one region only, also with stale epochs and skewed clocks."""

from __future__ import annotations

import msgspec
import pytest

from brassweir.interface import Effect
from brassweir.regions import planning
from brassweir.regions.epochs import PLACES, EpochError, Grant, check, check_follows, parse
from brassweir.regions.ownership import Ownership, Reason
from brassweir.regions.planning import LossStatement
from tests.regions.samples import (
    ASSUMED,
    EAST,
    LEASE,
    URLS,
    WEST,
    identity_in,
    refusal_reason,
    sample_epoch,
)


def test_each_place_has_one_owner_and_others_refer_to_it() -> None:
    east, west = Ownership("east", ASSUMED, sample_epoch()), Ownership("west", ASSUMED, sample_epoch())
    assert refusal_reason(east, EAST, 1000.0) is None and refusal_reason(west, WEST, 1000.0) is None
    away = west.refusal(Effect.KEYED, "c", EAST, 1000.0)
    assert (
        away is not None
        and (away.reason, away.region) == (Reason.ELSEWHERE, "east")
        and west.url("east") == "http://east/as2"
    )
    assert refusal_reason(west, EAST, 1000.0, effect=Effect.SAFE) is None, "safe messages need no owner"


def test_a_region_without_renewals_stops_before_its_lease_ends() -> None:
    east = Ownership("east", ASSUMED, sample_epoch())
    assert refusal_reason(east, EAST, LEASE - 300.0) is None
    assert (
        refusal_reason(east, EAST, LEASE - 200.0) is Reason.LAPSED
        and refusal_reason(east, EAST, 1e9) is Reason.LAPSED
    )
    assert refusal_reason(east, EAST, 1e9, effect=Effect.SAFE) is None, "safe classes never pause"
    assert east.accept(planning.renewed(sample_epoch(), 20_000.0, LEASE, ASSUMED))
    assert refusal_reason(east, EAST, LEASE + 100.0) is None
    assert refusal_reason(Ownership("east", ASSUMED), EAST, 1.0) is Reason.UNKNOWN


def test_a_move_begins_after_the_old_owner_s_last_attempt_on_any_clock() -> None:
    move = planning.moved(sample_epoch(), 0, PLACES // 2, "west", 5_000.0, LEASE, ASSUMED)
    east, west = Ownership("east", ASSUMED, sample_epoch()), Ownership("west", ASSUMED, move.epoch)
    begins = move.epoch.grants[0].begins
    assert begins >= LEASE + ASSUMED.max_deadline_ms + 2 * ASSUMED.clock_error_ms and move.pause_ms > 0
    assert refusal_reason(east, EAST, 10_000.0) is None, (
        "it does not know of the move, and continues within its lease"
    )
    assert refusal_reason(west, EAST, begins + 100.0) is Reason.MOVING
    assert east.accept(move.epoch) and refusal_reason(east, EAST, 10_000.0) is Reason.ELSEWHERE
    # Created before the new owner began: the old one may have delivered it.
    assert refusal_reason(west, EAST, begins + 500.0) is Reason.BORN_ELSEWHERE
    assert refusal_reason(west, EAST, begins + 500.0, born=20_000.0) is Reason.BORN_ELSEWHERE
    assert refusal_reason(west, EAST, begins + 500.0, born=LEASE + 2 * ASSUMED.clock_error_ms) is None
    assert refusal_reason(west, EAST, begins + 500.0, born=begins + 5_000.0) is Reason.BORN_ELSEWHERE, (
        "a creation time in the future is not believed"
    )
    later = planning.renewed(move.epoch, begins, 1e6, ASSUMED)
    assert (
        west.accept(later)
        and refusal_reason(west, EAST, LEASE + ASSUMED.max_deadline_ms + ASSUMED.answer_window_ms + 500.0)
        is None
    )


def test_a_clock_that_steps_or_is_behind_is_not_trusted() -> None:
    east = Ownership("east", ASSUMED, sample_epoch())
    east.check_clocks(1_000.0, 50.0)
    east.check_clocks(1_150.0, 100.0)
    assert refusal_reason(east, EAST, 1_150.0) is None
    east.check_clocks(5_000.0, 150.0)
    east.check_clocks(1_250.0, 200.0)
    assert refusal_reason(east, EAST, 1_250.0) is Reason.CLOCK, (
        "a clock that steps back to the right time stays untrusted"
    )
    behind = Ownership("east", ASSUMED, planning.renewed(sample_epoch(), 20_000.0, LEASE, ASSUMED))
    assert (
        refusal_reason(behind, EAST, 19_000.0) is Reason.CLOCK
        and refusal_reason(behind, EAST, 19_700.0) is None
    )


def test_older_and_contradicting_epochs_are_rejected() -> None:
    old = sample_epoch()
    new = planning.moved(old, 0, 1000, "west", 1_000.0, LEASE, ASSUMED).epoch
    own = Ownership("east", ASSUMED, new)
    with pytest.raises(EpochError, match="epoch 1 comes after 2"):
        own.accept(old)
    assert own.epoch == new and not own.accept(new)
    with pytest.raises(EpochError, match="was issued before"):
        own.accept(msgspec.structs.replace(new, issued=500.0))
    contradicting = msgspec.structs.replace(
        old, number=2, issued=1_000.0, grants=(Grant("west", 0, PLACES, 1_000.0, 90_000.0),)
    )
    with pytest.raises(EpochError, match="gives places from 0 to west while epoch 1 leaves them to east"):
        check_follows(contradicting, old)


@pytest.mark.parametrize(
    ("change", "text"),
    [
        ({"grants": ()}, "from 0 on have no owner"),
        ({"regions": ()}, "regions: none"),
        ({"grants": (Grant("east", 0, PLACES, 5.0, 5.0),)}, "ends before it begins"),
        ({"grants": (Grant("north", 0, PLACES, 0.0, 5.0),)}, "no region here"),
        (
            {"grants": (Grant("east", 0, 10, 0.0, 5.0), Grant("west", 11, PLACES, 0.0, 5.0))},
            "places 10 to 11 have no owner or two",
        ),
        (
            {"grants": (Grant("east", 0, 10, 0.0, 5.0), Grant("west", 9, PLACES, 0.0, 5.0))},
            "places 9 to 10 have no owner or two",
        ),
        ({"past": (Grant("west", 5, 10, 0.0, 500.0),)}, "place 5: "),
    ],
)
def test_invalid_epochs(change: dict[str, object], text: str) -> None:
    with pytest.raises(EpochError, match=text):
        check(msgspec.structs.replace(sample_epoch(), **change))
    with pytest.raises(EpochError, match=text):
        parse(msgspec.json.encode(msgspec.structs.replace(sample_epoch(), **change)))


@pytest.mark.parametrize(
    "data", [b"", b"{}", b"[]", b"\xff", b'{"number":1,"issued":0,"grants":[],"regions":[],"colour":1}']
)
def test_bytes_that_are_no_epoch(data: bytes) -> None:
    with pytest.raises(EpochError):
        parse(data)


def test_a_region_is_drained_and_a_lost_one_taken_over_only_if_safe() -> None:
    epoch = planning.first_epoch({**URLS, "south": "http://south"}, 0.0, LEASE)
    move = planning.drained(epoch, "east", 1_000.0, LEASE, ASSUMED)
    assert {one.region for one in move.epoch.grants} == {"west", "south"} and move.epoch.number == 2
    check_follows(move.epoch, epoch)
    for stated, text in (
        (LossStatement(False, True), "may still send"),
        (LossStatement(True, False), "keep the journals"),
    ):
        with pytest.raises(EpochError, match=text):
            planning.taken_over(epoch, "east", 1_000.0, LEASE, ASSUMED, stated)
    taken = planning.taken_over(epoch, "east", 1_000.0, LEASE, ASSUMED, LossStatement(True, True))
    assert taken.pause_ms < move.pause_ms and all(one.region != "east" for one in taken.epoch.grants)
    west = Ownership("west", ASSUMED, taken.epoch)
    grant = next(one for one in taken.epoch.grants if one.region == "west" and one.begins > 0.0)
    name = identity_in(grant.low, grant.high)
    assert refusal_reason(west, name, grant.begins + 300.0) is Reason.BORN_ELSEWHERE, (
        "what the lost region may have delivered is not repeated"
    )
    assert refusal_reason(west, name, grant.begins + 300.0, born=grant.begins) is None
    with pytest.raises(EpochError, match="no other region"):
        planning.drained(planning.first_epoch({"east": "u"}, 0.0, LEASE), "east", 0.0, LEASE, ASSUMED)
