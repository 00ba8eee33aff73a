"""The journal: crashes at storage steps, barriers left out, bad disks, damage, and the plan of a restart."""

from __future__ import annotations

import errno

from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir import interface as api
from brassweir.control import Sender
from brassweir.core.ports import Fact
from brassweir.interface import Effect, Result
from brassweir.journal import compact, durability, frame, records, recover, store
from brassweir.journal.frame import Damage, FormatError, Found
from brassweir.journal.life import Lives
from brassweir.journal.records import Began, Ended, Final, Intent, Taken, Told, Whole
from brassweir.journal.recover import Hole
from brassweir.journal.scan import scan, segment_name
from brassweir.journal.sizes import within
from brassweir.journal.storage import Files, Locked
from brassweir.journal.writer import Broken, Writer
from brassweir.lab import crash
from brassweir.lab.crash import BY_NAME, Run, Script, steps_of, sweep
from brassweir.lab.disk import MODES, SimStorage

SEED, COUNT = 1, 24
TOTAL = steps_of(Script.draw(SEED, COUNT, 2500.0), SEED)


def taken(ident: int, cls: str = "pay", deadline: float = 6000.0, **more: object) -> Taken:
    return Taken(ident, "o", f"m{ident}", cls, "1", "k", deadline, "a/b", "s", b"content", **more)  # type: ignore[arg-type]


# ---- crashes


@pytest.mark.parametrize("mode", MODES)
def test_a_crash_at_any_step_loses_doubles_and_retells_nothing(mode: str) -> None:
    found = sweep(SEED, COUNT, [mode], range(1 + MODES.index(mode), TOTAL + 1, 5))
    assert not found.problems and found.points > 30 and found.crashes >= found.points - 1


def test_a_crash_loop_that_falls_into_its_own_recoveries() -> None:
    found = sweep(2, COUNT, MODES, range(3, TOTAL + 1, 23), loops=10)
    assert not found.problems and found.crashes > 3 * found.points


@pytest.mark.parametrize(("fact", "words"), [
    (Fact.INTENT, "was sent again"), (Fact.FINAL, "was told"), (Fact.TAKEN, "was accepted and never had an answer")])
def test_a_barrier_left_out_is_caught(monkeypatch: pytest.MonkeyPatch, fact: Fact, words: str) -> None:
    monkeypatch.setattr(store, "waits", lambda one, effect: one is not fact and durability.waits(one, effect))
    problems: list[str] = []
    for seed in (1, 2):
        problems += sweep(seed, 30, ["lost"], range(1, TOTAL + 1, 2)).problems
    assert any(words in one for one in problems)


def test_a_recovery_that_forgets_open_messages_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(recover, "_open", lambda *_: None)
    problems = sweep(1, 30, ["lost"], range(1, TOTAL + 1, 4)).problems
    assert any("was accepted and never had an answer" in one for one in problems)


def test_receipts_that_are_never_confirmed_are_brought_again_and_not_for_ever(monkeypatch: pytest.MonkeyPatch) -> None:
    """And a recovery that owes nothing leaves those who wait without their answer."""
    monkeypatch.setattr(crash, "CONFIRMED", 0.0)
    assert not sweep(SEED, COUNT, ["lost"], range(1, TOTAL + 1, 17)).problems
    monkeypatch.setattr(crash.Run, "_owing", lambda *_: lambda answer: None)
    assert any("accepted" in one for one in sweep(SEED, COUNT, ["lost"], range(1, TOTAL + 1, 17)).problems)


def test_a_disk_that_only_says_it_synced_is_caught() -> None:
    def lie(keeper: store.JournalStore) -> None:
        keeper.writer.storage.skip_sync = True  # type: ignore[attr-defined]

    assert sweep(SEED, COUNT, ["lost"], range(1, TOTAL + 1, 9), tamper=lie).problems


# ---- bad disks


def test_a_full_disk_refuses_the_new_and_ends_the_open() -> None:
    run = Run(Script.draw(SEED, COUNT, 2500.0), SEED, SimStorage())
    run.storage.room = (1 << 20) + 2600
    assert run.life(30_000.0) and not run.broken
    assert not run.check()
    answers = [run.world.answers[name][-1][1] for name in run.world.messages]
    refused = [answer for answer in answers if answer.reason == "there is no room to keep it"]
    assert refused and all(answer.retry_after > 0 for answer in refused)
    assert any(answer.answer.value == "delivered" for answer in answers)
    fresh = run.storage.after("lost", Random(1))
    fresh.room = None
    assert not scan(fresh).problems, "what was refused left no gap"


@pytest.mark.parametrize("step", range(8, 40, 7))
def test_a_failed_sync_stops_everything_and_nothing_goes_on_as_if_written(step: int) -> None:
    run = Run(Script.draw(SEED, COUNT, 2500.0), SEED, SimStorage())
    run.storage.bad_sync = step
    try:
        run.life(30_000.0)
    except Broken:
        pass
    assert run.broken or step < 4
    told = {name for name, got in run.world.answers.items() if got}
    run.storage = run.storage.after("lost", Random(1))
    run.now += 200.0
    assert run.life(60_000.0)
    assert not run.check() and told <= set(run.world.messages)


def test_other_errors_of_the_disk_are_not_taken_for_a_full_one() -> None:
    class Sick(SimStorage):
        def append(self, name: str, data: bytes) -> None:
            if self.step > 6:
                raise OSError(errno.EIO, "Input/output error")
            super().append(name, data)

    run = Run(Script.draw(SEED, COUNT, 2500.0), SEED, Sick())
    try:
        run.life(10_000.0)
    except Broken:
        pass
    assert run.broken and "Input/output error" in str(run.broken[0])


# ---- damage


def written(count: int = 6) -> SimStorage:
    disk = SimStorage()
    writer = Writer(disk, scan(disk))
    writer.open()
    for ident in range(1, count + 1):
        for record in (taken(ident), Intent(ident, 0, "e", 10.0 * ident), Ended(ident, 0, "e", "ok", 10.0 * ident + 5),
                       Final(ident, "delivered", "", 0.0, 10.0 * ident + 6)):
            writer.add(record, None)
            group = writer.take()
            assert group is not None
            writer.done(group, writer.commit(group))
    return disk


@settings(max_examples=80, deadline=None)
@given(st.integers(0, 4000), st.integers(1, 255))
def test_a_flipped_byte_is_named_and_the_rest_is_read(at: int, flip: int) -> None:
    disk = written()
    name = segment_name(1)
    data = bytearray(disk.read(name))
    at %= len(data)
    data[at] ^= flip
    disk.synced[name] = bytes(data)
    try:
        found = scan(disk)
    except FormatError:
        assert at < frame.HEADER
        return
    lost = [ident for ident in range(1, 7) if ident not in found.lives.by_id
            or found.lives.by_id[ident].final is None or found.lives.by_id[ident].taken is None]
    assert len(lost) <= 1 and found.records >= 23
    assert found.problems or found.torn or found.records == 24
    if found.problems:
        assert found.problems[0].startswith(f"{name}:")


def test_a_missing_segment_and_a_stale_one() -> None:
    disk = written()
    whole = disk.read(segment_name(1))
    cut = next(part.end for part in frame.read(whole) if isinstance(part, Found) and part.sequence == 8)
    disk.synced = {segment_name(1): whole[:cut], segment_name(4): frame.header(4, 17) + whole[cut:][: 0]}
    found = scan(disk)
    assert "segments 2 to 3 are missing" in found.problems[0] and found.holes[0].known == 2
    disk = written()
    lives = scan(disk).lives
    kept = list(compact.kept(lives, 100.0, 1e9))
    writer = Writer(disk, scan(disk))
    writer.open()
    writer.snapshot(kept, writer.close_segment())
    disk.synced[segment_name(1)] = whole  # back from the dead, as after a crash
    again = scan(disk)
    assert segment_name(1) in again.stale and not again.problems
    assert {ident: life.final for ident, life in again.lives.by_id.items()} == \
        {ident: life.final for ident, life in lives.by_id.items()}


def test_an_unfinished_snapshot_does_not_count() -> None:
    disk = written()
    data = frame.header(1, 0) + frame.frame(0, taken(99)) + frame.frame(1, Whole(5))
    disk.synced[segment_name(1, snapshot=True)] = data
    found = scan(disk)
    assert "is not whole" in found.problems[0] and 6 in found.lives.by_id


def test_a_later_format_is_refused_and_a_cut_tail_is_not_damage(tmp_path: Path) -> None:
    disk = written()
    name = segment_name(1)
    whole = disk.read(name)
    disk.synced[name] = whole[:-5]
    assert not scan(disk).problems and scan(disk).torn > 0
    disk.synced[name] = whole[:8] + b"\x63\x00" + whole[10:]
    with pytest.raises(FormatError, match="format 99"):
        scan(disk)


def test_one_process_at_a_time(tmp_path: Path) -> None:
    first = Files(tmp_path / "j")
    with pytest.raises(Locked):
        Files(tmp_path / "j")
    Files(tmp_path / "j", write=False).names()
    first.close()
    Files(tmp_path / "j").close()


def test_real_files_do_as_the_simulated_ones(tmp_path: Path) -> None:
    files = Files(tmp_path / "j")
    writer = Writer(files, scan(files))
    writer.open()
    for ident in (1, 2, 3):
        writer.add(taken(ident), None)
    writer.add(Final(1, "failed", "", 0.0, 5.0), None)
    group = writer.take()
    assert group is not None and writer.take() is None, "one group at a time"
    writer.done(group, writer.commit(group))
    writer.snapshot(list(compact.kept(writer.lives, 5.0, 1e9)), writer.close_segment())
    files.close()
    found = scan(Files(tmp_path / "j"))
    assert sorted(found.lives.by_id) == [1, 2, 3] and not found.problems and len(found.segments) == 2 and found.segments[0].endswith(".snap")


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=300))
def test_no_bytes_are_more_than_damage(data: bytes) -> None:
    covered = 0
    for part in frame.read(data, 0):
        assert isinstance(part, Damage) and part.at == covered
        covered = part.end
    assert covered == len(data)
    with pytest.raises(ValueError):
        records.decode(b"\xc1" + data)


# ---- the plan


def made(*all_records: records.Record, wall: float = 2000.0, holes: tuple[Hole, ...] = (), remember: float = 1e9,
         unknown: tuple[str, ...] = ()) -> recover.Plan:
    lives = Lives()
    for record in all_records:
        lives.apply(record)
    return recover.plan(lives, holes, BY_NAME, wall, remember, 100.0, unknown)


@pytest.mark.parametrize(("cls", "seen", "wall", "answer", "left"), [
    ("pay", [], 2000.0, "", 4000.0),
    ("pay", [Intent(1, 0, "e", 500.0)], 2000.0, "failed", 0.0),
    ("pay", [Intent(1, 0, "e", 500.0), Ended(1, 0, "e", "full", 600.0)], 2000.0, "", 4000.0),
    ("pay", [Intent(1, 0, "e", 500.0), Ended(1, 0, "e", "no_connection", 600.0)], 2000.0, "", 4000.0),
    ("pay", [Intent(1, 0, "e", 500.0), Ended(1, 0, "e", "timeout", 600.0)], 2000.0, "failed", 0.0),
    ("pay", [], 6001.0, "refused", 0.0),
    ("key", [Intent(1, 0, "e", 500.0)], 2000.0, "", 2500.0),
    ("key", [Intent(1, 0, "e", 500.0)], 4501.0, "failed", 0.0),
    ("key", [Intent(1, 0, "e", 500.0)], 400.0, "", 4000.0),  # the clock stepped back: no window grows by it
    ("safe", [Intent(1, 0, "e", 500.0)], 2000.0, "", 4000.0),
    ("safe", [Intent(1, 0, "e", 500.0)], 7000.0, "refused", 0.0),
    ("gone", [], 2000.0, "refused", 0.0),
    ("gone", [Intent(1, 0, "e", 500.0)], 2000.0, "failed", 0.0),
])
def test_what_becomes_of_an_open_message(cls: str, seen: list[records.Record], wall: float, answer: str, left: float) -> None:
    plan = made(taken(1, cls), *seen, wall=wall)
    if answer:
        assert [one.final.answer for one in plan.answered] == [answer] and plan.answered[0].fresh
        assert not plan.again
    else:
        assert [one.left for one in plan.again] == [left] and not plan.answered


def test_answers_are_remembered_for_their_time_and_receipts_until_told() -> None:
    final = Final(1, "delivered", "", 0.0, 1000.0)
    assert made(taken(1), final, wall=1500.0, remember=1000.0).answered[0].ago == 500.0
    assert not made(taken(1), final, wall=2500.0, remember=1000.0).answered
    owed = made(taken(1, reply=b"x"), final, wall=9e9, remember=1000.0).answered
    assert owed[0].owed and not owed[0].fresh
    assert not made(taken(1, reply=b"x"), final, Told(1), wall=9e9, remember=1000.0).answered


def test_of_a_message_handed_in_again_only_the_last_life_counts() -> None:
    again = Taken(2, "o", "m1", "pay", "1", "k", 6000.0, "a/b", "s", b"content", b"reply")
    plan = made(taken(1, reply=b"reply"), Final(1, "refused", "", 0.0, 100.0), again, Final(2, "delivered", "", 0.0, 200.0))
    assert [(one.taken.id, one.final.answer) for one in plan.answered] == [(2, "delivered")]
    plan = made(taken(1, reply=b"reply"), Final(1, "refused", "", 0.0, 100.0), again)
    assert not plan.answered and [one.taken.id for one in plan.again] == [2]


def test_what_a_hole_hides_counts_as_may_have_run() -> None:
    hole = Hole("x", known=1)
    plan = made(taken(1), taken(2), holes=(hole,))
    assert [one.final.answer for one in plan.answered] == ["failed"]
    assert [one.taken.id for one in plan.again] == [2], "one taken after the hole is not in doubt"
    assert made(taken(1, "safe"), holes=(hole,)).again


def test_keys_rest_if_one_was_out_and_destinations_may_be_gone() -> None:
    assert made(taken(1, "key"), Intent(1, 0, "e", 500.0)).pause == 100.0
    assert made(taken(1, "key")).pause == 0.0
    assert made(taken(1), unknown=("1",)).answered[0].final.answer == "refused"


def test_the_module_heeds_what_was_told_before_the_restart() -> None:
    plan = made(*(Ended(i, 0, "e", "reset", 1000.0 + i) for i in range(1, 4)), Ended(9, 0, "w", "full", 1500.0, 2000.0),
                Began(1600.0, "s"), Ended(10, 0, "w", "ok", 1700.0))
    assert [(one.endpoint, one.result, one.ago, one.wait) for one in plan.past][-1] == ("w", Result.FULL, 500.0, 2000.0)
    sets = api.Settings(classes=tuple(BY_NAME.values()), slots=4, max_open=40, max_retry_after=2000.0)
    sender = Sender(sets, 1, 0.0)
    entries = (api.EndpointInfo("e", 1, ""), api.EndpointInfo("w", 2, ""), api.EndpointInfo("n", 3, ""))
    news = [api.NewMessage(i, "safe", i, 5000.0) for i in (1, 2, 3)]
    actions = sender.handle(0.0, [api.ListNews(api.ListKind.FULL, entries), *plan.past, *news])
    assert [one.endpoint for one in actions if isinstance(one, api.Send)] == ["n"], "one shut, one told to wait"
    sent: list[float] = []
    for now in range(100, 5000, 100):
        actions = sender.handle(float(now), [api.TimerDue()])
        sent += [float(now) for one in actions if isinstance(one, api.Send) and one.endpoint == "w"]
    assert sent and 1500.0 < sent[0] < 5000.0, "its wait ran on while we were down, and is over now"


def test_a_snapshot_keeps_what_matters_and_no_content_of_the_ended() -> None:
    lives = Lives()
    for record in (taken(1), Intent(1, 0, "e", 5.0), Final(1, "failed", "", 0.0, 50.0), taken(2), taken(3),
                   Final(3, "delivered", "", 0.0, 10.0), taken(4, reply=b"r"), Final(4, "failed", "", 0.0, 10.0)):
        lives.apply(record)
    kept = list(compact.kept(lives, 100.0, 60.0))
    assert {one.id: len(one.content) for one in kept if isinstance(one, Taken)} == {1: 0, 2: 7, 4: 0}
    assert next(one for one in kept if isinstance(one, Taken) and one.id == 1).ran == 5.0
    assert compact.due(10 * compact.LEAST, compact.LEAST) and not compact.due(compact.LEAST, 0)


@pytest.mark.parametrize("fact", Fact)
@pytest.mark.parametrize("effect", Effect)
def test_the_table_of_what_waits(fact: Fact, effect: Effect) -> None:
    free = fact is Fact.OUTCOME or (fact is Fact.INTENT and effect is Effect.SAFE)
    assert durability.waits(fact, effect) != free


def test_memory_and_size_follow_what_is_open_and_not_history(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(compact, "LEAST", 20_000)
    sizes = []
    for count in (60, 180):
        run = Run(Script.draw(3, count, 400.0 * count), 3, SimStorage(), remember=5000.0)
        run.storage.room = None
        assert run.life(400.0 * count + 20_000.0)
        sizes.append(sum(len(run.storage.read(name)) for name in run.storage.names() if name != "reserve"))
    assert sizes[1] < 1.6 * sizes[0] + 20_000




# ---- small folders


def test_what_stands_behind_a_snapshot_is_no_hole_and_what_was_told_stays_told(tmp_path: Path) -> None:
    files = Files(tmp_path / "j", synced=False)
    writer = Writer(files, scan(files))
    writer.open()

    def write(*facts: records.Record) -> None:
        for fact in facts:
            writer.add(fact, None)
        group = writer.take()
        assert group is not None
        writer.done(group, writer.commit(group))

    write(*(taken(ident, reply=b"n") for ident in range(1, 9)))
    write(Final(1, "failed", "", 0.0, 5.0), Told(1))
    writer.snapshot(list(compact.kept(writer.lives, 5.0, 1e9)), writer.close_segment())
    write(Final(2, "failed", "", 0.0, 6.0))
    files.close()
    found = scan(Files(tmp_path / "j"))
    assert not found.problems and not found.holes
    assert found.lives.by_id[1].told and not found.lives.by_id[2].told
    log = next(path for path in (tmp_path / "j").glob("*.log"))
    data = log.read_bytes()
    first = next(part.end for part in frame.read(data) if isinstance(part, Found))
    log.write_bytes(data[:frame.HEADER] + data[first:] + frame.frame(99, taken(10)))
    assert scan(Files(tmp_path / "j", write=False)).holes, "one that is missing there is still seen"


@settings(max_examples=20, derandomize=True, deadline=None)
@given(st.integers(0, 10**6))
def test_a_small_folder_is_never_overfilled_and_open_messages_still_end(seed: int) -> None:
    rng, bound, now = Random(seed), 256 * 1024, 0.0
    disk = SimStorage()
    sizes = within(bound)
    writer = Writer(disk, scan(disk), sizes)
    writer.open()
    open_, refused, last, most = set[int](), list[int](), 0, 0

    def held() -> int:
        return sum(-(-len(disk.read(name)) // 512) * 512 for name in disk.names())

    for _ in range(400):
        now += 50.0
        group_ids = []
        for _ in range(rng.randint(0, 6)):
            last += 1
            fresh = Taken(last, "o", f"m{last}", "pay", "1", "k", 9e9, "a/b", "", bytes(rng.randint(0, 4000)), b"n")
            group_ids.append(last)
            writer.add(fresh, lambda ident=last: open_.add(ident), lambda why, ident=last: refused.append(ident))
        for ident in [one for one in open_ if rng.random() < 0.1]:
            open_.discard(ident)
            writer.add(Final(ident, "failed", "", 0.0, now), None)
            writer.add(Told(ident), None)
        group = writer.take()
        if group is not None:
            writer.done(group, writer.commit(group))
        for ident in refused:
            writer.lives.forget(ident)
        most = max(most, held())
        if writer.due():
            number = writer.close_segment()
            for life in list(writer.lives.by_id.values()):
                if not compact.matters(life, now, 300.0):
                    writer.lives.forget(life.id)
            writer.snapshot(list(compact.kept(writer.lives, now, 300.0)), number)
            most = max(most, held())
    assert most <= bound and last > len(refused) > 0
    found = scan(disk)
    assert not found.problems and open_ <= found.lives.by_id.keys()


def test_a_folder_too_small_to_work_in_is_refused() -> None:
    with pytest.raises(ValueError, match="262144"):
        within(1000)
