"""Submits the messages of MSG.PUT commands to the engine, and sets the commands' replies.

``+OK`` is the reply once the message is journaled and accepted by the decision module, before its first
attempt.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from brassweir.core.engine import Engine
from brassweir.core.ledger import MessageRecord, Waiter
from brassweir.core.ports import Answer, FinalAnswer, Submission
from brassweir.resp import codec, msg_put
from brassweir.resp.counts import Counts
from brassweir.resp.replies import PendingReply

LogEvent = Callable[[str, dict[str, object]], None]
OnReply = Callable[[], None]  # called whenever a reply has been set


class Submitter:
    """Submits messages for all connections of a front, whose callbacks it takes; see Front."""

    def __init__(
        self,
        engine: Engine,
        counts: Counts,
        destination_exists: Callable[[int], bool],
        notice_waiter: Callable[[MessageRecord], Waiter],
        mark_reported: Callable[[int], None],
        log_event: LogEvent,
    ) -> None:
        self.engine, self.counts, self.destination_exists = engine, counts, destination_exists
        self.notice_waiter, self.mark_reported, self.log_event = notice_waiter, mark_reported, log_event

    def parse(self, args: list[bytes]) -> Submission:
        """Returns the message of a MSG.PUT command. Raises InvalidSubmission."""
        submission = msg_put.parse(args, self.engine.ledger.classes, self.destination_exists)
        if (submission.owner, submission.identity) in self.engine.ledger.by_identity:
            raise msg_put.InvalidSubmission("a message of this id was handed in before")
        return submission

    def submit(self, submission: Submission, reply: PendingReply, on_reply: OnReply) -> None:
        """Submits a message; its command is replied to once it is accepted or has a final answer."""
        engine = self.engine
        if engine.ledger.open_count >= engine.settings.max_open:
            self.counts.busy += 1
            self.log_event("refused", {"id": submission.identity, "why": "max_open messages are open"})
            reply.line = codec.BUSY
            on_reply()
            return
        _, record = engine.submit(
            submission, lambda answer: self._on_final_answer(record, reply, on_reply, answer)
        )
        reply.record = record
        engine.when_admitted(record, partial(self._on_accepted, reply, on_reply))

    def withdraw(self, reply: PendingReply) -> None:
        """Withdraws a message without a reply; it is refused once the withdrawal is persisted."""
        record, reply.record = reply.record, None
        if record is not None:
            self.counts.withdrawn += 1
            self.engine.withdraw(record)

    def _on_accepted(self, reply: PendingReply, on_reply: OnReply) -> None:
        self.counts.taken += 1
        reply.line, reply.record = codec.OK, None
        on_reply()

    def _on_final_answer(
        self, record: MessageRecord, reply: PendingReply, on_reply: OnReply, answer: FinalAnswer
    ) -> None:
        if reply.line:  # accepted before: the outcome is sent in a notice
            self.notice_waiter(record)(answer)
            return
        self.mark_reported(record.id)
        if answer.answer is Answer.REFUSED:
            self.counts.busy += 1
            reply.line = codec.busy(answer.retry_after)
        else:
            reply.line = codec.OK if answer.answer is Answer.DELIVERED else codec.error(answer.reason)
        reply.record = None
        on_reply()
