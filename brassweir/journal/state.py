"""The state of all messages and endpoints, rebuilt by replaying the journal's records. Pure.

Records of one message may repeat, since a snapshot holds what earlier segments held, and some may be lost to
damage. In whatever order they are applied, a message never loses the fact that an attempt may have run.

The state counts the bytes that a snapshot of it takes. The size of the journal is compared with that count,
so whatever a compaction drops must not be in it.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict

from brassweir.journal.endpoint_history import EndpointHistory
from brassweir.journal.message import MessageState, without_content
from brassweir.journal.records import Began, Ended, Final, Intent, Record, Recovering, Taken, Told, Whole
from brassweir.journal.recovery_states import RecoveryStates

RECOVERY_SHARE = 1 / 4  # of the bytes kept of endpoints and destinations


class JournalState:
    """The state that the records add up to.

    ``by_id`` holds messages in the order accepted, ``history`` what is known of the endpoints. ``last_at`` is
    the latest wall ms in any record, ``runs`` the number of process starts, ``sender`` the last one to start.
    """

    def __init__(self) -> None:
        self.by_id: OrderedDict[int, MessageState] = OrderedDict()
        self.history = EndpointHistory()
        self.recoveries = RecoveryStates()
        self.last_id = 0
        self.last_at = 0.0
        self.runs = 0
        self.sender = ""
        self._open_count = 0
        self._message_bytes = 0
        self._uncounted: dict[int, MessageState] = {}  # changed since they were last counted
        self._settled: list[tuple[float, int]] = []  # a heap of when each was answered, and its id

    @property
    def live_bytes(self) -> int:
        """The bytes that a snapshot of this state takes, without its header and its end."""
        self.count_changes()
        return self._message_bytes + self.history.kept_bytes + self.recoveries.kept_bytes

    def limit_endpoints(self, max_bytes: int) -> None:
        """Limit what is kept of endpoints and destinations, which is owed to nobody."""
        self.history.limit(int(max_bytes * (1.0 - RECOVERY_SHARE)))
        self.recoveries.limit(int(max_bytes * RECOVERY_SHARE))

    @property
    def open_count(self) -> int:
        """The number of accepted messages without an answer."""
        self.count_changes()
        return self._open_count

    def apply(self, record: Record) -> None:
        """Add what one record says. Records of a message may repeat, and come in any order."""
        if isinstance(record, Whole):
            return
        if isinstance(record, Began):
            self.runs += 1
            self.sender = record.sender
            self.last_at = max(self.last_at, record.at)
            return
        if isinstance(record, Recovering):
            self.recoveries.add(record)
            self.last_at = max(self.last_at, record.since)
            return
        if record.id == 0:  # an outcome kept for its endpoint, after its message was dropped
            if isinstance(record, Ended):
                self.history.add(record)
            return
        message = self.by_id.get(record.id)
        if message is None:
            message = self.by_id[record.id] = MessageState(record.id)
            self.last_id = max(self.last_id, record.id)
        self._apply_to(message, record)
        self._uncounted[record.id] = message

    def forget(self, ident: int) -> None:
        """Drop a message that need not be kept any longer."""
        message = self.by_id.pop(ident, None)
        if message is not None:
            self._uncounted.pop(ident, None)
            self._message_bytes -= message.kept_bytes
            self._open_count -= message.counted_open

    def forget_expired(self, now: float, retention_ms: float) -> None:
        """Drop messages with an answer older than ``retention_ms`` and no receipt to deliver."""
        self.count_changes()
        while self._settled and now - self._settled[0][0] > retention_ms:
            _, ident = heapq.heappop(self._settled)
            self.forget(ident)

    def count_changes(self) -> None:
        """Count the messages that have changed. Takes long only after a journal was read back."""
        if not self._uncounted:
            return
        for message in self._uncounted.values():
            kept_bytes, is_open = message.count_kept_bytes(), message.is_open
            self._message_bytes += kept_bytes - message.kept_bytes
            self._open_count += is_open - message.counted_open
            message.kept_bytes, message.counted_open = kept_bytes, is_open
            if not is_open and not message.counted_settled and message.is_settled:
                assert message.final is not None
                message.counted_settled = True
                heapq.heappush(self._settled, (message.final.at, message.id))
        self._uncounted.clear()

    def _apply_to(self, message: MessageState, record: Taken | Intent | Ended | Final | Told) -> None:
        if isinstance(record, Taken):
            if message.taken is None:
                message.set_taken(
                    record if message.final is None else without_content(record, message.first_run_at)
                )
        elif message.final is not None and isinstance(record, Intent | Ended):
            if isinstance(record, Ended):
                self.history.add(record)
        elif isinstance(record, Intent):
            message.intents.setdefault(record.number, record)
            self.last_at = max(self.last_at, record.at)
        elif isinstance(record, Ended):
            message.ended.setdefault(record.number, record)
            self.last_at = max(self.last_at, record.at)
            self.history.add(record)
        elif isinstance(record, Final):
            if message.final is None and message.taken is not None:
                # Of an ended message only its identity, its answer and when it may first have run are needed.
                message.set_taken(without_content(message.taken, message.first_run_at))
                message.intents, message.ended = {}, {}
            message.final = message.final or record
            self.last_at = max(self.last_at, record.at)
        else:
            message.receipt_delivered = True
