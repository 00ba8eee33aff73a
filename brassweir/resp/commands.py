"""Decodes one client's commands, processes them in order and writes the replies in the same order."""

from __future__ import annotations

import asyncio

from brassweir.resp import codec, msg_put
from brassweir.resp.admission import ClientState
from brassweir.resp.channel import MAX_PENDING_COMMANDS, Channel
from brassweir.resp.host import ConnectionFront
from brassweir.resp.replies import ReplyQueue

ERROR_PAUSE_SECONDS = 0.2  # pause in reading after an invalid command, doubled with each one
MAX_ERRORS = 6  # then the connection is closed


class CommandChannel(Channel):
    """A channel that processes commands; a subclass decides when the connection ends.

    Every command of which a byte was read gets a reply, also while the channel drains: one that has come
    whole is processed, one that has come in part is refused.
    """

    def __init__(self, front: ConnectionFront, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop, front.read_buffer)
        self.front = front
        self.decoder = codec.Decoder()
        self.replies = ReplyQueue()
        self.client: ClientState | None = None
        self.error_paused = self.processing = False
        self.error_count = 0
        self.refusing = False  # nothing more is accepted: every command is refused
        self.partial_reply = codec.BUSY  # for a command in part when the connection ends
        self.last_reply_at: float | None = None  # loop time

    def drain(self, close_reason: str) -> None:
        """Stops reading, and closes once everything that was read has its reply."""
        raise NotImplementedError

    def on_data(self, data: memoryview) -> None:
        """Decodes bytes from the client and processes complete commands."""
        self.decoder.feed(data)
        if self.client is not None:
            self.client.last_active = self.loop.time()
        self.process_commands()
        if self.client is not None:
            self.front.limit_input()

    def on_writable(self) -> None:
        """Continues once the client reads its replies."""
        self.process_commands()

    def discard_command(self) -> None:
        """Frees the memory of the command that has come in part; it is refused once its rest was read."""
        self.front.counts.discarded += 1
        self.decoder.discard_command()
        self.update_state()

    def update_state(self) -> None:
        """Updates what the front knows of this connection."""
        client = self.client
        if client is not None:
            client.busy = bool(self.replies)
            client.stalled = self.decoder.partial or self.write_paused
            self.front.input_budget.update(client, self.decoder.buffered_bytes, self.decoder.discardable)

    def process_commands(self) -> None:
        """Processes complete commands up to the limits; while draining, sends EOF after the last reply."""
        if self.processing or self.closing:
            return  # called again from a reply within the loop below, or the connection is closing
        self.processing = True
        while not self.write_paused and len(self.replies) < MAX_PENDING_COMMANDS:
            if self.error_paused and not self.draining:
                break
            try:
                args = self.decoder.next()
            except codec.Malformed as error:
                self.reply_error(str(error))
                self.drain(str(error))
                break
            if args is None:
                if self.draining:
                    self.reply_to_partial_command()
                break
            try:
                self.handle_command(args)
            except Exception as error:  # a fault here must not cost other commands their replies
                self.front.log_event("command_fault", {"error": f"{type(error).__name__}: {error}"})
                self.reply_error("the command could not be processed")
        self.processing = False
        self.update_state()
        if not self.draining:
            self.set_read_paused(
                self.error_paused or self.write_paused or len(self.replies) >= MAX_PENDING_COMMANDS
            )
        elif not self.replies and not self.write_paused and not self.decoder.partial:
            self.finish()

    def reply_to_partial_command(self) -> None:
        """Ends the input of a draining connection with the reply to a command that has come in part."""
        if self.decoder.partial:
            self.decoder = codec.Decoder()
            self.replies.add(self.partial_reply)
            self.flush()

    def handle_command(self, args: list[bytes]) -> None:
        """Processes one command; an empty list stands for one that was discarded."""
        if args and args[0].upper() == b"PING" and len(args) == 1:
            if self.client is not None:
                self.client.has_pinged = True
            self.replies.add(codec.PONG)
            self.flush()
        elif not args or self.refusing:
            self.front.counts.busy += 1
            self.replies.add(codec.BUSY)
            self.flush()
        elif args[0].upper() == b"MSG.PUT":
            self.handle_put(args)
        else:
            self.reply_error("only PING and MSG.PUT are served")

    def handle_put(self, args: list[bytes]) -> None:
        """Submits the message of a MSG.PUT, or replies with an error."""
        try:
            submission = self.front.submitter.parse(args)
        except msg_put.InvalidSubmission as error:
            self.reply_error(str(error))
            return
        if self.client is not None:
            self.front.admission.mark_submitted(self.client.id)
        reply = self.replies.add()
        try:
            self.front.submitter.submit(submission, reply, self.on_reply)
        except Exception:
            self.replies.remove(reply)  # the caller replies with an error in its place
            raise

    def reply_error(self, reason: str) -> None:
        """Replies with an error and pauses reading; closes the connection after MAX_ERRORS."""
        self.front.counts.errors += 1
        self.error_count += 1
        self.replies.add(codec.error(reason))
        self.flush()
        if self.error_count >= MAX_ERRORS:
            self.refusing = True
            self.drain("too many invalid commands")
        elif not self.draining:
            self.error_paused = True
            self.loop.call_later(ERROR_PAUSE_SECONDS * 2.0 ** (self.error_count - 1), self.resume_after_error)

    def resume_after_error(self) -> None:
        """Resumes processing after an error pause."""
        self.error_paused = False
        if not self.draining:
            self.process_commands()

    def on_reply(self) -> None:
        """Writes the replies that are next in order, and goes on with commands that waited for them."""
        self.flush()
        if self.draining or (not self.error_paused and (self.read_paused or self.decoder.partial)):
            self.process_commands()

    def flush(self) -> None:
        """Writes the replies that are next in order."""
        lines = self.replies.take_ready()
        if lines:
            self.write(lines)
            self.last_reply_at = self.loop.time()
            if self.client is not None:
                self.client.last_active = self.last_reply_at
                self.client.busy = bool(self.replies)
