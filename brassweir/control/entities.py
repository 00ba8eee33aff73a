"""The entities a sender decides on: destinations, endpoints, calls, messages and queues by key."""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush

from brassweir import interface as api
from brassweir.control.aggregates import INF, CallTimes, Load
from brassweir.control.gate import Gate


class Endpoint:
    """An endpoint: its entry in the endpoint list and the state of its calls and connections."""

    __slots__ = (
        "avoid_until",
        "max_calls",
        "failure_streak",
        "usual_gap",
        "gate",
        "info",
        "calls_at_shortage",
        "last_success",
        "random_rank",
        "active_calls",
        "usable",
        "last_used",
    )

    def __init__(self, info: api.EndpointInfo, gate: Gate, random_rank: float) -> None:
        self.info, self.gate, self.random_rank = info, gate, random_rank
        self.usable, self.active_calls, self.failure_streak = True, 0, 0
        self.avoid_until = self.last_used = self.last_success = -INF
        self.max_calls = INF  # concurrent calls that its connections allow
        self.calls_at_shortage = INF  # concurrent calls when no further connection was available
        self.usual_gap = INF  # ms between two first attempts, a moving average, at most idle_close


class Destination:
    """A destination: its endpoints, its queued messages by deadline and its calls in flight."""

    __slots__ = (
        "calls",
        "endpoints",
        "gate",
        "queue",
        "id",
        "degraded",
        "last_success",
        "load",
        "call_times",
        "timeout_streak",
        "next_wake",
    )

    def __init__(self, ident: int, gate: Gate) -> None:
        self.id, self.gate = ident, gate
        self.endpoints: dict[str, Endpoint] = {}
        self.queue: list[tuple[float, int, Message]] = []  # a heap: (queue deadline, sequence, message)
        self.calls: dict[tuple[int, int], Call] = {}  # by message id and attempt, oldest first
        self.call_times, self.load = CallTimes(), Load()
        self.degraded = False  # its load counts apart: see Dispatcher._update_degraded
        self.next_wake, self.last_success = INF, -INF
        self.timeout_streak = 0

    def gates(self) -> list[Gate]:
        """Return the gates in use: a shared one, or one for each endpoint if routes are separate."""
        return [endpoint.gate for endpoint in self.endpoints.values() if endpoint.usable] or [self.gate]

    def oldest_call_sent_at(self) -> float:
        """Return the send time of the oldest call in flight, infinite if there is none."""
        return next((call.sent_at for call in self.calls.values()), INF)

    def head(self, now: float) -> Message | None:
        """Return the queued message with the earliest queue deadline, or None; drop stale heap entries.

        A message that can no longer meet its aim and may yield is queued by its final deadline instead, so
        that late messages don't make others late.
        """
        while self.queue:
            queue_deadline, _, message = self.queue[0]
            if message.queued and now + self.call_times.mean > message.queue_deadline and message.may_yield:
                message.queue_deadline, message.may_yield = message.deadline, False
            elif message.queued and message.queue_deadline == queue_deadline:
                return message
            heappop(self.queue)
            if message.queued:
                heappush(self.queue, (message.queue_deadline, message.sequence, message))
        return None


class Call:
    """A call, which may carry several messages and holds one slot until each of them has its outcome."""

    def __init__(self, endpoint: Endpoint, sent_at: float) -> None:
        self.endpoint, self.sent_at, self.other_calls = endpoint, sent_at, endpoint.active_calls
        self.pending_messages, self.message_count, self.is_trial = 0, 0, False
        self.result_recorded = False  # a call counts once as evidence, however many messages it carries


class Message:
    """A message without its final answer, or one that ended with an attempt still in flight."""

    def __init__(
        self,
        event: api.NewMessage,
        message_class: api.MessageClass,
        destination: Destination,
        sequence: int,
        now: float,
        may_yield: bool,
    ) -> None:
        self.id, self.message_class, self.key, self.destination, self.sequence = (
            event.id,
            message_class,
            event.key,
            destination,
            sequence,
        )
        self.deadline = now + event.left
        self.first_submitted = min(now, self.deadline - message_class.deadline)
        self.target_latency = (
            message_class.aim if 0 < message_class.aim < message_class.deadline else message_class.deadline
        )
        self.queue_deadline = self.first_submitted + self.target_latency
        self.in_order = message_class.in_order and bool(event.key)  # one at a time with others of its key
        self.may_yield = may_yield  # once late, to messages that can still meet their aim
        self.cost = 1.0  # expected call time relative to the mean of all destinations
        self.attempts, self.in_flight = 0, dict[int, Call]()  # in_flight: calls by attempt number
        # Send time and zone of the first attempt that may have run.
        self.possible_run_at, self.possible_run_zone = INF, ""
        self.queued = self.ended = self.was_sent = False


class KeyQueue:
    """The messages of one key in the order of submission; only the first may be sent."""

    def __init__(self) -> None:
        self.messages: deque[Message] = deque()
        self.paused_until = -INF  # set after an attempt that may still be running
