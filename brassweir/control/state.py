"""What one sender knows and holds: destinations awake and folded up, messages, turns, each final answer."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from brassweir import interface as api
from brassweir.control.aggregates import INF, CallTimes, Load, compact, restore
from brassweir.control.backlog import PERIOD_MS, BacklogBound
from brassweir.control.entities import Call, Destination, Endpoint, KeyQueue, Message
from brassweir.control.gate import Gate

DEFAULT_CALL_TIME_FACTOR = (
    0.25  # x connect time-out, or a shorter deadline: call time taken for an unmet destination at first
)
CALLS_REGAINED_PER_SECOND = 0.2  # calls at once that an endpoint short of connections gets back each second
COMPACT_AFTER_PERIODS = 10.0  # x PERIOD: a destination without messages for so long is folded up


class SenderState:
    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings, self.rng = settings, Random(seed)
        self.classes = {cls.name: cls for cls in settings.classes}
        self.batch_sizes = {kind.name: kind.batch for kind in settings.kinds}
        self.shortest_timeout = min(settings.connect_timeout, *(cls.deadline for cls in settings.classes))
        self.separate_route_kinds = {kind.name for kind in settings.kinds if kind.separate_routes}
        self.backlog_bound, self.call_times = BacklogBound(settings.slots, settings.max_open), CallTimes()
        self.destinations: dict[int, Destination] = {}  # those awake
        # Those folded up: when first listed, what differs from a fresh one, then info and lot by turns.
        self.compacted: dict[int, tuple[Any, ...]] = {}
        self.destination_ids: dict[str, int] = {}  # the destination of each endpoint ever listed
        self.idle_since: dict[int, float] = {}  # awake without messages since, longest first
        self.adjusting_gates: dict[Gate, None] = {}  # gates whose pace may move by itself
        self.connection_limited: dict[Endpoint, None] = {}  # endpoints whose connections were all taken
        self.messages: dict[int, Message] = {}
        self.lost_share = 0.0  # running share of calls whose answer got lost
        self.key_queues: dict[str, KeyQueue] = {}
        self.load, self.degraded_load = Load(), Load()  # of all, of ill destinations
        self.last_shortage: dict[
            str, float
        ] = {}  # when a connection was last missing, by kind of destination
        self.ready_queue: list[tuple[float, int, int]] = []  # (deadline, order, destination) free to send
        self.scheduled: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self.sequence, self.timer_at = 0, INF  # numbers given so far; earliest timer set
        self.joinable_calls: dict[str, Call] = {}  # calls of this reply that may be shared
        self.now, self.stops_at = now, INF  # this moment; when this sender ends
        self.list_usable = True  # else nothing new is sent
        self.actions: list[api.Action] = []
        self._schedule(now + PERIOD_MS, self._every_second)
        if settings.request_list:
            self._schedule(now, lambda _: self.actions.append(api.WatchList()))

    def _schedule(self, at: float, what: Callable[[Any], None], arg: Any = None) -> None:
        self.sequence += 1
        heappush(self.scheduled, (at, self.sequence, what, arg))

    def _run_scheduled(self) -> None:
        while self.scheduled and self.scheduled[0][0] <= self.now:
            _, _, what, arg = heappop(self.scheduled)
            what(arg)

    def _every_second(self, _: None) -> None:
        self.backlog_bound.step()
        for gate in [gate for gate in self.adjusting_gates if not gate.on_second(self.now)]:
            del self.adjusting_gates[gate]
        for endpoint in [*self.connection_limited]:
            endpoint.max_calls += CALLS_REGAINED_PER_SECOND
            if endpoint.max_calls > self.settings.slots:  # no more calls than that can be out
                endpoint.max_calls = endpoint.calls_at_shortage = INF
                del self.connection_limited[endpoint]
        while self.idle_since:
            ident, since = next(iter(self.idle_since.items()))
            if self.now - since < COMPACT_AFTER_PERIODS * PERIOD_MS:
                break
            del self.idle_since[ident]
            self._compact(self.destinations[ident])
        self._schedule(self.now + PERIOD_MS, self._every_second)

    def _add_endpoint(self, dest: Destination, info: api.EndpointInfo, lot: float, since: float) -> Endpoint:
        gate = Gate(self.settings, self.rng, since) if info.kind in self.separate_route_kinds else dest.gate
        made = dest.endpoints[info.name] = Endpoint(info, gate, lot)
        if self.settings.weights != "none":
            gate.set_limit(info.rate, False)
        return made

    def _destination(self, ident: int) -> Destination:
        """A destination awake; one asleep comes back just as it was."""
        if (dest := self.destinations.get(ident)) is None:
            since, folded, *listed = self.compacted.pop(ident, (self.now, ()))
            dest = self.destinations[ident] = Destination(ident, Gate(self.settings, self.rng, since))
            for info, lot in zip(listed[::2], listed[1::2], strict=True):
                self._add_endpoint(dest, info, lot, since)
            for thing, part in zip(self._stateful_parts(dest), folded, strict=bool(folded)):
                restore(thing, part)
            self.idle_since[ident] = self.now
        return dest

    @staticmethod
    def _stateful_parts(dest: Destination) -> list[Any]:
        """All that is folded of a destination."""
        made = [*dest.endpoints.values()]
        apart = [one.gate for one in made if one.gate is not dest.gate]
        return [dest, dest.gate, dest.call_times, dest.load, *made, *apart]

    def _compact(self, dest: Destination) -> None:
        """Fold up a destination with nothing open and nothing to recover: only what cannot be worked out
        again is kept. Guards against thousands with a message now and then costing what busy ones cost."""
        made = [*dest.endpoints.values()]
        if dest.load.open_messages or dest.calls:
            return  # it comes by here again when it is empty
        if (
            any(one in self.connection_limited or one.gate in self.adjusting_gates for one in made)
            or dest.gate in self.adjusting_gates
        ):
            self.idle_since[dest.id] = self.now
            return
        since, dest.next_wake = dest.gate.created_at, INF
        fresh = Destination(dest.id, Gate(self.settings, self.rng, since))
        for one in made:
            self._add_endpoint(fresh, one.info, one.random_rank, since)
        parts, blanks = self._stateful_parts(dest), self._stateful_parts(fresh)
        if len(parts) != len(blanks):
            return  # an endpoint's kind has changed, and its gate is of the old kind: it stays awake
        folded = tuple(compact(*pair) for pair in zip(parts, blanks, strict=True))
        listed = (part for one in made for part in (one.info, one.random_rank))
        self.compacted[dest.id] = (since, folded if any(folded) else (), *listed)
        del self.destinations[dest.id]

    def _expected_call_time(self, dest: Destination) -> float:
        return (
            dest.call_times.mean or self.call_times.mean or DEFAULT_CALL_TIME_FACTOR * self.shortest_timeout
        )

    def _add_load(self, dest: Destination, cost: float, messages: int, slots: int) -> None:
        """The one place where totals move, so that no decision walks the destinations."""
        self.load.add(cost, messages, slots)
        dest.load.add(cost, messages, slots)
        if dest.degraded:
            self.degraded_load.add(cost, messages, slots)

    def _enqueue(self, message: Message) -> None:
        """Put a message that may go into its destination's heap."""
        if message.ended or message.queued or message.in_flight:
            return
        message.queued = True
        self._schedule_expiry(message)
        heappush(message.destination.queue, (message.queue_deadline, message.sequence, message))
        self._mark_ready(message.destination)

    def _mark_ready(self, dest: Destination) -> None:
        dest.next_wake = INF if dest.next_wake <= self.now else dest.next_wake
        if (head := dest.head(self.now)) is not None:
            heappush(self.ready_queue, (head.queue_deadline, head.sequence, dest.id))

    def _schedule_expiry(self, message: Message) -> None:
        """Look again when its time or its key's window is all but up; anew at each hold, as attempts end."""
        at = message.deadline - self._expected_call_time(message.destination)
        if message.message_class.effect is api.Effect.KEYED:
            at = min(at, message.possible_run_at + message.message_class.window + self.settings.tick)
        self._schedule(max(at, self.now), self._expire, message)

    def _expire(self, message: Message) -> None:
        if message.queued or not (message.ended or message.in_flight):
            self._end_undelivered(message)

    def _has_turn(self, message: Message) -> bool:
        line = self.key_queues[message.key]
        return line.messages[0] is message and (line.paused_until <= self.now or message.was_sent)

    def _pass_turn(self, key: str) -> None:
        """Pass the turn on once nothing of an earlier message is out and the key has rested."""
        line = self.key_queues.get(key)
        if line is None:
            return
        while line.messages and line.messages[0].ended and not line.messages[0].in_flight:
            line.messages.popleft()
        if line.paused_until > self.now:
            self._schedule(line.paused_until, self._pass_turn, key)
        elif not line.messages:
            del self.key_queues[key]
        elif not line.messages[0].ended:
            self._enqueue(line.messages[0])

    def _end_undelivered(self, message: Message) -> None:
        """The final answer, at once: a refusal where a repeat is harmless, else a failure."""
        effect = message.message_class.effect
        harmless = effect is api.Effect.SAFE or (
            effect is api.Effect.KEYED and message.message_class.group == "all"
        )
        if harmless or (message.possible_run_at == INF and not message.in_flight):
            self.actions.append(api.Refuse(message.id, self._retry_after(message)))
        else:
            self.actions.append(api.Fail(message.id))
        self._end(message)

    def _retry_after(self, message: Message) -> float:
        """When it is worth coming back: once the excess is worked off, or the destination may be back."""
        call = self._expected_call_time(message.destination)
        excess = (self.load.cost - self.degraded_load.cost - self.backlog_bound.value) * (
            self.call_times.mean or call
        )
        back = min(
            max(gate.wait_until, gate.next_trial if gate.circuit_open else -INF)
            for gate in message.destination.gates()
        )
        return min(max(excess / self.settings.slots, call, back - self.now), self.settings.max_retry_after)

    def _end(self, message: Message) -> None:
        message.ended, message.queued = True, False
        self._add_load(message.destination, -message.cost, -1, 0)
        if message.was_sent and not message.destination.degraded:
            self.backlog_bound.record_answer((self.now - message.first_submitted) / message.target_latency)
        self._forget(message)

    def _forget(self, message: Message) -> None:
        """Drop it once nothing more can come for it."""
        if message.in_flight:
            return
        self.messages.pop(message.id, None)
        if not message.destination.load.open_messages and not message.destination.calls:
            self.idle_since.pop(message.destination.id, None)
            self.idle_since[message.destination.id] = self.now
        if message.in_order:
            self._pass_turn(message.key)
