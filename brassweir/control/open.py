"""What is open: messages, the calls they went out with, and the destinations and endpoints they are for."""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush

from brassweir import interface as api
from brassweir.control.gate import Gate
from brassweir.control.means import INF, Load, Mean


class Endpoint:
    """One endpoint: what the list says of it and how its last calls went."""

    __slots__ = (
        "avoid",
        "conns",
        "fails",
        "gap",
        "gate",
        "info",
        "lack",
        "last_ok",
        "lot",
        "out",
        "usable",
        "used",
    )

    def __init__(self, info: api.EndpointInfo, gate: Gate, lot: float) -> None:
        self.info, self.gate, self.lot = info, gate, lot
        self.usable, self.out, self.fails = True, 0, 0
        self.avoid = self.used = self.last_ok = -INF
        self.conns = INF  # calls at once that its connections allow
        self.lack = INF  # other calls out when a connection was last missing
        self.gap = INF  # usual time between two messages there, up to the idle time


class Destination:
    """One destination: its endpoints, its held messages by deadline and its calls."""

    __slots__ = (
        "calls",
        "endpoints",
        "gate",
        "heap",
        "id",
        "ill",
        "last_pass",
        "load",
        "mean",
        "unanswered",
        "woken",
    )

    def __init__(self, ident: int, gate: Gate) -> None:
        self.id, self.gate = ident, gate
        self.endpoints: dict[str, Endpoint] = {}
        self.heap: list[tuple[float, int, Message]] = []  # held: (due, order, message)
        self.calls: dict[tuple[int, int], Call] = {}  # in the order of sending
        self.mean, self.load = Mean(), Load()
        self.ill = False  # apart from the rest: see Sender._judge
        self.woken, self.last_pass = INF, -INF  # next wake set; when a call last passed
        self.unanswered = 0  # calls in a row

    def gates(self) -> list[Gate]:
        """The gates in use: one where its endpoints share a limit, else one for each route."""
        return [endpoint.gate for endpoint in self.endpoints.values() if endpoint.usable] or [self.gate]

    def oldest(self) -> float:
        """When the oldest call still out was sent."""
        return next((call.sent for call in self.calls.values()), INF)

    def head(self, now: float) -> Message | None:
        """The held message with the earliest deadline. Where worth drops fastest just after the aim, one that
        cannot make it goes by its last deadline: guards against the late making all others late too."""
        while self.heap:
            due, _, message = self.heap[0]
            if message.held and now + self.mean.value > message.due and message.yields:
                message.due, message.yields = message.deadline, False
            elif message.held and message.due == due:
                return message
            heappop(self.heap)
            if message.held:
                heappush(self.heap, (message.due, message.order, message))
        return None


class Call:
    """One call, which holds one slot until all messages in it have their outcomes."""

    def __init__(self, endpoint: Endpoint, sent: float) -> None:
        self.endpoint, self.sent, self.others = endpoint, sent, endpoint.out
        self.messages, self.size, self.trial = 0, 0, False  # without outcome, all, is it the trial
        self.learnt = False  # its fate is evidence once, however many messages it holds


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
        self.id, self.cls, self.key, self.dest, self.order = event.id, cls, event.key, dest, order
        self.deadline = now + event.left
        self.first = min(now, self.deadline - cls.deadline)  # first hand-in
        self.span = cls.aim if 0 < cls.aim < cls.deadline else cls.deadline
        self.due = self.first + self.span
        self.turns = cls.in_order and bool(event.key)  # one at a time with others of its key
        self.yields = yields  # to messages that can still make their aim
        self.cost = 1.0
        self.tries, self.live = 0, dict[int, Call]()  # attempts: all, outstanding
        self.may_run, self.zone = INF, ""  # send time of the first attempt that may have run, and where
        self.held = self.over = self.was_sent = False


class KeyLine:
    """The messages of one key in the order taken; the first has the turn."""

    def __init__(self) -> None:
        self.queue: deque[Message] = deque()
        self.rest = -INF  # the key pauses until then
