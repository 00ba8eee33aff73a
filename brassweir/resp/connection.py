"""A client's connection from its registration to its end, which leaves no command unanswered.

Every way in which the sender ends a connection passes through :meth:`Connection.drain`: what was read gets
its reply, then EOF follows, and what still arrives is discarded. Aborted are only connections whose client
does not read or close, and those from which nothing is left to be read.
"""

from __future__ import annotations

import asyncio

from brassweir.resp import codec
from brassweir.resp.commands import CommandChannel
from brassweir.resp.host import ConnectionFront
from brassweir.resp.input_budget import CLIENT_TIMEOUT_SECONDS
from brassweir.resp.replies import ReplyQueue

MAX_REPLY_TIMEOUTS = 2  # then the connection is aborted


class Connection(CommandChannel):
    """The connection of one client, registered at the front that accepted it."""

    def __init__(self, front: ConnectionFront, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(front, loop)
        self.client_id = 0  # kept for the log after the client is deregistered
        self.reply_timeouts = 0
        self.close_reason = ""  # why this side closes the connection; empty if the client does

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the client, or closes the connection unread if there is no capacity."""
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
                "unanswered": len(self.replies),
                "partial": self.decoder.partial,
            },
        )
        self.deregister()
        self.withdraw_unanswered()
        self.replies = ReplyQueue()

    def withdraw_unanswered(self) -> None:
        """Withdraws the messages without a reply; they are refused once the withdrawals are persisted."""
        for reply in self.replies.unanswered():
            self.front.submitter.withdraw(reply)

    def deregister(self) -> None:
        """Removes the client from the front."""
        if self.client is not None:
            self.front.remove(self.client)
            self.client = None

    @property
    def settled(self) -> bool:
        """Whether nothing is left to be read, processed or written, and the client has had time to read."""
        last_reply = self.last_reply_at
        return (
            not self.replies
            and not self.decoder.partial
            and (last_reply is None or self.loop.time() - last_reply >= CLIENT_TIMEOUT_SECONDS)
            and self.transport is not None
            and not self.transport.get_write_buffer_size()
            and not self.unread_bytes()
        )

    def close_settled(self, close_reason: str) -> None:
        """Closes a settled connection at once, to free its descriptor."""
        self.close_reason = self.close_reason or close_reason
        self.front.counts.dropped += 1
        self.deregister()
        self.abort()

    def drain(self, close_reason: str, partial_reply: bytes = codec.BUSY) -> None:
        """Stops reading, and closes once everything that was read has its reply.

        ``partial_reply`` is for a command that has come in part: its client may already have written the
        rest.
        """
        if self.draining:
            return
        self.close_reason, self.partial_reply = close_reason, partial_reply
        if self.client is not None:
            self.front.admission.mark_closing(self.client.id)
        self.begin_drain()
        self.process_commands()

    def refuse_unanswered(self) -> None:
        """Accepts nothing more: withdraws the messages without a reply, which are then refused."""
        self.refusing = True
        self.withdraw_unanswered()
        self.process_commands()

    def fail_unanswered(self) -> None:
        """Replies with an error to every command without a reply, as the process ends."""
        self.refusing = True
        self.withdraw_unanswered()
        for reply in self.replies.unanswered():
            reply.line = codec.error("the sender has ended")
        self.flush()
        self.process_commands()

    def on_reply_timeout(self) -> None:
        """Refuses what has no reply, later fails it; aborts if the client does not read."""
        self.reply_timeouts += 1
        if self.write_paused or self.reply_timeouts > MAX_REPLY_TIMEOUTS:
            self.abort()
            return
        self.begin_drain()
        self.refuse_unanswered() if self.reply_timeouts == 1 else self.fail_unanswered()

    def eof_received(self) -> bool:
        """Refuses what has no reply: a client that sends EOF has usually given up, and may try again."""
        self.client_ended = True
        if self.lingering is not None or not (self.replies or self.decoder.partial):
            return False  # the loop closes the connection
        self.refusing = True
        self.drain("closed by the client")
        self.refuse_unanswered()
        return True

    def expire(self) -> None:
        """Closes the connection for inactivity, unless bytes have arrived that the loop is about to read."""
        if self.draining or (not self.read_paused and self.unread_bytes()):
            return
        if self.client is not None and self.client.has_submitted:
            self.front.counts.idled += 1
        else:
            self.front.counts.silenced += 1
        self.drain("inactive for too long", codec.error("the command did not come whole"))
