"""The state of one sender: its destinations, messages, queues and timers, and how a message ends."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from brassweir import interface as api
from brassweir.control.aggregates import INF, CallTimes, Load, compact, restore
from brassweir.control.backlog import PERIOD_MS, BacklogBound
from brassweir.control.entities import Call, Destination, Endpoint, KeyQueue, Message
from brassweir.control.gate import Gate

DEFAULT_CALL_TIME_FACTOR = 0.25  # x connect timeout or shortest deadline: call time before any was seen
CALLS_REGAINED_PER_SECOND = 0.2  # concurrent calls that an endpoint short of connections regains
COMPACT_AFTER_PERIODS = 10.0  # x PERIOD_MS: idle time after which a destination is compacted


class SenderState:
    """The state of one sender and the steps that change it; times are milliseconds."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings, self.rng = settings, Random(seed)
        self.classes = {cls.name: cls for cls in settings.classes}
        self.batch_sizes = {kind.name: kind.batch for kind in settings.kinds}
        self.shortest_timeout = min(settings.connect_timeout, *(cls.deadline for cls in settings.classes))
        self.separate_route_kinds = {kind.name for kind in settings.kinds if kind.separate_routes}
        self.backlog_bound, self.call_times = BacklogBound(settings.slots, settings.max_open), CallTimes()
        self.destinations: dict[int, Destination] = {}  # the resident ones
        # Compacted ones: (created at, changes of each part or (), info, random rank, info, random rank, ...).
        self.compacted: dict[int, tuple[Any, ...]] = {}
        self.destination_ids: dict[str, int] = {}  # by name of each endpoint ever listed
        self.idle_since: dict[int, float] = {}  # resident destinations without messages, longest idle first
        self.adjusting_gates: dict[Gate, None] = {}  # ordered set: gates whose pace may change with time
        self.connection_limited: dict[Endpoint, None] = {}  # ordered set: endpoints short of connections
        self.messages: dict[int, Message] = {}
        self.lost_share = 0.0  # moving average: share of calls whose answer was lost
        self.key_queues: dict[str, KeyQueue] = {}
        self.load, self.degraded_load = Load(), Load()  # of all destinations, of the degraded ones
        self.last_shortage: dict[str, float] = {}  # time of the last connection shortage, by kind
        # Heaps: (queue deadline, message sequence, destination id) and (time, sequence, callback, argument).
        self.ready_queue: list[tuple[float, int, int]] = []
        self.scheduled: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self.sequence, self.timer_at = 0, INF  # last number given; earliest timer set
        self.joinable_calls: dict[str, Call] = {}  # by endpoint: calls of this turn that messages may join
        self.now, self.stops_at = now, INF
        self.list_usable = True  # False: nothing is sent until the endpoint list is confirmed
        self.actions: list[api.Action] = []
        self.recovery_changes: list[api.RecoveryChange] = []  # of the last batch of events
        self._schedule(now + PERIOD_MS, self._every_second)
        if settings.request_list:
            self._schedule(now, lambda _: self.actions.append(api.WatchList()))

    def _schedule(self, at: float, callback: Callable[[Any], None], argument: Any = None) -> None:
        """Call ``callback`` with ``argument`` in the first turn at or after a time."""
        self.sequence += 1
        heappush(self.scheduled, (at, self.sequence, callback, argument))

    def _run_scheduled(self) -> None:
        """Run the callbacks whose time has come, earliest first."""
        while self.scheduled and self.scheduled[0][0] <= self.now:
            _, _, callback, argument = heappop(self.scheduled)
            callback(argument)

    def _every_second(self, _: None) -> None:
        """Move the backlog bound, adjust paces and connection limits, and compact idle destinations."""
        self.backlog_bound.step()
        for gate in [gate for gate in self.adjusting_gates if not gate.on_second(self.now)]:
            del self.adjusting_gates[gate]
        for endpoint in [*self.connection_limited]:
            endpoint.max_calls += CALLS_REGAINED_PER_SECOND
            if endpoint.max_calls > self.settings.slots:  # no longer a restriction
                endpoint.max_calls = endpoint.calls_at_shortage = INF
                del self.connection_limited[endpoint]
        while self.idle_since:
            ident, since = next(iter(self.idle_since.items()))
            if self.now - since < COMPACT_AFTER_PERIODS * PERIOD_MS:
                break
            del self.idle_since[ident]
            self._compact(self.destinations[ident])
        self._schedule(self.now + PERIOD_MS, self._every_second)

    def _add_endpoint(
        self, dest: Destination, info: api.EndpointInfo, random_rank: float, created_at: float
    ) -> Endpoint:
        """Add a listed endpoint, with a gate of its own where the routes of its kind are separate."""
        gate = (
            Gate(self.settings, self.rng, created_at) if info.kind in self.separate_route_kinds else dest.gate
        )
        endpoint = dest.endpoints[info.name] = Endpoint(info, gate, random_rank)
        if self.settings.weights != "none":
            gate.set_limit(info.rate, False)
        return endpoint

    def _destination(self, ident: int) -> Destination:
        """Return a resident destination; create it, or restore it exactly as it was before compaction."""
        if (dest := self.destinations.get(ident)) is None:
            created_at, changes, *entries = self.compacted.pop(ident, (self.now, ()))
            dest = self.destinations[ident] = Destination(ident, Gate(self.settings, self.rng, created_at))
            for info, random_rank in zip(entries[::2], entries[1::2], strict=True):
                self._add_endpoint(dest, info, random_rank, created_at)
            for part, values in zip(self._stateful_parts(dest), changes, strict=bool(changes)):
                restore(part, values)
            self.idle_since[ident] = self.now
        return dest

    @staticmethod
    def _stateful_parts(dest: Destination) -> list[Any]:
        """Return the objects of a destination whose state is compacted, in a fixed order."""
        endpoints = [*dest.endpoints.values()]
        separate_gates = [endpoint.gate for endpoint in endpoints if endpoint.gate is not dest.gate]
        return [dest, dest.gate, dest.call_times, dest.load, *endpoints, *separate_gates]

    def _compact(self, dest: Destination) -> None:
        """Replace an idle destination by the values in which it differs from a fresh one, to save memory.

        One with open messages, or whose pace or connection limit is still changing, stays resident.
        """
        endpoints = [*dest.endpoints.values()]
        if dest.load.open_messages or dest.calls:
            return  # _forget() marks it idle again
        if (
            any(
                endpoint in self.connection_limited or endpoint.gate in self.adjusting_gates
                for endpoint in endpoints
            )
            or dest.gate in self.adjusting_gates
        ):
            self.idle_since[dest.id] = self.now
            return
        created_at, dest.next_wake = dest.gate.created_at, INF
        fresh = Destination(dest.id, Gate(self.settings, self.rng, created_at))
        for endpoint in endpoints:
            self._add_endpoint(fresh, endpoint.info, endpoint.random_rank, created_at)
        parts, fresh_parts = self._stateful_parts(dest), self._stateful_parts(fresh)
        if len(parts) != len(fresh_parts):
            return  # an endpoint's kind changed and its gate did not: it stays resident
        changes = tuple(compact(*pair) for pair in zip(parts, fresh_parts, strict=True))
        entries = (part for endpoint in endpoints for part in (endpoint.info, endpoint.random_rank))
        self.compacted[dest.id] = (created_at, changes if any(changes) else (), *entries)
        del self.destinations[dest.id]

    def _expected_call_time(self, dest: Destination) -> float:
        """Return the mean call time in ms of a destination, else of all, else a default."""
        return (
            dest.call_times.mean or self.call_times.mean or DEFAULT_CALL_TIME_FACTOR * self.shortest_timeout
        )

    def _add_load(self, dest: Destination, cost: float, messages: int, slots: int) -> None:
        """Add to the load of a destination and to the totals, which saves summing over destinations."""
        self.load.add(cost, messages, slots)
        dest.load.add(cost, messages, slots)
        if dest.degraded:
            self.degraded_load.add(cost, messages, slots)

    def _enqueue(self, message: Message) -> None:
        """Queue a message at its destination, unless it is queued, in flight or ended."""
        if message.ended or message.queued or message.in_flight:
            return
        message.queued = True
        self._schedule_expiry(message)
        heappush(message.destination.queue, (message.queue_deadline, message.sequence, message))
        self._mark_ready(message.destination)

    def _mark_ready(self, dest: Destination) -> None:
        """Put the head of a destination's queue into the ready queue."""
        dest.next_wake = INF if dest.next_wake <= self.now else dest.next_wake
        if (head := dest.head(self.now)) is not None:
            heappush(self.ready_queue, (head.queue_deadline, head.sequence, dest.id))

    def _schedule_expiry(self, message: Message) -> None:
        """Schedule the end of a message: when no call can meet its deadline, or its key's window is over."""
        at = message.deadline - self._expected_call_time(message.destination)
        if message.message_class.effect is api.Effect.KEYED:
            at = min(at, message.possible_run_at + message.message_class.window + self.settings.tick)
        self._schedule(max(at, self.now), self._expire, message)

    def _expire(self, message: Message) -> None:
        """End a message that is waiting; one in flight is looked at again when its attempt ends."""
        if message.queued or not (message.ended or message.in_flight):
            self._end_undelivered(message)

    def _has_turn(self, message: Message) -> bool:
        """Return whether a message is the first of its key; a pause stops only what was not yet sent."""
        key_queue = self.key_queues[message.key]
        return key_queue.messages[0] is message and (key_queue.paused_until <= self.now or message.was_sent)

    def _pass_turn(self, key: str) -> None:
        """Queue the next message of a key once the earlier ones are done and the key does not pause."""
        key_queue = self.key_queues.get(key)
        if key_queue is None:
            return
        while key_queue.messages and key_queue.messages[0].ended and not key_queue.messages[0].in_flight:
            key_queue.messages.popleft()
        if key_queue.paused_until > self.now:
            self._schedule(key_queue.paused_until, self._pass_turn, key)
        elif not key_queue.messages:
            del self.key_queues[key]
        elif not key_queue.messages[0].ended:
            self._enqueue(key_queue.messages[0])

    def _end_undelivered(self, message: Message) -> None:
        """Give the final answer: refused where a repeat by the client is harmless, else failed."""
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
        """Return in how many ms to repeat a refused message: when the backlog is within its bound, and the
        destination takes calls again."""
        call_time = self._expected_call_time(message.destination)
        excess = (self.load.cost - self.degraded_load.cost - self.backlog_bound.value) * (
            self.call_times.mean or call_time
        )
        available_at = min(
            max(gate.wait_until, gate.next_trial if gate.circuit_open else -INF)
            for gate in message.destination.gates()
        )
        return min(
            max(excess / self.settings.slots, call_time, available_at - self.now),
            self.settings.max_retry_after,
        )

    def _end(self, message: Message) -> None:
        """Record that a message has its final answer or was withdrawn."""
        message.ended, message.queued = True, False
        self._add_load(message.destination, -message.cost, -1, 0)
        if message.was_sent and not message.destination.degraded:
            self.backlog_bound.record_answer((self.now - message.first_submitted) / message.target_latency)
        self._forget(message)

    def _forget(self, message: Message) -> None:
        """Drop an ended message once none of its attempts is in flight, and let the next of its key go."""
        if message.in_flight:
            return
        self.messages.pop(message.id, None)
        if not message.destination.load.open_messages and not message.destination.calls:
            self.idle_since.pop(message.destination.id, None)
            self.idle_since[message.destination.id] = self.now
        if message.in_order:
            self._pass_turn(message.key)
