"""List updates and requested waits that arrive between the decision to send and the first byte."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from brassweir import interface as api
from brassweir.core.clock import SimClock
from brassweir.core.engine import Engine
from brassweir.core.ports import Answer, Attempt, Fact, FinalAnswer, Outcome, Submission
from tests.core.engines import CLASSES

DESTINATION, OTHER_DESTINATION = 1, 2
WAIT = 500.0


class HoldingStore:
    """A store that delays facts of some kinds until the test releases them, as durable or as rejected."""

    def __init__(self, *held: Fact) -> None:
        self.held = set(held)
        self.waiting: list[tuple[Callable[[], None], Callable[[str], None]]] = []

    def persist(
        self,
        fact: Fact,
        message: int,
        detail: object,
        on_durable: Callable[[], None],
        on_rejected: Callable[[str], None],
    ) -> None:
        if fact in self.held:
            self.waiting.append((on_durable, on_rejected))
        else:
            on_durable()

    def release(self, has_capacity: bool = True) -> None:
        self.held.clear()
        waiting, self.waiting = self.waiting, []
        for on_durable, on_rejected in waiting:
            on_durable() if has_capacity else on_rejected("no capacity")


class DelayedCarrier:
    """A carrier whose connections take 100 ms; a written attempt is delivered, or ends as in ``outcomes``."""

    def __init__(self, clock: SimClock) -> None:
        self.clock = clock
        self.started: list[Attempt] = []
        self.written: list[tuple[float, str, str]] = []
        self.outcomes: dict[str, Outcome] = {}

    def start(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        self.started.append(attempt)

        def write() -> None:
            name = attempt.submission.identity
            if not attempt.start_guard.begin():
                return done(Outcome(api.Result.NO_CONNECTION, "cancelled"))
            self.written.append((self.clock.now(), name, attempt.endpoint.name))
            outcome = self.outcomes.get(name, Outcome(api.Result.OK))
            self.clock.call_at(self.clock.now() + 10.0, lambda: done(outcome))

        self.clock.call_at(self.clock.now() + 100.0, write)

    def close_idle(self, endpoint: str) -> None:
        pass


class Scenario:
    """An engine with two endpoints at one destination."""

    def __init__(self, store: HoldingStore) -> None:
        self.clock, self.store = SimClock(1000.0), store
        self.carrier = DelayedCarrier(self.clock)
        settings = api.Settings(classes=CLASSES, slots=6, max_open=80, max_retry_after=3000.0)
        self.engine = Engine(settings, 1, self.clock, lambda _: self.carrier, store=store)
        self.answers: dict[str, list[FinalAnswer]] = {}
        self.update_list("a", "b")
        self.run(1.0)

    def run(self, span: float) -> None:
        self.clock.run(self.clock.now() + span)

    def update_list(
        self, *names: str, state: api.EntryState = api.EntryState.READY, destination: int = DESTINATION
    ) -> None:
        self.engine.update_list(
            api.ListUpdate(
                api.ListKind.DELTA,
                tuple(api.EndpointInfo(name, destination, "", state=state) for name in names),
            )
        )

    def submit(self, name: str, left: float = 4000.0) -> None:
        self.engine.submit(
            Submission("c", name, "safe", DESTINATION, left), self.answers.setdefault(name, []).append
        )

    def attempted(self, name: str) -> list[str]:
        """Return the endpoints of the attempts that the module decided on."""
        return [note.endpoint for note in self.engine.ledger.by_identity["c", name].attempts]

    def assert_delivered_once(self) -> None:
        """Check that each message was answered once, as delivered, and that nothing is left in the engine."""
        self.run(5000.0)
        assert {name: [one.answer for one in given] for name, given in self.answers.items()} == {
            name: [Answer.DELIVERED] for name in self.answers
        }
        assert not self.engine.unstarted.by_destination and self.engine.sender.load.open_messages == 0


UNUSABLE = pytest.mark.parametrize(
    "unusable",
    [{"state": api.EntryState.DRAINING}, {"state": api.EntryState.GONE}, {"destination": OTHER_DESTINATION}],
    ids=["draining", "gone", "of another destination"],
)


@UNUSABLE
@pytest.mark.parametrize("has_capacity", [True, False], ids=["durable", "no capacity"])
def test_list_update_while_the_intent_is_persisted(unusable: dict[str, object], has_capacity: bool) -> None:
    scenario = Scenario(HoldingStore(Fact.INTENT))
    scenario.submit("m")
    scenario.run(5.0)
    (first,) = scenario.attempted("m")
    scenario.update_list(first, **unusable)  # type: ignore[arg-type]
    scenario.run(5.0)
    assert len(scenario.attempted("m")) == 2, "it goes elsewhere at once"
    scenario.store.release(has_capacity)
    scenario.run(200.0)
    if has_capacity:
        scenario.assert_delivered_once()
    assert first not in [to for _, _, to in scenario.carrier.written] and not [
        one for one in scenario.carrier.started if one.endpoint.name == first
    ]


@UNUSABLE
@pytest.mark.parametrize("submitted_before", [1, 2, 3])
def test_list_update_in_the_turn_of_a_send(submitted_before: int, unusable: dict[str, object]) -> None:
    """The module handles events in order: it sends the messages submitted before it reads the list update."""
    scenario = Scenario(HoldingStore())
    for i in range(submitted_before):
        scenario.submit(f"m{i}")
    scenario.update_list("a", **unusable)  # type: ignore[arg-type]
    scenario.run(200.0)
    assert {to for _, _, to in scenario.carrier.written} == {"b"}
    scenario.assert_delivered_once()


def test_requested_wait_while_an_intent_is_persisted() -> None:
    scenario = Scenario(HoldingStore())
    scenario.carrier.outcomes["told"] = Outcome(api.Result.BUSY, wait=WAIT)
    scenario.submit("told")
    scenario.run(105.0)  # written, and not answered yet
    scenario.store.held.add(Fact.INTENT)
    scenario.submit("m")
    scenario.run(20.0)
    assert len(scenario.attempted("m")) == 1
    scenario.store.release()
    requested_at = scenario.carrier.written[0][0] + 10.0
    del scenario.carrier.outcomes["told"]
    scenario.assert_delivered_once()
    assert all(at >= requested_at + WAIT for at, _, _ in scenario.carrier.written[1:])


def test_send_decided_while_a_requested_wait_is_persisted() -> None:
    """An attempt decided while the wait is not yet durable must still not be written during the wait."""
    scenario = Scenario(HoldingStore(Fact.OUTCOME))
    scenario.carrier.outcomes["told"] = Outcome(api.Result.BUSY, wait=WAIT)
    scenario.submit("told")
    scenario.run(115.0)  # the destination requested a wait
    requested_at = scenario.carrier.written[0][0] + 10.0
    assert scenario.store.waiting
    scenario.submit("m")
    scenario.run(5.0)
    assert len(scenario.attempted("m")) == 1
    del scenario.carrier.outcomes["told"]
    scenario.store.release()
    scenario.assert_delivered_once()
    assert all(at >= requested_at + WAIT for at, _, _ in scenario.carrier.written[1:])


def test_requested_wait_in_the_turn_of_a_send() -> None:
    scenario = Scenario(HoldingStore())
    scenario.carrier.outcomes["told"] = Outcome(api.Result.BUSY, wait=WAIT)
    scenario.submit("told")
    at = scenario.clock.now() + 110.0
    for name in ("m0", "m1"):
        scenario.clock.call_at(at, lambda name=name: scenario.submit(name))  # type: ignore[misc]
    scenario.run(150.0)
    assert scenario.carrier.written[0][0] + 10.0 == at
    del scenario.carrier.outcomes["told"]
    scenario.assert_delivered_once()
    assert all(when >= at + WAIT for when, _, _ in scenario.carrier.written[1:])
