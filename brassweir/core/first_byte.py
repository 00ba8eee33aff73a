"""The check that every carrier makes right before it writes the first byte of a request.

Between the decision to send and that byte, time passes: the intent is persisted, the attempt waits for a
connection, the event loop may be blocked. So this check is made in the loop iteration in which the byte is
written: the message is still open, a repeat is still allowed, the endpoint list has the endpoint as ready,
and the list is confirmed.
"""

from __future__ import annotations

from brassweir.core.ledger import MessageRecord
from brassweir.core.ports import BlockReason
from brassweir.interface import EndpointInfo, EntryState, ListKind, ListUpdate


class FirstByteCheck:
    """The endpoint list as it is now, whether or not the decision module has received it yet."""

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointInfo] = {}
        self.list_usable = True

    def update(self, update: ListUpdate) -> None:
        """Apply an update of the list; it holds at once, also for attempts already decided on."""
        if update.kind is ListKind.UNCONFIRMED:
            self.list_usable = False
        elif update.kind is ListKind.USABLE:
            self.list_usable = True
        for info in update.entries:
            self.endpoints[info.name] = info

    def block(
        self, record: MessageRecord, endpoint: str, now: float, repeat_until: float
    ) -> BlockReason | None:
        """Return why an attempt may not begin at ``now`` (ms), or None if it may.

        ``repeat_until`` (ms) is the end of the message's idempotency window.
        """
        if record.answer is not None:
            return BlockReason.MESSAGE_OVER
        if now > repeat_until:
            return BlockReason.WINDOW_OVER
        if not self.list_usable:
            return BlockReason.LIST_UNCONFIRMED
        info = self.endpoints.get(endpoint)
        if info is None or info.state is not EntryState.READY:
            return BlockReason.ENDPOINT_NOT_READY
        if info.destination != record.submission.destination:
            return BlockReason.ENDPOINT_NOT_READY
        return None
