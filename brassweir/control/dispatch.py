"""Decides which message is sent next, to which endpoint and with what timeout; checks the rules on sends."""

import math
from heapq import heappop
from typing import Any

from brassweir import interface as api
from brassweir.control.entities import Call, Destination, Endpoint, Message
from brassweir.control.gate import RECENT_FACTOR
from brassweir.control.state import DEFAULT_CALL_TIME_FACTOR, SenderState

HEALTHY_CAP = 0.75  # share of the slots that one destination may use
SICK_CAP = 0.5  # share of the slots for a slow or failing destination, and for all degraded ones together
SLOW_CALL_FACTOR = 2.0  # x mean call time: a call in flight for longer makes its destination slow
TIMEOUT_FACTOR = 6.0  # x mean call time: attempt timeout; a later answer hardly ever comes
MIN_TIMEOUT_FACTOR = 1.0  # x connect timeout: shortest attempt timeout
TIMEOUT_GROWTH = 2.0  # x for each further attempt, so that a slow call can still finish
UNSAFE_TIMEOUT_FACTOR = 3.0  # x timeout: abandoning an attempt that can't be repeated fails the message
LOSSY_SHARE = 0.03  # share of lost answers above which timeouts are short
LOSSY_TIMEOUT_FACTOR = 4.0  # x mean call time: attempt timeout while answers get lost
LOSSY_MIN_TIMEOUT_FACTOR = 0.4  # x connect timeout: shortest attempt timeout while answers get lost
DEGRADED_SLOWDOWN = 4.0  # x baseline: mean call time from which a destination is degraded
DEGRADED_FAILURES = 2  # consecutive failures from which a destination is degraded; one may be a lost call
SILENCE_FACTOR = 6.0  # x mean call time: a destination without an answer for so long is silent
STOP_MARGIN_FACTOR = 3.0  # x mean call time: no unrepeatable call starts so close to this sender's stop
GAP_GAIN = 0.3  # weight of a new gap in Endpoint.usual_gap: some three are remembered
PAUSE_FACTOR = 0.5  # x connect timeout: pause of a message that may not go, or of a failing endpoint


class Dispatcher(SenderState):
    """Admission control, choice of message and endpoint, and the rules on sends."""

    def _has_capacity(self, dest: Destination) -> bool:
        """Return whether the backlog, new message included, is within its bound.

        Messages to degraded destinations have a limit of their own and don't count for the others.
        """
        if dest.degraded:
            return self.degraded_load.open_messages <= SICK_CAP * self.settings.max_open
        free = self.list_usable and self.load.used_slots < self.settings.slots
        return free or self.load.cost - self.degraded_load.cost <= self.backlog_bound.value

    def _queue_delay(self, dest: Destination) -> float:
        """Return how many ms a new message would wait for the pace of its destination.

        A queue that never drains under a rate limit would make all messages late. Slow start does not count,
        and the delay is 0 under a reported limit or an open circuit, since the rate may soon grow.
        """
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
        """Send the earliest deadlines while slots are free, and the messages that can join those calls."""
        while self.list_usable and self.ready_queue and self.load.used_slots < self.settings.slots:
            queue_deadline, sequence, ident = heappop(self.ready_queue)
            dest = self.destinations.get(ident)
            head = dest.head(self.now) if dest is not None else None
            if (
                dest is None
                or head is None
                or (head.queue_deadline, head.sequence) != (queue_deadline, sequence)
            ):
                continue  # stale entry
            self._dispatch_head(dest, head)
        for call in [*self.joinable_calls.values()]:
            dest = self.destinations[call.endpoint.info.destination]
            while ((head := dest.head(self.now)) is not None) and (
                self._joinable_endpoint(dest, head) is not None
            ):
                self._dispatch_head(dest, head)

    def _joinable_endpoint(self, dest: Destination, message: Message) -> Endpoint | None:
        """Return an endpoint with a call of this turn that the message can join, or None.

        A message that joins a call needs no slot and no token of its own. No message joins a trial.
        """
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
        """Send the head of a destination's queue, schedule it for later, or end it undelivered."""
        last_start = head.deadline - self._expected_call_time(dest)
        endpoint, at = self._choose_endpoint(dest, head) if self.now <= last_start else (None, self.now)
        if endpoint is None and self.now <= last_start and (at <= last_start or at == math.inf):
            if at < dest.next_wake:
                dest.next_wake = at
                self._schedule(at, self._mark_ready, dest)
            return
        if endpoint is not None and self._may_send(head, endpoint):
            self._send(head, endpoint)
        elif endpoint is not None and self._may_retry(head):
            head.queued = False  # the message itself may not go now: it must not block those behind it
            self._schedule(self.now + PAUSE_FACTOR * self.settings.connect_timeout, self._enqueue, head)
        else:
            self._end_undelivered(head)
        self._mark_ready(dest)

    def _update_degraded(self, dest: Destination) -> bool:
        """Update and return whether a destination is degraded: open circuit, failing, silent or very slow.

        All degraded destinations together get a limited share of the slots and of the backlog, so that they
        don't starve the healthy ones.
        """
        degraded = (
            all(gate.circuit_open or gate.failure_streak >= DEGRADED_FAILURES for gate in dest.gates())
            or self._is_silent(dest)
            or dest.call_times.mean > DEGRADED_SLOWDOWN * dest.call_times.baseline > 0
        )
        if degraded != dest.degraded:
            sign, load, dest.degraded = 1 if degraded else -1, dest.load, degraded
            self.degraded_load.add(sign * load.cost, sign * load.open_messages, sign * load.used_slots)
        return degraded

    def _is_silent(self, dest: Destination) -> bool:
        """Return whether a call was sent long ago and none succeeded since: a hung destination."""
        return (dest.last_success < (sent_at := dest.oldest_call_sent_at())) and (
            self.now - sent_at > SILENCE_FACTOR * self._expected_call_time(dest)
        )

    def _choose_endpoint(self, dest: Destination, message: Message) -> tuple[Endpoint | None, float]:
        """Return the endpoint to use now, or None and when to try again.

        That time is infinite where only an event of this destination can change the answer.
        """
        if (joined := self._joinable_endpoint(dest, message)) is not None:
            return joined, self.now
        recent = self.now - RECENT_FACTOR * self.settings.connect_timeout
        slow = self.now - dest.oldest_call_sent_at() > SLOW_CALL_FACTOR * self._expected_call_time(dest)
        troubled = slow or all(gate.last_failure > recent for gate in dest.gates())
        cap = max(1, math.floor(self.settings.slots * (SICK_CAP if troubled else HEALTHY_CAP)))
        if dest.load.used_slots >= cap or (dest.load.used_slots and self._is_silent(dest)):
            return None, math.inf
        if self._update_degraded(dest) and self.degraded_load.used_slots >= max(
            1, math.floor(self.settings.slots * SICK_CAP)
        ):
            return None, self.now + DEFAULT_CALL_TIME_FACTOR * self.settings.connect_timeout
        best: Endpoint | None = None
        best_rank, soonest = tuple[Any, ...](), math.inf
        for endpoint in dest.endpoints.values():
            if not endpoint.usable or not self._in_key_scope(message, endpoint):
                continue
            at = endpoint.gate.next_call_at(self.now, len(dest.queue) <= 1)
            at = max(at, endpoint.avoid_until if not endpoint.gate.circuit_open else -math.inf)
            if at > self.now or endpoint.active_calls >= max(1.0, endpoint.max_calls):
                soonest = min(soonest, at if at > self.now else math.inf)
                continue
            rank = (endpoint.failure_streak, endpoint.active_calls, -endpoint.last_used, endpoint.random_rank)
            if best is None or rank < best_rank:
                best, best_rank = endpoint, rank
        return best, soonest

    def _in_key_scope(self, message: Message, endpoint: Endpoint) -> bool:
        """Return whether the endpoint shares idempotency keys with the one where the message may have run."""
        return (
            message.possible_run_at == math.inf
            or message.message_class.group == "all"
            or message.possible_run_zone == endpoint.info.zone
        )

    def _may_retry(self, message: Message) -> bool:
        """Return whether the rules on repeats allow another attempt, now or later."""
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
        """Return whether every rule on sends allows this attempt now.

        A message that can't be repeated is not sent where this sender's stop could cut off its call.
        """
        stop_matters = message.message_class.effect is api.Effect.UNSAFE and self.stops_at < math.inf
        return (
            self._may_retry(message)
            and endpoint.usable
            and endpoint.gate.wait_until <= self.now
            and not (
                stop_matters
                and self.now + STOP_MARGIN_FACTOR * self._expected_call_time(message.destination)
                > self.stops_at
            )
            and self._in_key_scope(message, endpoint)
            and self.now < message.deadline
            and (not message.in_order or self._has_turn(message))
        )

    def _send(self, message: Message, endpoint: Endpoint) -> None:
        """Send a message, in a call of this turn that has capacity left or in a new one."""
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
        abandon_at = min(self.now + self._attempt_timeout(message), message.deadline)
        self.actions.append(api.Send(message.id, endpoint.info.name, abandon_at))

    def _attempt_timeout(self, message: Message) -> float:
        """Return the timeout of the message's newest attempt in ms.

        It is shorter while answers get lost, so that lost calls don't hold slots, at the price of abandoning
        some slow calls.
        """
        call_time = self._expected_call_time(message.destination)
        factor, min_factor = (
            (LOSSY_TIMEOUT_FACTOR, LOSSY_MIN_TIMEOUT_FACTOR)
            if self.lost_share > LOSSY_SHARE
            else (TIMEOUT_FACTOR, MIN_TIMEOUT_FACTOR)
        )
        timeout = max(factor * call_time, min_factor * self.settings.connect_timeout)
        if message.message_class.effect is api.Effect.UNSAFE and self.lost_share <= LOSSY_SHARE:
            return timeout * UNSAFE_TIMEOUT_FACTOR
        return timeout * TIMEOUT_GROWTH ** (message.attempts - 1)
