"""The engine under simulated time: each message gets one final answer, in whatever order events arrive."""

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


def test_one_message_from_submission_to_repetition() -> None:
    engine, clock, carrier = make_engine(success_rate=1.0)
    received: list[FinalAnswer] = []
    status, record = engine.submit(Submission("o", "m", "pay", 1, 5000.0, payload=b"x"), received.append)
    assert status is SubmitStatus.NEW and not received, "the waiter must not be called before submit returns"
    assert engine.knows("o", "m")
    clock.run(3000.0)
    assert [answer.answer for answer in received] in ([Answer.DELIVERED], [Answer.FAILED])
    assert len(carrier.sent) == 1 and record.submission.payload is None
    engine.submit(Submission("o", "m", "pay", 1, 5000.0), received.append)
    clock.run(3100.0)
    assert received[0] == received[1] and len(carrier.sent) == 1


@settings(max_examples=25, deadline=None)
@given(seed=st.integers(0, 10_000), success_rate=st.sampled_from([0.0, 0.5, 0.95]), count=st.integers(1, 120))
def test_each_message_has_one_answer_in_time_and_no_unsafe_message_is_sent_twice(
    seed: int, success_rate: float, count: int
) -> None:
    engine, clock, carrier = make_engine(seed, success_rate)
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
    for name, received in answers.items():
        assert len(received) == 1, name
        assert received[0][0] <= times[name] + 4001.0
    possible_runs: dict[int, float] = {}
    for attempt in carrier.sent:
        if attempt.submission.class_name == "pay":
            assert attempt.id not in possible_runs, (
                "an unsafe message was sent again after an attempt that may have run"
            )
        attempt_record = engine.ledger.by_id[attempt.id].attempts[attempt.number]
        assert attempt_record.outcome is not None
        if attempt_record.outcome.may_have_run:
            possible_runs[attempt.id] = 1.0


def write_only(written_attempts: list[tuple[Attempt, Callable[[Outcome], None]]]) -> Callable[..., None]:
    """A carrier that writes each attempt and reports no outcome."""

    def start(attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        attempt.start_guard.begin()
        written_attempts.append((attempt, done))

    return start


def test_attempt_that_wrote_nothing_until_its_timeout_ends_as_no_connection() -> None:
    engine, clock, carrier = make_engine()
    carrier.start = lambda attempt, done: None  # type: ignore[method-assign]
    received: list[FinalAnswer] = []
    engine.submit(Submission("o", "m", "pay", 1, 2000.0), received.append)
    clock.run(6000.0)
    assert [answer.answer for answer in received] == [
        Answer.REFUSED
    ]  # although unsafe: nothing was written, so a later try is harmless


def test_outcome_after_the_final_answer_is_recorded_and_changes_nothing() -> None:
    observed: list[str] = []

    class Recorder(EngineObserver):
        def submitted(self, record: MessageRecord, status: SubmitStatus) -> None: ...
        def sent(self, attempt: Attempt) -> None: ...
        def final(self, record: MessageRecord) -> None: ...
        def turn(self, events: int, actions: int, spent: float) -> None: ...
        def outcome(self, record: MessageRecord, number: int, outcome: Outcome, late: bool) -> None:
            observed.append("late outcome" if late else "outcome")

        def late_outcome(self, record: MessageRecord, number: int, outcome: Outcome) -> None:
            observed.append("after")

    engine, clock, carrier = make_engine(observer=Recorder())
    written_attempts: list[tuple[Attempt, Callable[[Outcome], None]]] = []
    carrier.start = write_only(written_attempts)  # type: ignore[method-assign]
    received: list[FinalAnswer] = []
    engine.submit(Submission("o", "m", "pay", 1, 2000.0), received.append)
    clock.run(6000.0)
    assert [answer.answer for answer in received] == [Answer.FAILED]
    written_attempts[0][1](Outcome(api.Result.OK))
    clock.run(7000.0)
    assert len(received) == 1 and observed == ["outcome", "after"] and len(written_attempts) == 1
    assert engine.sender.load.used_slots == 0, "the attempt's slot is free again"


def test_receipt_after_the_timeout_delivers_a_message_without_final_answer() -> None:
    engine, clock, carrier = make_engine()
    written_attempts: list[tuple[Attempt, Callable[[Outcome], None]]] = []
    carrier.start = write_only(written_attempts)  # type: ignore[method-assign]
    received: list[FinalAnswer] = []
    engine.submit(Submission("o", "m", "key", 1, 4900.0), received.append)
    clock.run(1100.0)
    clock.run(written_attempts[0][0].abandon_at + 1.0)
    written_attempts[0][1](Outcome(api.Result.OK))
    written_before = len(written_attempts)
    clock.run(9000.0)
    assert [answer.answer for answer in received] == [Answer.DELIVERED]
    assert len(written_attempts) == written_before, "no attempt follows the delivery"


def test_each_step_waits_until_its_fact_is_durable() -> None:
    class RecordingStore:
        def __init__(self) -> None:
            self.asked: list[tuple[Fact, Callable[[], None]]] = []

        def persist(
            self,
            fact: Fact,
            message: int,
            detail: object,
            on_durable: Callable[[], None],
            on_rejected: Callable[[str], None],
        ) -> None:
            self.asked.append((fact, on_durable))

    store = RecordingStore()
    engine, clock, carrier = make_engine(success_rate=1.0, store=store)
    received: list[FinalAnswer] = []
    engine.submit(Submission("o", "m", "safe", 1, 4000.0), received.append)
    steps = []
    for until in (1100.0, 1200.0, 2200.0, 2300.0, 2400.0):
        clock.run(until)
        if store.asked:
            fact, on_durable = store.asked.pop(0)
            steps.append((fact, len(carrier.sent), len(received)))
            on_durable()
    clock.run(3000.0)
    assert steps == [(Fact.TAKEN, 0, 0), (Fact.INTENT, 0, 0), (Fact.OUTCOME, 1, 0), (Fact.FINAL, 1, 0)]
    assert len(received) == 1


def test_stopping_refuses_new_messages_and_answers_open_ones() -> None:
    engine, clock, carrier = make_engine()
    carrier.start = lambda attempt, done: None  # type: ignore[method-assign]
    received: list[tuple[str, Answer]] = []
    for name, cls in (("p", "pay"), ("s", "safe")):
        engine.submit(
            Submission("o", name, cls, 1, 4000.0),
            lambda a, name=name: received.append((name, a.answer)),  # type: ignore[misc]
        )
    clock.run(1100.0)
    engine.stop_accepting()
    engine.submit(Submission("o", "new", "pay", 1, 4000.0), lambda a: received.append(("new", a.answer)))
    assert engine.close() == 2
    clock.run(1101.0)
    assert dict(received) == {"new": Answer.REFUSED, "p": Answer.FAILED, "s": Answer.REFUSED}
    clock.run(9000.0)
    assert len(received) == 3


def test_send_decided_in_the_turn_in_which_its_endpoint_is_removed() -> None:
    engine, clock, carrier = make_engine(success_rate=1.0)
    clock.run(1100.0)
    received: list[FinalAnswer] = []
    for name in "abcdef":
        engine.submit(Submission("o", name, "safe", 1, 4000.0), received.append)
    engine.update_list(
        api.ListUpdate(
            api.ListKind.DELTA,
            tuple(api.EndpointInfo(f"d1-{j}", 1, "", state=api.EntryState.GONE) for j in (0, 1)),
        )
    )
    clock.run(6200.0)
    assert len(received) == 6, "each message has its final answer"
    assert not {"d1-0", "d1-1"} & engine.endpoints.keys(), "removed endpoints are dropped"


class FullStore:
    """A store that rejects new messages for lack of capacity."""

    def persist(
        self,
        fact: Fact,
        message: int,
        detail: object,
        on_durable: Callable[[], None],
        on_rejected: Callable[[str], None],
    ) -> None:
        (lambda: on_rejected("no capacity"))() if fact is Fact.TAKEN else on_durable()


def test_admission_callback_of_a_message_that_the_store_rejects_is_dropped() -> None:
    engine, clock, _ = make_engine(store=FullStore())
    received: list[FinalAnswer] = []
    admitted: list[int] = []
    for number in range(5):
        _, record = engine.submit(Submission("o", f"m{number}", "safe", 1, 4000.0), received.append)
        engine.when_admitted(record, lambda: admitted.append(1))
    clock.run(3000.0)
    assert len(received) == 5 and not admitted and not engine.admission_callbacks
