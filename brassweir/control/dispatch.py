"""What goes next, where, and for how long it is waited for; the rules on sends, each once."""

import math
from heapq import heappop
from typing import Any

from brassweir import interface as api
from brassweir.control.entities import Call, Destination, Endpoint, Message
from brassweir.control.gate import RECENT_FACTOR
from brassweir.control.state import DEFAULT_CALL_TIME_FACTOR, SenderState

HEALTHY_CAP = 0.75  # share of the slots that one destination may hold
SICK_CAP = 0.5  # the same while it is slow or failed lately
SLOW_CALL_FACTOR = 2.0  # x mean call time: a call out for longer makes its destination sick
TIMEOUT_FACTOR = 6.0  # x mean call time: beyond it an answer hardly comes
MIN_TIMEOUT_FACTOR = 1.0  # x connect time-out: shortest time-out
TIMEOUT_GROWTH = 2.0  # x for each further attempt, so that a heavy call may end
UNSAFE_TIMEOUT_FACTOR = (
    3.0  # x the time-out of others: giving up a call that can't be repeated loses the message
)
LOSSY_SHARE = 0.03  # running share of lost answers from which time-outs are short
LOSSY_TIMEOUT_FACTOR = 4.0  # x mean call time: time-out then
LOSSY_MIN_TIMEOUT_FACTOR = 0.4  # x connect time-out: shortest time-out then
DEGRADED_SLOWDOWN = 4.0  # x usual call time: a destination whose mean grew so much is ill
DEGRADED_FAILURES = 2  # failures in a row that set a destination apart; a single one may be a lost call
SILENCE_FACTOR = 6.0  # x mean call time: no answer since a call that old means silence
STOP_MARGIN_FACTOR = (
    3.0  # x mean call time: no call that can't be repeated begins nearer to this sender's end
)
GAP_GAIN = 0.3  # weight of a new gap between two calls to an endpoint: some three are remembered
PAUSE_FACTOR = 0.5  # x connect time-out: wait for a message, or an endpoint that failed twice, set aside


class Dispatcher(SenderState):
    def _has_capacity(self, dest: Destination) -> bool:
        """Is the backlog, with the new message in it, within the bound? What waits for ill destinations
        weighs only on messages for these, which may fill their share of the holding limit."""
        if dest.degraded:
            return self.degraded_load.open_messages <= SICK_CAP * self.settings.max_open
        free = self.list_usable and self.load.used_slots < self.settings.slots
        return free or self.load.cost - self.degraded_load.cost <= self.backlog_bound.value

    def _queue_delay(self, dest: Destination) -> float:
        """How long the pace of its gates lets a new message wait: guards against a queue standing under a
        limit, where all are late. Not where reports tell of room, nor on a ramp: both soon grow."""
        gates = {
            endpoint.gate: self.batch_sizes.get(endpoint.info.kind, 1)
            for endpoint in dest.endpoints.values()
            if endpoint.usable
        }
        if not gates or any(gate.circuit_open or gate.limit_reported for gate in gates):
            return 0.0
        rate = sum(gate.pace * batch for gate, batch in gates.items())
        return max(0, dest.load.open_messages - 1 - len(dest.calls)) * 1000.0 / rate

    def _dispatch_ready(self) -> None:
        """Send the earliest deadlines among destinations free to send while slots are free."""
        while self.list_usable and self.ready_queue and self.load.used_slots < self.settings.slots:
            due, order, ident = heappop(self.ready_queue)
            dest = self.destinations.get(ident)
            head = dest.head(self.now) if dest is not None else None
            if dest is None or head is None or (head.queue_deadline, head.sequence) != (due, order):
                continue
            self._dispatch_head(dest, head)
        for call in [*self.joinable_calls.values()]:
            dest = self.destinations[call.endpoint.info.destination]
            while (head := dest.head(self.now)) is not None and self._joinable_endpoint(
                dest, head
            ) is not None:
                self._dispatch_head(dest, head)

    def _joinable_endpoint(self, dest: Destination, message: Message) -> Endpoint | None:
        """Where a call of this reply still has room: a message that joins it takes no slot and no token of
        its own. Guards against a limit on calls passing for one on messages. A trial stays small."""
        for endpoint in dest.endpoints.values():
            call = self.joinable_calls.get(endpoint.info.name)
            if (
                call is not None
                and not call.is_trial
                and call.message_count < self.batch_sizes.get(endpoint.info.kind, 1)
                and self._may_send(message, endpoint)
            ):
                return endpoint
        return None

    def _dispatch_head(self, dest: Destination, head: Message) -> None:
        last = head.deadline - self._expected_call_time(dest)  # later it is not worth a call
        endpoint, at = self._choose_endpoint(dest, head) if self.now <= last else (None, self.now)
        if endpoint is None and self.now <= last and (at <= last or at == math.inf):
            if at < dest.next_wake:
                dest.next_wake = at
                self._schedule(at, self._mark_ready, dest)
            return
        if endpoint is not None and self._may_send(head, endpoint):
            self._send(head, endpoint)
        elif endpoint is not None and self._may_retry(head):
            head.queued = False  # its own state forbids it now: aside, so that it holds up no other
            self._schedule(self.now + PAUSE_FACTOR * self.settings.connect_timeout, self._enqueue, head)
        else:
            self._end_undelivered(head)
        self._mark_ready(dest)

    def _update_degraded(self, dest: Destination) -> bool:
        """Ill: shut, failing lately, silent, or far slower than usual. Guards the bound and the slots of all
        others: ill destinations together keep to the share of the slots that a sick one may hold."""
        ill = (
            all(gate.circuit_open or gate.failure_streak >= DEGRADED_FAILURES for gate in dest.gates())
            or self._is_silent(dest)
            or dest.call_times.mean > DEGRADED_SLOWDOWN * dest.call_times.baseline > 0
        )
        if ill != dest.degraded:
            sign, load, dest.degraded = 1 if ill else -1, dest.load, ill
            self.degraded_load.add(sign * load.cost, sign * load.open_messages, sign * load.used_slots)
        return ill

    def _is_silent(self, dest: Destination) -> bool:
        """No answer since a call sent long ago: guards against filling slots at a hung destination."""
        return dest.last_success < (
            since := dest.oldest_call_sent_at()
        ) and self.now - since > SILENCE_FACTOR * self._expected_call_time(dest)

    def _choose_endpoint(self, dest: Destination, message: Message) -> tuple[Endpoint | None, float]:
        """The endpoint to use now, or when to look again (infinite: at the next event there)."""
        if (joined := self._joinable_endpoint(dest, message)) is not None:
            return joined, self.now
        recent = self.now - RECENT_FACTOR * self.settings.connect_timeout
        slow = self.now - dest.oldest_call_sent_at() > SLOW_CALL_FACTOR * self._expected_call_time(dest)
        sick = slow or all(gate.last_failure > recent for gate in dest.gates())
        cap = max(1, math.floor(self.settings.slots * (SICK_CAP if sick else HEALTHY_CAP)))
        if dest.load.used_slots >= cap or (dest.load.used_slots and self._is_silent(dest)):
            return None, math.inf
        if self._update_degraded(dest) and self.degraded_load.used_slots >= max(
            1, math.floor(self.settings.slots * SICK_CAP)
        ):
            return None, self.now + DEFAULT_CALL_TIME_FACTOR * self.settings.connect_timeout
        best: Endpoint | None = None
        rank, soonest = tuple[Any, ...](), math.inf
        for endpoint in dest.endpoints.values():
            if not endpoint.usable or not self._in_key_scope(message, endpoint):
                continue
            at = endpoint.gate.next_call_at(self.now, len(dest.queue) <= 1)
            at = max(at, endpoint.avoid_until if not endpoint.gate.circuit_open else -math.inf)
            if at > self.now or endpoint.active_calls >= max(1.0, endpoint.max_calls):
                soonest = min(soonest, at if at > self.now else math.inf)
                continue
            mine = (endpoint.failure_streak, endpoint.active_calls, -endpoint.last_used, endpoint.random_rank)
            if best is None or mine < rank:
                best, rank = endpoint, mine
        return best, soonest

    def _in_key_scope(self, message: Message, endpoint: Endpoint) -> bool:
        return (
            message.possible_run_at == math.inf
            or message.message_class.group == "all"
            or message.possible_run_zone == endpoint.info.zone
        )

    def _may_retry(self, message: Message) -> bool:
        """May another attempt ever go out for it."""
        effect = message.message_class.effect
        blocked = bool(message.in_flight) and (
            not self.settings.concurrent_attempts or effect is api.Effect.UNSAFE
        )
        if message.ended or message.attempts >= self.settings.max_attempts or blocked:
            return False
        if message.possible_run_at == math.inf or effect is api.Effect.SAFE:
            return True
        return (
            effect is api.Effect.KEYED and self.now <= message.possible_run_at + message.message_class.window
        )

    def _may_send(self, message: Message, endpoint: Endpoint) -> bool:
        """The rules on sends, each once. What can't be repeated waits if a restart could cut its call."""
        cut = message.message_class.effect is api.Effect.UNSAFE and self.stops_at < math.inf
        return (
            self._may_retry(message)
            and endpoint.usable
            and endpoint.gate.wait_until <= self.now
            and not (
                cut
                and self.now + STOP_MARGIN_FACTOR * self._expected_call_time(message.destination)
                > self.stops_at
            )
            and self._in_key_scope(message, endpoint)
            and self.now < message.deadline
            and (not message.in_order or self._has_turn(message))
        )

    def _send(self, message: Message, endpoint: Endpoint) -> None:
        dest = message.destination
        call = self.joinable_calls.get(endpoint.info.name)
        if call is None or call.is_trial or call.message_count >= self.batch_sizes.get(endpoint.info.kind, 1):
            call = self.joinable_calls[endpoint.info.name] = Call(endpoint, self.now)
            call.is_trial = endpoint.gate.on_sent(self.now)
            self._add_load(dest, 0.0, 0, 1)
            endpoint.active_calls += 1
        call.pending_messages += 1
        call.message_count += 1
        message.in_flight[message.attempts] = dest.calls[message.id, message.attempts] = call
        message.attempts += 1
        message.queued, message.was_sent = False, True
        if message.attempts == 1:
            gap = min(self.now - endpoint.last_used, self.settings.idle_close)
            endpoint.usual_gap = (
                gap
                if endpoint.usual_gap == math.inf
                else endpoint.usual_gap + (gap - endpoint.usual_gap) * GAP_GAIN
            )
        endpoint.last_used = self.now
        until = min(self.now + self._attempt_timeout(message), message.deadline)
        self.actions.append(api.Send(message.id, endpoint.info.name, until))

    def _attempt_timeout(self, message: Message) -> float:
        """Short while answers get lost: guards against lost calls holding slots; fails some heavy ones."""
        call = self._expected_call_time(message.destination)
        means, least = (
            (LOSSY_TIMEOUT_FACTOR, LOSSY_MIN_TIMEOUT_FACTOR)
            if self.lost_share > LOSSY_SHARE
            else (TIMEOUT_FACTOR, MIN_TIMEOUT_FACTOR)
        )
        span = max(means * call, least * self.settings.connect_timeout)
        if message.message_class.effect is api.Effect.UNSAFE and self.lost_share <= LOSSY_SHARE:
            return span * UNSAFE_TIMEOUT_FACTOR
        return span * TIMEOUT_GROWTH ** (message.attempts - 1)
