"""Hand-overs between the two sources of epochs, leases that may not be cut short, and retention of past grants."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.regions import planning
from brassweir.regions.epochs import (
    KEEP_PAST_MS,
    PLACES,
    Epoch,
    EpochError,
    check_follows,
    check_succeeds,
    parse,
)
from brassweir.regions.ownership import Ownership
from brassweir.regions.planning import LossStatement
from brassweir.regions.sources import Source, check_source, publisher
from tests.regions.samples import ASSUMED, EAST, LEASE, refusal_reason, sample_epoch

FILE, AGREED = Source.FILE, Source.AGREED


def accept(source: Source, ownership: Ownership, epoch: Epoch) -> bool:
    """Offer an epoch of a source as a copy does; returns whether it was accepted."""
    try:
        check_source(source, epoch, ownership.epoch)
        return ownership.accept(epoch)
    except EpochError:
        return False


def test_an_epoch_of_turn_0_is_encoded_without_the_field() -> None:
    assert (
        b"turn" not in msgspec.json.encode(sample_epoch())
        and parse(msgspec.json.encode(sample_epoch())).turn == 0
    )
    with pytest.raises(EpochError, match="turn"):
        parse(msgspec.json.encode(msgspec.structs.replace(sample_epoch(), turn=-1)))


def test_planning_keeps_the_turn() -> None:
    epoch = msgspec.structs.replace(planning.first_epoch({"e": "e", "w": "w"}, 0.0, LEASE), turn=3)
    epochs = [
        planning.renewed(epoch, 1.0, LEASE, ASSUMED),
        planning.moved(epoch, 0, 9, "w", 1.0, LEASE, ASSUMED).epoch,
        planning.drained(epoch, "e", 1.0, LEASE, ASSUMED).epoch,
        planning.taken_over(epoch, "e", 1.0, LEASE, ASSUMED, LossStatement(True, True)).epoch,
    ]
    assert [made.turn for made in epochs] == [3] * 4 and planning.handed_over(epoch, 1.0).turn == 4


def test_a_hand_over_is_the_last_epoch_of_its_source_and_changes_no_grant() -> None:
    own = Ownership("east", ASSUMED, sample_epoch())
    last = planning.handed_over(planning.renewed(sample_epoch(), 1_000.0, LEASE, ASSUMED), 1_000.0)
    assert not accept(FILE, own, last), "a hand-over after an unknown renewal would also change grants"
    assert accept(FILE, own, planning.renewed(sample_epoch(), 1_000.0, LEASE, ASSUMED)) and accept(
        FILE, own, last
    )
    assert publisher(last) is AGREED
    later = planning.renewed(msgspec.structs.replace(last, turn=0), 2_000.0, LEASE, ASSUMED)
    assert not accept(FILE, own, msgspec.structs.replace(later, number=9)), (
        "the file went on publishing after the hand-over"
    )
    assert not accept(FILE, own, planning.renewed(last, 2_000.0, LEASE, ASSUMED))
    assert accept(AGREED, own, planning.renewed(last, 2_000.0, LEASE, ASSUMED))
    back = planning.handed_over(own.epoch or sample_epoch(), 3_000.0)
    assert accept(AGREED, own, back) and not accept(
        AGREED, own, planning.renewed(back, 4_000.0, LEASE, ASSUMED)
    )
    assert accept(FILE, own, planning.renewed(back, 4_000.0, LEASE, ASSUMED))


def test_a_copy_that_missed_the_hand_over_accepts_the_new_source_only_in_its_turn() -> None:
    own = Ownership("east", ASSUMED, sample_epoch())
    assert not accept(AGREED, own, planning.renewed(sample_epoch(), 1_000.0, LEASE, ASSUMED)), (
        "the file publishes"
    )
    last = planning.handed_over(sample_epoch(), 1_000.0)
    assert accept(AGREED, own, planning.renewed(last, 2_000.0, LEASE, ASSUMED))


Event = tuple[str, int, int]
Acceptance = tuple[int, Source, Epoch, Epoch]  # copy, source, epoch known before, epoch accepted
events = st.lists(
    st.tuples(
        st.sampled_from(["renew", "renew", "hand", "deliver", "deliver", "deliver", "switch", "fork"]),
        st.integers(0, 99),
        st.integers(0, 99),
    ),
    max_size=60,
)


def play(script: list[Event]) -> list[Acceptance]:
    """Run one history of epochs with three copies that read any part of it from either source.

    On "fork", the file continues from an epoch before its hand-over. Returns what was accepted.
    """
    history, now, tape = [(FILE, sample_epoch())], 0.0, list[Acceptance]()
    copies, setting = [Ownership("east", ASSUMED, sample_epoch()) for _ in range(3)], [FILE] * 3
    for action, a, b in script:
        now += 500.0
        last = history[-1][1]
        if action == "renew":
            history.append((publisher(last), planning.renewed(last, now, LEASE, ASSUMED)))
        elif action == "hand":
            history.append((publisher(last), planning.handed_over(last, now)))
        elif action == "fork":
            older = next(one for _, one in reversed(history) if publisher(one) is FILE)
            history.insert(
                0,
                (
                    FILE,
                    msgspec.structs.replace(
                        planning.renewed(older, now, LEASE, ASSUMED), number=last.number + 1
                    ),
                ),
            )
        elif action == "switch":
            setting[b % 3] = AGREED if setting[b % 3] is FILE else FILE
        elif action == "deliver":
            own, source = copies[b % 3], setting[b % 3]
            published = [epoch for origin, epoch in history if origin is source]
            before = own.epoch
            if (
                published
                and before is not None
                and accept(source, own, published[a % len(published)])
                and own.epoch is not None
            ):
                tape.append((b % 3, source, before, own.epoch))
    return tape


def broken(tape: list[Acceptance]) -> list[str]:
    """Violations on the tape: a turn that decreased, or an epoch from a source that may not publish it."""
    violations = []
    for copy, source, before, after in tape:
        if after.turn < before.turn:
            violations.append(f"copy {copy} went back from turn {before.turn} to {after.turn}")
        if publisher(after) is not source and (
            after.turn != before.turn + 1 or after.grants != before.grants
        ):
            violations.append(
                f"copy {copy} took by the {source.value} what is not its to publish: {after.number}"
            )
    return violations


@given(events)
@settings(max_examples=200, deadline=None)
def test_no_copy_follows_both_sources_at_one_turn(script: list[Event]) -> None:
    assert not broken(play(script))


def test_without_the_check_of_turns_both_sources_are_followed(monkeypatch: pytest.MonkeyPatch) -> None:
    script: list[Event] = [
        ("hand", 0, 0),
        ("renew", 0, 0),
        ("switch", 0, 0),
        ("deliver", 0, 0),
        ("switch", 0, 0),
        ("fork", 0, 0),
        ("renew", 0, 0),
        ("deliver", 0, 0),
    ]
    assert play(script) and not broken(play(script))
    monkeypatch.setattr(f"{__name__}.check_source", lambda *_: None)
    monkeypatch.setattr("brassweir.regions.ownership.check_follows", lambda *_: None)
    assert any("went back" in one for one in broken(play(script)))
    taken_early = planning.renewed(planning.handed_over(sample_epoch(), 1.0), 2.0, LEASE, ASSUMED)
    assert "not its to publish" in broken([(0, FILE, sample_epoch(), taken_early)])[0]


def test_the_log_rejects_a_move_planned_from_an_older_epoch() -> None:
    """A move planned from the lease before the last renewal: check_follows allows it, check_succeeds must not."""
    renewed = planning.renewed(sample_epoch(), 20_000.0, LEASE, ASSUMED)
    stale = planning.moved(sample_epoch(), 0, PLACES // 2, "west", 10_000.0, LEASE, ASSUMED).epoch
    check_follows(stale, renewed)  # a single publisher never issues it
    east, west = Ownership("east", ASSUMED, renewed), Ownership("west", ASSUMED, stale)
    begins = stale.grants[0].begins
    overlap = [
        at
        for at in range(int(begins), int(begins) + 20_000, 250)
        if refusal_reason(east, EAST, at) is None
        and refusal_reason(west, EAST, at, born=begins + 500.0) is None
    ]
    assert overlap, "two owners at once: check_follows is not enough"
    with pytest.raises(EpochError, match="cuts short what east holds"):
        check_succeeds(stale, renewed)
    check_succeeds(planning.moved(renewed, 0, PLACES // 2, "west", 21_000.0, LEASE, ASSUMED).epoch, renewed)


def test_only_a_lost_region_s_grants_may_be_cut_short() -> None:
    taken = planning.taken_over(
        sample_epoch(), "east", 1_000.0, LEASE, ASSUMED, LossStatement(True, True)
    ).epoch
    check_succeeds(taken, sample_epoch(), "east")
    for lost in ("", "west"):
        with pytest.raises(EpochError, match="cuts short"):
            check_succeeds(taken, sample_epoch(), lost)


def test_past_grants_are_retained_longer_than_a_clock_may_be_wrong_by() -> None:
    moved = planning.moved(sample_epoch(), 0, 9, "west", 1_000.0, LEASE, ASSUMED).epoch
    span = ASSUMED.max_deadline_ms + ASSUMED.answer_window_ms + 4 * ASSUMED.clock_error_ms
    over = moved.past[0].ends + span
    assert planning.renewed(moved, over + KEEP_PAST_MS - 1.0, LEASE, ASSUMED).past == moved.past
    gone = planning.renewed(moved, over + KEEP_PAST_MS, LEASE, ASSUMED)
    assert not gone.past
    check_succeeds(gone, moved)
    with pytest.raises(EpochError, match="forgets too early that east"):
        check_succeeds(
            msgspec.structs.replace(planning.renewed(moved, 60_000.0, LEASE, ASSUMED), past=()), moved
        )
