"""The one check that stands right before a request's first byte, on whatever path it leaves.

A decision to send is made on what was known then. Between it and the byte lie an intent to be kept, a
wait for a connection, a set-up, a loop that stood still. So the last question is asked here, by every
carrier, in the turn in which the byte is written: is the message still open, may it be repeated still,
does the list name the endpoint as ready, and does anybody vouch for the list.
"""

from __future__ import annotations

from brassweir.core.ledger import MessageRecord
from brassweir.core.ports import BlockReason
from brassweir.interface import EndpointInfo, EntryState, ListKind, ListUpdate


class FirstByteCheck:
    """What is known of the endpoint list at this moment, and what it allows."""

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointInfo] = {}
        self.list_usable = True

    def update(self, news: ListUpdate) -> None:
        """News of the list; from now on it counts, whatever was decided before."""
        if news.kind is ListKind.UNCONFIRMED:
            self.list_usable = False
        elif news.kind is ListKind.USABLE:
            self.list_usable = True
        for info in news.entries:
            self.endpoints[info.name] = info

    def block(
        self, record: MessageRecord, endpoint: str, now: float, repeat_until: float
    ) -> BlockReason | None:
        """What bars an attempt at a message from beginning ``now`` (ms), or None."""
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
