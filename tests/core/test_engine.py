"""The engine under simulated time: every message one answer, whatever order things come in."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir import interface as api
from brassweir.core.ledger import MessageRecord, SubmitStatus
from brassweir.core.observer import EngineObserver
from brassweir.core.ports import Answer, Attempt, Fact, FinalAnswer, Outcome, Submission
from tests.core.engines import make_engine


def test_the_whole_way_of_one_message() -> None:
    engine, clock, carrier = make_engine(good=1.0)
    got: list[FinalAnswer] = []
    how, record = engine.submit(Submission("o", "m", "pay", 1, 5000.0, payload=b"x"), got.append)
    assert how is SubmitStatus.NEW and not got, "an answer never comes from inside the call"
    assert engine.knows("o", "m")
    clock.run(3000.0)
    assert [answer.answer for answer in got] in ([Answer.DELIVERED], [Answer.FAILED])
    assert len(carrier.sent) == 1 and record.submission.payload is None
    engine.submit(Submission("o", "m", "pay", 1, 5000.0), got.append)
    clock.run(3100.0)
    assert got[0] == got[1] and len(carrier.sent) == 1


@settings(max_examples=25, deadline=None)
@given(seed=st.integers(0, 10_000), good=st.sampled_from([0.0, 0.5, 0.95]), count=st.integers(1, 120))
def test_every_message_has_exactly_one_answer_in_time_and_no_payment_goes_twice(
    seed: int, good: float, count: int
) -> None:
    engine, clock, carrier = make_engine(seed, good)
    rng = Random(seed)
    answers: dict[str, list[tuple[float, FinalAnswer]]] = {}
    times: dict[str, float] = {}

    def submit(name: str, cls: str) -> None:
        times[name] = clock.now()
        answers[name] = []
        engine.submit(
            Submission("o", name, cls, rng.randint(1, 3), 4000.0, key=str(rng.randint(0, 2))),
            lambda answer: answers[name].append((clock.now(), answer)),
        )

    for i in range(count):
        cls = rng.choice(["pay", "key", "safe"])
        clock.call_at(1000.0 + rng.random() * 3000.0, lambda i=i, cls=cls: submit(f"m{i}", cls))  # type: ignore[misc]
    clock.run(20_000.0)
    assert len(answers) == count
    for name, got in answers.items():
        assert len(got) == 1, name
        assert got[0][0] <= times[name] + 4001.0
    ran: dict[int, float] = {}
    for attempt in carrier.sent:
        if attempt.submission.class_name == "pay":
            assert attempt.id not in ran, "an unsafe message went out again after one that may have run"
        note = engine.ledger.by_id[attempt.id].attempts[attempt.number]
        assert note.outcome is not None
        if note.outcome.may_have_run:
            ran[attempt.id] = 1.0


def written(calls: list[tuple[Attempt, Callable[[Outcome], None]]]) -> Callable[..., None]:
    """A carrier that writes each attempt and says nothing more of it."""

    def start(attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        attempt.start_guard.begin()
        calls.append((attempt, done))

    return start


def test_an_attempt_of_which_nothing_was_written_in_its_time_found_no_connection() -> None:
    engine, clock, carrier = make_engine()
    carrier.start = lambda attempt, done: None  # type: ignore[method-assign]
    got: list[FinalAnswer] = []
    engine.submit(Submission("o", "m", "pay", 1, 2000.0), got.append)
    clock.run(6000.0)
    assert [answer.answer for answer in got] == [Answer.REFUSED]  # unsafe, and yet a later try is harmless


def test_an_outcome_after_the_answer_is_recorded_and_changes_nothing() -> None:
    seen: list[str] = []

    class Watch(EngineObserver):
        def submitted(self, record: MessageRecord, how: SubmitStatus) -> None: ...
        def sent(self, attempt: Attempt) -> None: ...
        def final(self, record: MessageRecord) -> None: ...
        def turn(self, events: int, actions: int, spent: float) -> None: ...
        def outcome(self, record: MessageRecord, number: int, outcome: Outcome, late: bool) -> None:
            seen.append("late outcome" if late else "outcome")

        def late_outcome(self, record: MessageRecord, number: int, outcome: Outcome) -> None:
            seen.append("after")

    engine, clock, carrier = make_engine(observer=Watch())
    calls: list[tuple[Attempt, Callable[[Outcome], None]]] = []
    carrier.start = written(calls)  # type: ignore[method-assign]
    got: list[FinalAnswer] = []
    engine.submit(Submission("o", "m", "pay", 1, 2000.0), got.append)
    clock.run(6000.0)
    assert [answer.answer for answer in got] == [Answer.FAILED]
    calls[0][1](Outcome(api.Result.OK))
    clock.run(7000.0)
    assert len(got) == 1 and seen == ["outcome", "after"] and len(calls) == 1
    assert engine.sender.load.used_slots == 0, "its slot is free again"


def test_a_receipt_after_its_time_still_delivers_a_message_without_answer() -> None:
    engine, clock, carrier = make_engine()
    calls: list[tuple[Attempt, Callable[[Outcome], None]]] = []
    carrier.start = written(calls)  # type: ignore[method-assign]
    got: list[FinalAnswer] = []
    engine.submit(Submission("o", "m", "key", 1, 4900.0), got.append)
    clock.run(1100.0)
    clock.run(calls[0][0].abandon_at + 1.0)
    calls[0][1](Outcome(api.Result.OK))
    before = len(calls)
    clock.run(9000.0)
    assert [answer.answer for answer in got] == [Answer.DELIVERED]
    assert len(calls) == before, "nothing is sent after it"


def test_a_store_is_asked_before_each_step_and_holds_it_up() -> None:
    class SlowCarrier:
        def __init__(self) -> None:
            self.asked: list[tuple[Fact, Callable[[], None]]] = []

        def persist(
            self,
            fact: Fact,
            message: int,
            detail: object,
            then: Callable[[], None],
            unable: Callable[[str], None],
        ) -> None:
            self.asked.append((fact, then))

    store = SlowCarrier()
    engine, clock, carrier = make_engine(good=1.0, store=store)
    got: list[FinalAnswer] = []
    engine.submit(Submission("o", "m", "safe", 1, 4000.0), got.append)
    steps = []
    for until in (1100.0, 1200.0, 2200.0, 2300.0, 2400.0):
        clock.run(until)
        if store.asked:
            fact, then = store.asked.pop(0)
            steps.append((fact, len(carrier.sent), len(got)))
            then()
    clock.run(3000.0)
    assert steps == [(Fact.TAKEN, 0, 0), (Fact.INTENT, 0, 0), (Fact.OUTCOME, 1, 0), (Fact.FINAL, 1, 0)]
    assert len(got) == 1


def test_stopping_refuses_the_new_and_answers_the_open() -> None:
    engine, clock, carrier = make_engine()
    carrier.start = lambda attempt, done: None  # type: ignore[method-assign]
    got: list[tuple[str, Answer]] = []
    for name, cls in (("p", "pay"), ("s", "safe")):
        engine.submit(
            Submission("o", name, cls, 1, 4000.0),
            lambda a, name=name: got.append((name, a.answer)),  # type: ignore[misc]
        )
    clock.run(1100.0)
    engine.stop_accepting()
    engine.submit(Submission("o", "new", "pay", 1, 4000.0), lambda a: got.append(("new", a.answer)))
    assert engine.close() == 2
    clock.run(1101.0)
    assert dict(got) == {"new": Answer.REFUSED, "p": Answer.FAILED, "s": Answer.REFUSED}
    clock.run(9000.0)
    assert len(got) == 3


def test_a_send_decided_just_before_its_endpoint_is_gone_finds_the_engine_knowing_it() -> None:
    engine, clock, carrier = make_engine(good=1.0)
    clock.run(1100.0)
    got: list[FinalAnswer] = []
    for name in "abcdef":
        engine.submit(Submission("o", name, "safe", 1, 4000.0), got.append)
    engine.update_list(
        api.ListUpdate(
            api.ListKind.DELTA,
            tuple(api.EndpointInfo(f"d1-{j}", 1, "", state=api.EntryState.GONE) for j in (0, 1)),
        )
    )
    clock.run(6200.0)
    assert len(got) == 6, "none is left without its answer"
    assert not {"d1-0", "d1-1"} & engine.endpoints.keys(), "and what is gone is forgotten"


class Full:
    """A store without room for a new message."""

    def persist(
        self,
        fact: Fact,
        message: int,
        detail: object,
        then: Callable[[], None],
        unable: Callable[[str], None],
    ) -> None:
        (lambda: unable("no room"))() if fact is Fact.TAKEN else then()


def test_a_promise_for_a_message_that_found_no_room_is_not_kept_for_ever() -> None:
    engine, clock, _ = make_engine(store=Full())
    got: list[FinalAnswer] = []
    told: list[int] = []
    for number in range(5):
        _, record = engine.submit(Submission("o", f"m{number}", "safe", 1, 4000.0), got.append)
        engine.when_admitted(record, lambda: told.append(1))
    clock.run(3000.0)
    assert len(got) == 5 and not told and not engine.admission_callbacks
