"""One client's commands, in order, and their answers in the same order.

What was read whole before its end was decided is answered; nothing read after that is taken up.
"""

from __future__ import annotations

import asyncio
from collections import deque

from brassweir.core.ledger import MessageRecord
from brassweir.core.ports import Answer, FinalAnswer, Submission
from brassweir.resp import codec, msg_put
from brassweir.resp.admission import ClientState
from brassweir.resp.channel import Channel
from brassweir.resp.host import Host

MOST_OPEN = 64  # commands of one connection being answered; more wait in its socket
PENALTY = 0.2  # seconds for which one that sent what cannot be used is not read, doubled with each
MOST_ERRORS = 6  # after so many it is closed


class Slot:
    """One command's place in the order of answers."""

    __slots__ = ("answer", "record")

    def __init__(self, answer: bytes = b"") -> None:
        self.answer = answer
        self.record: MessageRecord | None = None


class Connection(Channel):
    """One client's connection."""

    def __init__(self, front: Host, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.front = front
        self.decoder = codec.Decoder()
        self.slots: deque[Slot] = deque()
        self.client: ClientState | None = None
        self.number = 0  # its client's, which outlives its place among the clients
        self.resting = self.advancing = False
        self.faults = 0
        self.why = ""  # we close it; empty while it is the client that would

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has connected; if there is no room, somebody must go."""
        super().connection_made(transport)
        self.client = self.front.admit(self)
        self.number = self.client.id if self.client is not None else 0
        if self.client is None:
            self.ending, self.why = True, "no room for it"
            transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """The client is gone, or we have closed."""
        super().connection_lost(exc)
        self.front.note(
            "client_closed",
            {
                "client": self.number,
                "why": self.why or (str(exc) if exc else "closed by the client"),
                "unanswered": len(self.slots),
            },
        )
        self.leave()
        self.take_back()

    def take_back(self) -> None:
        """Nobody will hear of what has no answer yet: it is not taken on."""
        for slot in self.slots:
            if slot.record is not None and not slot.answer:
                self.front.counts.withdrawn += 1
                self.front.engine.withdraw(slot.record)
        self.slots.clear()

    def leave(self) -> None:
        """It counts no more."""
        if self.client is not None:
            self.front.left(self.client.id)
            self.client = None

    def drop(self, why: str) -> None:
        """Close at once."""
        self.why = self.why or why
        self.front.counts.dropped += 1
        self.leave()
        self.abort()

    def end(self, why: str) -> None:
        """Read no more, and close once every command that was read whole has its answer."""
        if not self.ending:
            self.why = why
            self.finish()
            self.advance()

    def expire(self) -> None:
        """It has been silent for too long: half a command gets its error line."""
        if self.ending:
            return
        if self.client is not None and self.client.proven:
            self.front.counts.idled += 1
        else:
            self.front.counts.silenced += 1
        if self.decoder.partial:
            self.fault("the command did not come whole")
        self.end("silent for too long")

    def received(self, data: bytes) -> None:
        """Read on."""
        self.decoder.feed(data)
        if self.client is not None:
            self.client.heard = self.loop.time()
        self.advance()

    def readable(self) -> None:
        """The client reads its answers again."""
        self.advance()

    def advance(self) -> None:
        """Take up what has come whole, as far as answers keep up; at the end close behind the last answer."""
        if self.advancing or self.closing:
            return  # one answered at once, within the loop below; or nobody is there to be answered
        self.advancing = True
        while not self.choked and len(self.slots) < MOST_OPEN and (self.ending or not self.resting):
            try:
                args = self.decoder.next()
            except codec.Malformed as error:
                self.fault(str(error))
                self.end(str(error))
                break
            if args is None:
                break
            self.command(args)
        self.advancing = False
        if self.client is not None:
            self.client.working, self.client.half = bool(self.slots), self.decoder.partial
            self.front.weigh(self.client, self.decoder.weight)
        if not self.ending:
            self.pause(self.resting or self.choked or len(self.slots) >= MOST_OPEN)
        elif not self.slots and not self.choked:
            self.shut_down()

    def command(self, args: list[bytes]) -> None:
        """Take one command up."""
        name = args[0].upper()
        if name == b"PING" and len(args) == 1:
            if self.client is not None:
                self.client.greeted = True
            self.slots.append(Slot(codec.PONG))
            self.flush()
        elif name == b"MSG.PUT":
            self.put(args)
        else:
            self.fault("only PING and MSG.PUT are served")

    def put(self, args: list[bytes]) -> None:
        """A message is handed in."""
        front, engine = self.front, self.front.engine
        try:
            given = msg_put.parse(args, engine.ledger.classes, front.listed)
            if (given.owner, given.identity) in engine.ledger.by_identity:
                raise msg_put.Unreadable("a message of this id was handed in before")
        except msg_put.Unreadable as error:
            return self.fault(str(error))
        if self.client is not None:
            front.admission.proved(self.client.id)
        slot = Slot()
        self.slots.append(slot)
        if engine.ledger.open_count >= engine.settings.max_open:
            front.counts.busy += 1
            front.note("refused", {"id": given.identity, "why": "holds as much as the settings allow"})
            return self.answer(slot, codec.busy(0.0))
        self.take(given, slot)

    def take(self, given: Submission, slot: Slot) -> None:
        """Hand a message to the engine."""
        front = self.front

        def ended(answer: FinalAnswer) -> None:
            if slot.answer:  # taken on: its end goes by notice
                front.owing(record)(answer)
                return
            front.told(record.id)
            if answer.answer is Answer.REFUSED:
                front.counts.busy += 1
                self.answer(slot, codec.busy(answer.retry_after))
            elif answer.answer is Answer.DELIVERED:
                self.answer(slot, codec.OK)
            else:
                self.answer(slot, codec.error(answer.reason))

        def promised() -> None:
            front.counts.taken += 1
            self.answer(slot, codec.OK)

        _, record = front.engine.submit(given, ended)
        slot.record = record
        front.engine.when_admitted(record, promised)

    def fault(self, reason: str) -> None:
        """Answer what cannot be used, and read no more from its sender for a while."""
        self.front.counts.errors += 1
        self.faults += 1
        self.slots.append(Slot(codec.error(reason)))
        self.flush()
        if self.faults >= MOST_ERRORS or self.decoder.held > codec.MOST_BYTES:
            self.decoder = codec.Decoder()  # it sends on before it has read why: none of that is kept
            self.end("too many commands that cannot be used")
        elif not self.ending:
            self.resting = True
            self.loop.call_later(PENALTY * 2.0 ** (self.faults - 1), self.rested)

    def rested(self) -> None:
        """Read on after a fault."""
        self.resting = False
        if not self.ending:
            self.advance()

    def answer(self, slot: Slot, line: bytes) -> None:
        """A command has its answer."""
        slot.answer = line
        slot.record = None
        self.flush()
        if self.ending or (not self.resting and (self.paused or self.decoder.partial)):
            self.advance()

    def flush(self) -> None:
        """Write the answers whose turn has come."""
        lines = []
        while self.slots and self.slots[0].answer:
            lines.append(self.slots.popleft().answer)
        if lines:
            self.write(b"".join(lines))
            if self.client is not None:
                self.client.heard = self.loop.time()
                self.client.working = bool(self.slots)
