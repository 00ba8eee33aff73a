"""News and told waits that come between the decision to send and the first byte, at each step of the way."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from brassweir import interface as api
from brassweir.core.clock import SimClock
from brassweir.core.engine import Engine
from brassweir.core.ports import Answer, Attempt, Fact, FinalAnswer, Outcome, Submission
from tests.core.engines import CLASSES

HOME, ELSEWHERE = 1, 2
WAIT = 500.0


class Holding:
    """A store that keeps a kind of fact in hand until the test lets go, or says that there is no room."""

    def __init__(self, *held: Fact) -> None:
        self.held = set(held)
        self.hand: list[tuple[Callable[[], None], Callable[[str], None]]] = []

    def persist(
        self,
        fact: Fact,
        message: int,
        detail: object,
        then: Callable[[], None],
        unable: Callable[[str], None],
    ) -> None:
        if fact in self.held:
            self.hand.append((then, unable))
        else:
            then()

    def let_go(self, room: bool = True) -> None:
        self.held.clear()
        hand, self.hand = self.hand, []
        for then, unable in hand:
            then() if room else unable("no room")


class Late:
    """A carrier whose connections stand after 100 ms; what is written is delivered, or told to wait."""

    def __init__(self, clock: SimClock) -> None:
        self.clock = clock
        self.started: list[Attempt] = []
        self.written: list[tuple[float, str, str]] = []
        self.told: dict[str, Outcome] = {}

    def start(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        self.started.append(attempt)

        def write() -> None:
            name = attempt.submission.identity
            if not attempt.start_guard.begin():
                return done(Outcome(api.Result.NO_CONNECTION, "called back"))
            self.written.append((self.clock.now(), name, attempt.endpoint.name))
            outcome = self.told.get(name, Outcome(api.Result.OK))
            self.clock.call_at(self.clock.now() + 10.0, lambda: done(outcome))

        self.clock.call_at(self.clock.now() + 100.0, write)

    def close_idle(self, endpoint: str) -> None:
        pass


class Play:
    """An engine with two endpoints at one destination."""

    def __init__(self, store: Holding) -> None:
        self.clock, self.store = SimClock(1000.0), store
        self.carrier = Late(self.clock)
        sets = api.Settings(classes=CLASSES, slots=6, max_open=80, max_retry_after=3000.0)
        self.engine = Engine(sets, 1, self.clock, lambda _: self.carrier, store=store)
        self.answers: dict[str, list[FinalAnswer]] = {}
        self.tell("a", "b")
        self.run(1.0)

    def run(self, span: float) -> None:
        self.clock.run(self.clock.now() + span)

    def tell(self, *names: str, state: api.EntryState = api.EntryState.READY, home: int = HOME) -> None:
        self.engine.update_list(
            api.ListUpdate(
                api.ListKind.DELTA, tuple(api.EndpointInfo(name, home, "", state=state) for name in names)
            )
        )

    def submit(self, name: str, left: float = 4000.0) -> None:
        self.engine.submit(
            Submission("c", name, "safe", HOME, left), self.answers.setdefault(name, []).append
        )

    def sent(self, name: str) -> list[str]:
        """The endpoints to which attempts were decided."""
        return [note.endpoint for note in self.engine.ledger.by_identity["c", name].attempts]

    def settled(self) -> None:
        """All have one answer, delivered, by one written call; nothing is left behind."""
        self.run(5000.0)
        assert {name: [one.answer for one in given] for name, given in self.answers.items()} == {
            name: [Answer.DELIVERED] for name in self.answers
        }
        assert not self.engine.unstarted.by_destination and self.engine.sender.load.open_messages == 0


OFF = pytest.mark.parametrize(
    "off",
    [{"state": api.EntryState.DRAINING}, {"state": api.EntryState.GONE}, {"home": ELSEWHERE}],
    ids=["draining", "gone", "of another destination"],
)


@OFF
@pytest.mark.parametrize("room", [True, False], ids=["kept", "no room"])
def test_news_while_the_intent_is_being_kept(off: dict[str, object], room: bool) -> None:
    play = Play(Holding(Fact.INTENT))
    play.submit("m")
    play.run(5.0)
    (first,) = play.sent("m")
    play.tell(first, **off)  # type: ignore[arg-type]
    play.run(5.0)
    assert len(play.sent("m")) == 2, "it goes elsewhere at once"
    play.store.let_go(room)
    play.run(200.0)
    if room:
        play.settled()
    assert first not in [to for _, _, to in play.carrier.written] and not [
        one for one in play.carrier.started if one.endpoint.name == first
    ]


@OFF
@pytest.mark.parametrize("before", [1, 2, 3])
def test_news_in_the_turn_of_a_send(before: int, off: dict[str, object]) -> None:
    """At each message the module sends what came before it: so before it reads the news behind them all."""
    play = Play(Holding())
    for i in range(before):
        play.submit(f"m{i}")
    play.tell("a", **off)  # type: ignore[arg-type]
    play.run(200.0)
    assert {to for _, _, to in play.carrier.written} == {"b"}
    play.settled()


def test_a_told_wait_while_an_intent_is_being_kept() -> None:
    play = Play(Holding())
    play.carrier.told["told"] = Outcome(api.Result.BUSY, wait=WAIT)
    play.submit("told")
    play.run(105.0)  # it is written, and not answered yet
    play.store.held.add(Fact.INTENT)
    play.submit("m")
    play.run(20.0)
    assert len(play.sent("m")) == 1
    play.store.let_go()
    told = play.carrier.written[0][0] + 10.0
    del play.carrier.told["told"]
    play.settled()
    assert all(at >= told + WAIT for at, _, _ in play.carrier.written[1:])


def test_a_send_that_is_decided_while_a_told_wait_is_being_kept() -> None:
    """The module hears of a wait once it is kept; what it decides until then waits for a connection."""
    play = Play(Holding(Fact.OUTCOME))
    play.carrier.told["told"] = Outcome(api.Result.BUSY, wait=WAIT)
    play.submit("told")
    play.run(115.0)  # it was told to wait
    told = play.carrier.written[0][0] + 10.0
    assert play.store.hand
    play.submit("m")
    play.run(5.0)
    assert len(play.sent("m")) == 1
    del play.carrier.told["told"]
    play.store.let_go()
    play.settled()
    assert all(at >= told + WAIT for at, _, _ in play.carrier.written[1:])


def test_a_told_wait_in_the_turn_of_a_send() -> None:
    play = Play(Holding())
    play.carrier.told["told"] = Outcome(api.Result.BUSY, wait=WAIT)
    play.submit("told")
    at = play.clock.now() + 110.0
    for name in ("m0", "m1"):
        play.clock.call_at(at, lambda name=name: play.submit(name))  # type: ignore[misc]
    play.run(150.0)
    assert play.carrier.written[0][0] + 10.0 == at
    del play.carrier.told["told"]
    play.settled()
    assert all(when >= at + WAIT for when, _, _ in play.carrier.written[1:])
