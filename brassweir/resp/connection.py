"""Processes one client's commands in order and writes the replies in the same order.

Commands that were read completely before the connection starts to close get a reply; later ones are ignored.
"""

from __future__ import annotations

import asyncio
from collections import deque

from brassweir.core.ledger import MessageRecord
from brassweir.core.ports import Answer, FinalAnswer, Submission
from brassweir.resp import codec, msg_put
from brassweir.resp.admission import ClientState
from brassweir.resp.channel import Channel
from brassweir.resp.host import ConnectionFront

MAX_PENDING_COMMANDS = 64  # without a reply; reading pauses at this number
ERROR_PAUSE_SECONDS = 0.2  # pause in reading after an invalid command, doubled with each one
MAX_ERRORS = 6  # then the connection is closed


class PendingReply:
    """A command's position in the order of replies; ``reply`` is empty until it is known."""

    __slots__ = ("record", "reply")

    def __init__(self, reply: bytes = b"") -> None:
        self.reply = reply
        self.record: MessageRecord | None = None


class Connection(Channel):
    """A client's connection: decodes its commands, submits its messages and writes the replies."""

    def __init__(self, front: ConnectionFront, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.front = front
        self.decoder = codec.Decoder()
        self.pending_replies: deque[PendingReply] = deque()
        self.client: ClientState | None = None
        self.client_id = 0  # kept for the log after the client is deregistered
        self.error_paused = self.processing = False
        self.error_count = 0
        self.close_reason = ""  # why this side closes the connection; empty if the client does

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the client, or closes the connection if there is no capacity."""
        super().connection_made(transport)
        self.client = self.front.admit(self)
        self.client_id = self.client.id if self.client is not None else 0
        if self.client is None:
            self.draining, self.close_reason = True, "no capacity"
            transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Logs the close, deregisters the client and withdraws its unanswered messages."""
        super().connection_lost(exc)
        self.front.log_event(
            "client_closed",
            {
                "client": self.client_id,
                "why": self.close_reason or (str(exc) if exc else "closed by the client"),
                "unanswered": len(self.pending_replies),
            },
        )
        self.deregister()
        self.withdraw_unanswered()

    def withdraw_unanswered(self) -> None:
        """Withdraws messages without a reply: their client cannot learn that they were accepted."""
        for pending in self.pending_replies:
            if pending.record is not None and not pending.reply:
                self.front.counts.withdrawn += 1
                self.front.engine.withdraw(pending.record)
        self.pending_replies.clear()

    def deregister(self) -> None:
        """Removes the client from the front."""
        if self.client is not None:
            self.front.remove(self.client.id)
            self.client = None

    def drop(self, close_reason: str) -> None:
        """Aborts the connection to free its capacity."""
        self.close_reason = self.close_reason or close_reason
        self.front.counts.dropped += 1
        self.deregister()
        self.abort()

    def drain(self, close_reason: str) -> None:
        """Stops reading, and closes once every command read completely has its reply."""
        if not self.draining:
            self.close_reason = close_reason
            self.begin_close()
            self.process_commands()

    def expire(self) -> None:
        """Closes the connection for inactivity, with an error reply to an incomplete command."""
        if self.draining:
            return
        if self.client is not None and self.client.has_submitted:
            self.front.counts.idled += 1
        else:
            self.front.counts.silenced += 1
        if self.decoder.partial:
            self.reply_error("the command did not come whole")
        self.drain("inactive for too long")

    def on_data(self, data: bytes) -> None:
        """Decodes bytes from the client and processes complete commands."""
        self.decoder.feed(data)
        if self.client is not None:
            self.client.last_active = self.loop.time()
        self.process_commands()

    def on_writable(self) -> None:
        """Continues once the client reads its replies."""
        self.process_commands()

    def process_commands(self) -> None:
        """Processes complete commands up to the limits; while draining, sends EOF after the last reply."""
        if self.processing or self.closing:
            return  # called again from a reply within the loop below, or the connection is closing
        self.processing = True
        while (
            not self.write_paused
            and len(self.pending_replies) < MAX_PENDING_COMMANDS
            and (self.draining or not self.error_paused)
        ):
            try:
                args = self.decoder.next()
            except codec.Malformed as error:
                self.reply_error(str(error))
                self.drain(str(error))
                break
            if args is None:
                break
            self.handle_command(args)
        self.processing = False
        if self.client is not None:
            self.client.busy, self.client.partial_command = bool(self.pending_replies), self.decoder.partial
            self.front.set_buffered(self.client, self.decoder.buffered_bytes)
        if not self.draining:
            self.set_read_paused(
                self.error_paused or self.write_paused or len(self.pending_replies) >= MAX_PENDING_COMMANDS
            )
        elif not self.pending_replies and not self.write_paused:
            self.send_eof()

    def handle_command(self, args: list[bytes]) -> None:
        """Processes one command."""
        name = args[0].upper()
        if name == b"PING" and len(args) == 1:
            if self.client is not None:
                self.client.has_pinged = True
            self.pending_replies.append(PendingReply(codec.PONG))
            self.flush()
        elif name == b"MSG.PUT":
            self.handle_put(args)
        else:
            self.reply_error("only PING and MSG.PUT are served")

    def handle_put(self, args: list[bytes]) -> None:
        """Processes MSG.PUT: submits the message, or replies with an error or -BUSY."""
        front, engine = self.front, self.front.engine
        try:
            submission = msg_put.parse(args, engine.ledger.classes, front.destination_exists)
            if (submission.owner, submission.identity) in engine.ledger.by_identity:
                raise msg_put.InvalidSubmission("a message of this id was handed in before")
        except msg_put.InvalidSubmission as error:
            return self.reply_error(str(error))
        if self.client is not None:
            front.admission.mark_submitted(self.client.id)
        pending = PendingReply()
        self.pending_replies.append(pending)
        if engine.ledger.open_count >= engine.settings.max_open:
            front.counts.busy += 1
            front.log_event("refused", {"id": submission.identity, "why": "max_open messages are open"})
            return self.set_reply(pending, codec.busy(0.0))
        self.submit(submission, pending)

    def submit(self, submission: Submission, pending: PendingReply) -> None:
        """Submits a message to the engine and replies once it is accepted or has a final answer."""
        front = self.front

        def on_final_answer(answer: FinalAnswer) -> None:
            if pending.reply:  # accepted before: the outcome is sent in a notice
                front.notice_waiter(record)(answer)
                return
            front.mark_reported(record.id)
            if answer.answer is Answer.REFUSED:
                front.counts.busy += 1
                self.set_reply(pending, codec.busy(answer.retry_after))
            elif answer.answer is Answer.DELIVERED:
                self.set_reply(pending, codec.OK)
            else:
                self.set_reply(pending, codec.error(answer.reason))

        def on_accepted() -> None:
            front.counts.taken += 1
            self.set_reply(pending, codec.OK)

        _, record = front.engine.submit(submission, on_final_answer)
        pending.record = record
        front.engine.when_admitted(record, on_accepted)

    def reply_error(self, reason: str) -> None:
        """Replies with an error and pauses reading; closes the connection after MAX_ERRORS."""
        self.front.counts.errors += 1
        self.error_count += 1
        self.pending_replies.append(PendingReply(codec.error(reason)))
        self.flush()
        if self.error_count >= MAX_ERRORS or self.decoder.unread_bytes > codec.MAX_COMMAND_BYTES:
            self.decoder = codec.Decoder()  # discards commands already received
            self.drain("too many invalid commands")
        elif not self.draining:
            self.error_paused = True
            self.loop.call_later(ERROR_PAUSE_SECONDS * 2.0 ** (self.error_count - 1), self.resume_after_error)

    def resume_after_error(self) -> None:
        """Resumes processing after an error pause."""
        self.error_paused = False
        if not self.draining:
            self.process_commands()

    def set_reply(self, pending: PendingReply, line: bytes) -> None:
        """Sets a command's reply and writes all replies that are next in order."""
        pending.reply = line
        pending.record = None
        self.flush()
        if self.draining or (not self.error_paused and (self.read_paused or self.decoder.partial)):
            self.process_commands()

    def flush(self) -> None:
        """Writes the replies that are next in order."""
        lines = []
        while self.pending_replies and self.pending_replies[0].reply:
            lines.append(self.pending_replies.popleft().reply)
        if lines:
            self.write(b"".join(lines))
            if self.client is not None:
                self.client.last_active = self.loop.time()
                self.client.busy = bool(self.pending_replies)
