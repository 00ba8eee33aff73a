"""What is open: messages, the calls they went out with, and the destinations and endpoints they are for."""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush

from brassweir import interface as api
from brassweir.control.aggregates import INF, CallTimes, Load
from brassweir.control.gate import Gate


class Endpoint:
    """One endpoint: what the list says of it and how its last calls went."""

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

    def __init__(self, info: api.EndpointInfo, gate: Gate, lot: float) -> None:
        self.info, self.gate, self.random_rank = info, gate, lot
        self.usable, self.active_calls, self.failure_streak = True, 0, 0
        self.avoid_until = self.last_used = self.last_success = -INF
        self.max_calls = INF  # calls at once that its connections allow
        self.calls_at_shortage = INF  # other calls out when a connection was last missing
        self.usual_gap = INF  # usual time between two messages there, up to the idle time


class Destination:
    """One destination: its endpoints, its held messages by deadline and its calls."""

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
        self.queue: list[tuple[float, int, Message]] = []  # held: (due, order, message)
        self.calls: dict[tuple[int, int], Call] = {}  # in the order of sending
        self.call_times, self.load = CallTimes(), Load()
        self.degraded = False  # apart from the rest: see Sender._judge
        self.next_wake, self.last_success = INF, -INF  # next wake set; when a call last passed
        self.timeout_streak = 0  # calls in a row

    def gates(self) -> list[Gate]:
        """The gates in use: one where its endpoints share a limit, else one for each route."""
        return [endpoint.gate for endpoint in self.endpoints.values() if endpoint.usable] or [self.gate]

    def oldest_call_sent_at(self) -> float:
        """When the oldest call still out was sent."""
        return next((call.sent_at for call in self.calls.values()), INF)

    def head(self, now: float) -> Message | None:
        """The held message with the earliest deadline. Where worth drops fastest just after the aim, one that
        cannot make it goes by its last deadline: guards against the late making all others late too."""
        while self.queue:
            due, _, message = self.queue[0]
            if message.queued and now + self.call_times.mean > message.queue_deadline and message.may_yield:
                message.queue_deadline, message.may_yield = message.deadline, False
            elif message.queued and message.queue_deadline == due:
                return message
            heappop(self.queue)
            if message.queued:
                heappush(self.queue, (message.queue_deadline, message.sequence, message))
        return None


class Call:
    """One call, which holds one slot until all messages in it have their outcomes."""

    def __init__(self, endpoint: Endpoint, sent: float) -> None:
        self.endpoint, self.sent_at, self.other_calls = endpoint, sent, endpoint.active_calls
        self.pending_messages, self.message_count, self.is_trial = (
            0,
            0,
            False,
        )  # without outcome, all, is it the trial
        self.result_recorded = False  # its fate is evidence once, however many messages it holds


class Message:
    """A message taken and not yet over, or over with an attempt still out."""

    def __init__(
        self,
        event: api.NewMessage,
        cls: api.MessageClass,
        dest: Destination,
        order: int,
        now: float,
        yields: bool,
    ) -> None:
        self.id, self.message_class, self.key, self.destination, self.sequence = (
            event.id,
            cls,
            event.key,
            dest,
            order,
        )
        self.deadline = now + event.left
        self.first_submitted = min(now, self.deadline - cls.deadline)  # first hand-in
        self.target_latency = cls.aim if 0 < cls.aim < cls.deadline else cls.deadline
        self.queue_deadline = self.first_submitted + self.target_latency
        self.in_order = cls.in_order and bool(event.key)  # one at a time with others of its key
        self.may_yield = yields  # to messages that can still make their aim
        self.cost = 1.0
        self.attempts, self.in_flight = 0, dict[int, Call]()  # attempts: all, outstanding
        self.possible_run_at, self.possible_run_zone = (
            INF,
            "",
        )  # send time of the first attempt that may have run, and where
        self.queued = self.ended = self.was_sent = False


class KeyQueue:
    """The messages of one key in the order taken; the first has the turn."""

    def __init__(self) -> None:
        self.messages: deque[Message] = deque()
        self.paused_until = -INF  # the key pauses until then
