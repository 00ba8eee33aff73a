"""Clients, an engine's facts and a bounded directory for one journal, in simulated time.

The model keeps its own account of what the sender owes: accepted messages without an answer, answers whose
receipt was not delivered, and answers that repetitions may still ask for.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from brassweir import interface as api
from brassweir.core.clock import SimClock
from brassweir.core.ports import Answer, Attempt, Fact, FinalAnswer, Outcome, Payload, Submission
from brassweir.journal.scan import scan
from brassweir.journal.sizes import limits_within
from brassweir.journal.state import JournalState
from brassweir.journal.store import JournalStore
from brassweir.journal.writer import Writer
from brassweir.lab.simulated.disk import SimIo
from tests.journal.bounded_storage import BoundedStorage, blocks
from tests.journal.bounded_traffic import Message, Traffic

RETENTION_MS = 3000.0
CLASSES = {
    "pay": api.MessageClass("pay", 1000.0, 1e9, api.Effect.UNSAFE),
    "note": api.MessageClass("note", 1000.0, 1e9, api.Effect.SAFE),  # its attempts wait for no commit
}
FRAME_AND_NAMES = 160  # bytes of a Taken record without content, at most
ENDING = 200  # bytes of Final and Told, or of the attempts that a snapshot keeps, at most


@dataclass
class World:
    """One journal over as many processes as it takes; ``problems`` says which promise was broken."""

    seed: int
    bound: int
    rng: Random = field(init=False)
    now: float = 1000.0
    messages: dict[int, Message] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)
    refused_ids: set[int] = field(default_factory=set)
    last_id: int = 0

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.storage = BoundedStorage(self.rng)
        self.limits = limits_within(self.bound)
        self.start()

    def start(self) -> None:
        """Start a process on the directory as it is, and compare what it reads with what is owed."""
        self.clock = SimClock(self.now)
        found = scan(self.storage)
        self.check_read_back(found.state)
        self.writer = Writer(self.storage, found, self.limits, retry_writes=True)
        for name in found.stale:
            self.storage.remove(name)
        self.writer.open()
        self.store = JournalStore(
            self.writer,
            SimIo(self.clock, 0.0),
            CLASSES,
            self.clock.now,
            str,
            lambda error: self.problems.append(f"broken: {error}"),
            RETENTION_MS,
        )
        self.store.record_start("n1")
        self.resume(found.state)

    def check_read_back(self, state: JournalState) -> None:
        """Note what is owed and was not read back, and what was refused and comes back."""
        lost = [ident for ident in self.owed() if ident not in state.by_id]
        if lost:
            self.problems.append(f"{len(lost)} messages were lost, the first is {lost[0]}")
        back = [ident for ident, one in state.by_id.items() if one.is_open and ident in self.refused_ids]
        if back:
            self.problems.append(f"{len(back)} refused messages came back, the first is {back[0]}")
        for ident, message in self.messages.items():
            if ident in state.by_id and message.answered_at is not None and state.by_id[ident].final is None:
                self.problems.append(f"the answer of message {ident} was lost")

    def resume(self, state: JournalState) -> None:
        """Go on with what was read back: a record may be kept although its process did not live to say so."""
        for ident, one in state.by_id.items():
            if one.taken is None:
                continue
            message = self.messages.setdefault(ident, Message(len(one.taken.content), one.taken.class_name))
            message.accepted, message.in_flight, message.ending = True, False, False
            message.attempts = max([message.attempts, *(number + 1 for number in one.ended)])
            if one.final is None:
                self.store.resumed(ident, message.class_name, message.attempts)
                continue
            message.answered_at, message.ending = one.final.at, True
            if one.receipt_pending:
                self.store.receipt_delivered(ident)
            message.told = True
        for ident in [ident for ident in self.messages if ident not in state.by_id]:
            del self.messages[ident]  # not kept, and its client has no answer

    def owed(self) -> list[int]:
        """Return the messages that the journal has to hold."""
        return [ident for ident, message in self.messages.items() if self._is_owed(message)]

    def owed_bytes(self) -> int:
        """Return, at most, what a journal takes that holds only what is owed."""
        total = 0
        for ident in self.owed():
            message = self.messages[ident]
            total += FRAME_AND_NAMES + ENDING + (message.body if message.answered_at is None else 0)
        return total

    def _is_owed(self, message: Message) -> bool:
        if not message.accepted and message.answered_at is None:
            return False
        answered_at = message.answered_at
        return answered_at is None or not message.told or self.now - answered_at <= RETENTION_MS

    @property
    def refused(self) -> int:
        """The number of messages refused for lack of room."""
        return len(self.refused_ids)

    # ---- what an engine does

    def submit(self, body: int, refuse: bool) -> int:
        """Hand one message in; one that the engine refuses gets its answer as soon as it is kept."""
        self.last_id += 1
        ident = self.last_id
        message = self.messages[ident] = Message(body, ("pay", "note")[ident % 2])
        submission = Submission(
            "o",
            f"{ident:016x}",
            message.class_name,
            1,
            5000.0,
            payload=Payload("a/b", bytes(body)),
            reply_to=b"n",
        )

        def kept() -> None:
            message.accepted = True
            if refuse:
                self.answer(ident, Answer.REFUSED)

        def unable(reason: str) -> None:
            self.refused_ids.add(ident)
            del self.messages[ident]
            self.store.persist(
                Fact.FINAL,
                ident,
                FinalAnswer(Answer.REFUSED, reason, 100.0),
                lambda: self.store.receipt_delivered(ident),
                lambda _: None,
            )

        self.store.persist(Fact.TAKEN, ident, submission, kept, unable)
        return ident

    def attempt(self, ident: int) -> None:
        """Make one attempt, which may have run and fails."""
        message = self.messages[ident]
        info = api.EndpointInfo(f"s-{self.rng.randrange(16**8):08x}", 1, "")
        submission = Submission("o", f"{ident:016x}", message.class_name, 1, 5000.0)
        attempt = Attempt(ident, message.attempts, submission, info, self.now + 500.0, False)
        message.attempts += 1
        message.in_flight = True
        store = self.store
        outcome = Outcome(api.Result.TIMEOUT)

        def sent() -> None:
            if store is self.store:
                message.in_flight = False
                store.persist(Fact.OUTCOME, ident, (attempt, outcome), lambda: None, lambda _: None)

        store.persist(Fact.INTENT, ident, attempt, sent, lambda _: None)

    def answer(self, ident: int, answer: Answer) -> None:
        """Give the final answer, and deliver its receipt."""
        message, store, asked_at = self.messages[ident], self.store, self.clock.now()
        message.ending = True

        def durable() -> None:
            message.answered_at = asked_at  # retention counts from then, however long the write took
            if store is self.store:
                store.receipt_delivered(ident)
                message.told = True

        store.persist(Fact.FINAL, ident, FinalAnswer(answer, "not now"), durable, lambda _: None)

    # ---- time

    def run(self, span: float) -> None:
        """Let time pass."""
        self.now += span
        self.clock.run(self.now)
        for ident in [ident for ident, message in self.messages.items() if self._is_over(message)]:
            del self.messages[ident]

    def _is_over(self, message: Message) -> bool:
        return message.answered_at is not None and not self._is_owed(message)

    def tick(self, traffic: Traffic) -> None:
        """Play 50 ms of traffic."""
        for _ in range(self.rng.randint(0, traffic.a_tick)):
            refuse = self.rng.random() < traffic.refused
            self.submit(self.rng.randint(0, traffic.body), refuse)
        for ident in self.open_ids():
            if self.messages[ident].attempts < traffic.attempts:
                if not self.messages[ident].in_flight:
                    self.attempt(ident)
            elif self.rng.random() < 1.0 / traffic.open_ticks:
                self.answer(ident, Answer.DELIVERED)
        self.run(50.0)

    def open_ids(self) -> list[int]:
        """Return the messages that were accepted, and whose answer is not decided."""
        return [ident for ident, one in self.messages.items() if one.accepted and not one.ending]

    def end_all(self) -> None:
        """Answer all open messages, and let their answers' retention pass."""
        for _ in range(3):
            for ident in self.open_ids():
                self.answer(ident, Answer.FAILED)
            self.run(200.0)
        self.run(RETENTION_MS + 100.0)

    def restart(self) -> None:
        """Kill the process between two steps, and start the next one."""
        # What was not told for sure is told again: the notice is repeated, and then acknowledged.
        self.now += 600.0
        self.start()
        self.run(1.0)

    def journal_bytes(self) -> int:
        """Return what the segments take, in blocks."""
        return sum(
            blocks(content)
            for name, content in self.storage.files.items()
            if name.endswith((".log", ".snap"))
        )
