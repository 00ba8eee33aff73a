"""An independent model of the six rules on sends and answers, checked against the actions of one sender."""

from __future__ import annotations

from brassweir import interface as api
from brassweir.control import Sender

DID_NOT_RUN = (api.Result.BUSY, api.Result.NO_CONNECTION, api.Result.CONNECTION_LIMIT, api.Result.NOT_STARTED)
MAY_STILL_RUN = (api.Result.TIMEOUT, api.Result.RESET, api.Result.CANCELLED)


class BrokenRule(AssertionError):
    """The sender broke one of the rules."""


class TrackedMessage:
    """A message as the checker sees it."""

    def __init__(self, event: api.NewMessage, message_class: api.MessageClass, now: float) -> None:
        self.event, self.message_class, self.deadline = event, message_class, now + event.left
        self.attempts = 0
        self.in_flight: dict[int, tuple[str, float]] = {}
        self.possible_run: tuple[float, str] | None = None  # first attempt that may have run: send time, zone
        self.ended = False
        self.withdrawn_in = -1  # the turn that withdrew it; answers in the same turn are allowed


class CheckedSender:
    """A sender whose every action is checked; raises BrokenRule."""

    def __init__(self, settings: api.Settings, seed: int = 1, now: float = 0.0) -> None:
        self.settings, self.now = settings, now
        self.sender = Sender(settings, seed, now)
        self.messages: dict[int, TrackedMessage] = {}
        self.infos: dict[str, api.EndpointInfo] = {}
        self.unready_since: dict[str, float] = {}
        self.unconfirmed = False
        self.wait_until: dict[object, float] = {}
        self.wait_reported_in: dict[object, int] = {}  # by turn; sends in that turn are allowed
        self.messages_of_key: dict[str, list[TrackedMessage]] = {}
        self.paused_until: dict[str, float] = {}
        self.open_calls: dict[tuple[int, str, int], int] = {}
        self.call_of: dict[tuple[int, int], tuple[int, str, int]] = {}
        self.turn = 0
        self.timers: list[float] = []

    def wait_scope(self, endpoint: str, destination: int) -> object:
        """Return what a requested wait applies to: a destination, or an endpoint with a separate route."""
        info = self.infos[endpoint]
        apart = any(kind.name == info.kind and kind.separate_routes for kind in self.settings.kinds)
        return (endpoint, destination) if apart else destination

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Pass events to the sender, check its actions and return them."""
        self.now, self.turn = now, self.turn + 1
        for event in events:
            self.follow_event(event)
        actions = self.sender.handle(now, events)
        for action in actions:
            self.check_action(action)
        for message in self.messages.values():
            if not message.ended and not message.in_flight and now > message.deadline + 20:
                raise BrokenRule(f"message {message.event.id} had no answer in time")
        return actions

    def follow_event(self, event: api.Event) -> None:
        """Update the model by one event."""
        if isinstance(event, api.ListUpdate):
            if event.kind is api.ListKind.FAILED:
                return
            if event.kind in (api.ListKind.UNCONFIRMED, api.ListKind.USABLE):
                self.unconfirmed = event.kind is api.ListKind.UNCONFIRMED
                return
            if event.kind is not api.ListKind.DELTA:
                for name in self.infos.keys() - {info.name for info in event.entries}:
                    self.unready_since.setdefault(name, self.now)
            for info in event.entries:
                self.infos[info.name] = info
                if info.state is api.EntryState.READY:
                    self.unready_since.pop(info.name, None)
                else:
                    self.unready_since.setdefault(info.name, self.now)
        elif isinstance(event, api.NewMessage):
            message_class = next(c for c in self.settings.classes if c.name == event.class_name)
            message = self.messages[event.id] = TrackedMessage(event, message_class, self.now)
            if message_class.in_order and event.key:
                self.messages_of_key.setdefault(event.key, []).append(message)
        elif isinstance(event, api.Withdrawn):
            if event.id in self.messages:
                if not self.messages[event.id].ended:
                    self.messages[event.id].withdrawn_in = self.turn
                self.messages[event.id].ended = True
        elif isinstance(event, api.AttemptEnded):
            self.follow_outcome(event)

    def follow_outcome(self, event: api.AttemptEnded) -> None:
        """Update the model by the result of an attempt."""
        message = self.messages.get(event.id)
        if message is None or event.attempt not in message.in_flight:
            return
        endpoint, sent = message.in_flight.pop(event.attempt)
        call = self.call_of.pop((event.id, event.attempt))
        self.open_calls[call] -= 1
        if not self.open_calls[call]:
            del self.open_calls[call]
        if event.result not in DID_NOT_RUN and message.possible_run is None:
            message.possible_run = (sent, self.infos[endpoint].zone)
        if message.message_class.in_order and event.result in MAY_STILL_RUN:
            self.paused_until[message.event.key] = self.now + self.settings.order_pause
        if event.result is api.Result.BUSY and event.wait > 0:
            scope = self.wait_scope(endpoint, message.event.destination)
            self.wait_reported_in[scope] = self.turn
            self.wait_until[scope] = max(self.wait_until.get(scope, 0.0), self.now + event.wait)
        if event.closed:
            message.ended = True

    def check_action(self, action: api.Action) -> None:
        """Check one action and update the model."""
        if isinstance(action, api.SetTimer):
            self.timers.append(action.at)
        elif isinstance(action, api.Send):
            self.check_send(action)
        elif isinstance(action, api.Refuse | api.Fail):
            message = self.messages[action.id]
            if message.withdrawn_in == self.turn:
                return
            if message.ended:
                raise BrokenRule(f"message {action.id} got a second answer")
            if self.now > message.deadline + 20:
                raise BrokenRule(f"message {action.id} was answered late")
            if isinstance(action, api.Refuse):
                self.check_refusal(message)
            message.ended = True

    def check_refusal(self, message: TrackedMessage) -> None:
        """Check that a repeat of a refused message is harmless."""
        ran = message.possible_run is not None or bool(message.in_flight)
        effect = message.message_class.effect
        if ran and (
            effect is api.Effect.UNSAFE
            or (effect is api.Effect.KEYED and message.message_class.group != "all")
        ):
            raise BrokenRule(f"message {message.event.id} was refused though it may have run")

    def check_send(self, action: api.Send) -> None:
        """Check a send against every rule."""
        message, info = self.messages[action.id], self.infos[action.endpoint]
        message_class = message.message_class
        if message.ended and message.withdrawn_in != self.turn:
            raise BrokenRule(f"message {action.id} was sent after its end")
        if info.destination != message.event.destination:
            raise BrokenRule("sent to an endpoint of another destination")
        if self.unconfirmed:
            raise BrokenRule("sent while the list is unconfirmed")
        if action.endpoint in self.unready_since:
            raise BrokenRule("sent to an endpoint that is draining or gone")
        scope = self.wait_scope(action.endpoint, info.destination)
        if self.now < self.wait_until.get(scope, 0.0) and self.wait_reported_in[scope] != self.turn:
            raise BrokenRule("sent during a wait")
        if message.attempts >= self.settings.max_attempts:
            raise BrokenRule("too many attempts")
        if message.in_flight and not self.settings.concurrent_attempts:
            raise BrokenRule("two attempts at once")
        ran = [sent for _, sent in message.in_flight.values()] + (
            [message.possible_run[0]] if message.possible_run else []
        )
        if ran and message_class.effect is api.Effect.UNSAFE:
            raise BrokenRule("an unsafe message was repeated")
        if ran and message_class.effect is api.Effect.KEYED:
            if self.now > min(ran) + message_class.window:
                raise BrokenRule("repeated after the window of its key")
            if (
                message_class.group == "zone"
                and message.possible_run
                and message.possible_run[1] != info.zone
            ):
                raise BrokenRule("repeated outside the zone of its key")
        if message_class.in_order and message.event.key:
            same_key = self.messages_of_key[message.event.key]
            for earlier in same_key[: same_key.index(message)]:
                if not earlier.ended or earlier.in_flight:
                    raise BrokenRule("sent out of turn")
            if not message.attempts and self.now < self.paused_until.get(message.event.key, 0.0):
                raise BrokenRule("sent while its key pauses")
        self.count_call(action)
        message.in_flight[message.attempts] = (action.endpoint, self.now)
        message.attempts += 1

    def count_call(self, action: api.Send) -> None:
        """Count slots in use; sends of one turn to one endpoint share calls of up to ``batch`` messages."""
        kind = self.infos[action.endpoint].kind
        batch = next((k.batch for k in self.settings.kinds if k.name == kind), 1)
        part = sum(1 for call in self.call_of.values() if call[:2] == (self.turn, action.endpoint)) // batch
        call = (self.turn, action.endpoint, part)
        self.open_calls[call] = self.open_calls.get(call, 0) + 1
        self.call_of[action.id, self.messages[action.id].attempts] = call
        if len(self.open_calls) > self.settings.slots:
            raise BrokenRule("more calls in flight than slots")
