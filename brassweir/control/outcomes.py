"""Handles the end of attempts: what it means for the message, the destination and the endpoint."""

from brassweir import interface as api
from brassweir.control.aggregates import INF
from brassweir.control.dispatch import PAUSE_FACTOR, SLOW_CALL_FACTOR, Dispatcher
from brassweir.control.entities import Call, Destination, Endpoint
from brassweir.control.gate import RECENT_FACTOR
from brassweir.interface import Result

# Results that a destination which is down may cause; the others are the sender's own doing.
SHOWS_OUTAGE = frozenset({*Result}) - {Result.OK, Result.CANCELLED, Result.NOT_STARTED}
LOSS_GAIN = 0.05  # weight of a call in the share of lost answers
IDLE_KEEP_FACTOR = 3.0  # x idle_close / senders: longest usual gap for which a scarce connection is kept
SHORTAGE_MEMORY_FACTOR = 3.0  # x idle_close: how long a connection shortage counts as recent


class OutcomeHandler(Dispatcher):
    """Updates messages and statistics from the results of attempts."""

    def _on_attempt_ended(self, event: api.AttemptEnded) -> None:
        """Free the slot, record the result, then end the message, queue it again or leave it in flight."""
        message = self.messages.get(event.id)
        call = message.in_flight.pop(event.attempt, None) if message is not None else None
        if message is None or call is None:
            return
        dest = message.destination
        dest.calls.pop((message.id, event.attempt), None)
        call.pending_messages -= 1
        if not call.pending_messages:
            self._add_load(dest, 0.0, 0, -1)
            call.endpoint.active_calls -= 1
            call.endpoint.gate.trial_in_flight &= not call.is_trial
        if event.result is Result.BUSY:
            call.endpoint.gate.on_requested_wait(self.now, event.wait)
        if not call.result_recorded and (not call.pending_messages or event.result is not Result.TIMEOUT):
            call.result_recorded = True
            self._record_result(dest, call, event)
            self._report_recovery(call.endpoint)
        self._update_degraded(dest)
        if event.result not in api.NEVER_RAN and message.possible_run_at == INF:
            message.possible_run_at, message.possible_run_zone = call.sent_at, call.endpoint.info.zone
        unsure = event.result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
        if unsure and message.in_order and message.key in self.key_queues:
            self.key_queues[message.key].paused_until = self.now + self.settings.order_pause
        if message.ended:
            self._forget(message)
        elif event.closed or event.result is Result.OK:
            self._end(message)
        elif not message.in_flight:
            if self._may_retry(message) and message.deadline - self.now > self._expected_call_time(dest):
                self._enqueue(message)
            else:
                self._end_undelivered(message)
        self._mark_ready(dest)
        self._close_idle(call.endpoint)

    def _on_past_attempt(self, event: api.PastAttempt) -> None:
        """Record a failure from before a restart as if it happened now, with the remainder of its wait."""
        destination_id = self.destination_ids.get(event.endpoint)
        if destination_id is None or event.result not in SHOWS_OUTAGE:
            return
        gate = self._destination(destination_id).endpoints[event.endpoint].gate
        self.adjusting_gates[gate] = None
        gate.suspect_outage(self.now)
        if event.result is Result.CONNECTION_LIMIT:
            return
        if event.result is Result.BUSY:
            gate.on_requested_wait(self.now, event.wait - event.ago)
            gate.on_busy(self.now, max(event.wait - event.ago, 0.0), False, self.now)
        else:
            gate.on_failure(self.now, False)

    def _on_past_recovery(self, event: api.RecoveryChange) -> None:
        """Go on with a recovery from before a restart."""
        dest = self._destination(event.destination)
        if event.endpoint and event.endpoint not in dest.endpoints:
            return  # it is no longer listed, and its route was separate
        gates = {dest.endpoints[event.endpoint].gate} if event.endpoint else {*dest.gates()}
        for gate in gates:
            gate.restore_recovery(self.now, event.recovery, event.ago)
            gate.note_reported(event.recovery)

    def _report_recovery(self, endpoint: Endpoint) -> None:
        """List the recovery of the endpoint's destination or route, if it has changed."""
        gate, recovery = endpoint.gate, endpoint.gate.recovery
        if not gate.note_reported(recovery):
            return
        name = endpoint.info.name if endpoint.info.kind in self.separate_route_kinds else ""
        ago = self.now - gate.ramp_start if gate.in_slow_start else 0.0
        self.recovery_changes.append(api.RecoveryChange(endpoint.info.destination, name, recovery, ago))

    def _close_idle(self, endpoint: Endpoint) -> None:
        """Close idle connections that this sender will hardly use before they time out.

        Where connections are scarce they are closed earlier, at the price of more handshakes: else the idle
        connections of many senders fill an endpoint's limit, and those that hold them never see a shortage.
        """
        had_shortage = (
            self.now - self.last_shortage.get(endpoint.info.kind, -INF)
            < SHORTAGE_MEMORY_FACTOR * self.settings.idle_close
        )
        scarce = had_shortage or self.settings.few_connections
        keep_ms = (
            min(1.0, IDLE_KEEP_FACTOR / self.settings.senders if scarce else 1.0) * self.settings.idle_close
        )
        if not endpoint.active_calls and 0.0 < keep_ms <= endpoint.usual_gap:
            self.actions.append(api.CloseIdle(endpoint.info.name))

    def _record_result(self, dest: Destination, call: Call, event: api.AttemptEnded) -> None:
        """Record the result of a call, once, in the statistics of its endpoint, destination and gate."""
        result, endpoint, gate = event.result, call.endpoint, call.endpoint.gate
        self.adjusting_gates[gate] = None
        newer = call.sent_at >= endpoint.last_success
        if event.limit is not None:
            gate.set_limit(event.limit, True)
            gate.allowance_left = (
                event.limit_left if event.limit > 0 and event.limit_left is not None else 1.0
            )
        if result in SHOWS_OUTAGE:
            gate.suspect_outage(call.sent_at)
        if result is Result.CONNECTION_LIMIT:
            gate.on_connection_limit(self.now, call.is_trial)
        if result in api.CONNECTION_SHORTAGE:
            self.last_shortage[endpoint.info.kind] = self.now
        dest.timeout_streak += result is Result.TIMEOUT
        if result is Result.OK:
            # Timeouts before a success at normal speed were lost answers, not a slow or hung destination.
            lost = dest.timeout_streak if event.latency < SLOW_CALL_FACTOR * dest.call_times.baseline else 0
            self.lost_share = 1.0 - (1.0 - self.lost_share * (1.0 - LOSS_GAIN)) * (1.0 - LOSS_GAIN) ** lost
            dest.timeout_streak = 0
            dest.call_times.add(event.latency)
            if not dest.degraded:
                self.call_times.add(event.latency)  # healthy destinations only, as costs rest on it
            dest.last_success = endpoint.last_success = self.now
            # As many concurrent connections work as when one was unavailable: the shortage is over.
            if call.other_calls >= endpoint.calls_at_shortage:
                endpoint.calls_at_shortage = endpoint.max_calls = INF
                self.connection_limited.pop(endpoint, None)
            endpoint.failure_streak = 0
            gate.on_success(self.now, call.sent_at)
        elif result is Result.BUSY:
            gate.on_busy(self.now, event.wait, call.is_trial, call.sent_at)
        elif (
            result in api.CONNECTION_SHORTAGE
            and not call.is_trial
            and (
                result is Result.CONNECTION_LIMIT
                or endpoint.active_calls
                or self.now - endpoint.last_success < RECENT_FACTOR * self.settings.connect_timeout
            )
        ):
            endpoint.failure_streak += newer
            # Other calls succeed. A second shortage at such a number of calls means that the endpoint's
            # connections are all taken; a single one may be an accident on a path that loses packets.
            repeated, endpoint.calls_at_shortage = (
                endpoint.calls_at_shortage < INF,
                float(endpoint.active_calls),
            )
            endpoint.max_calls = max(1.0, endpoint.calls_at_shortage) + (not repeated)
            self.connection_limited[endpoint] = None
            if repeated or (newer and endpoint.failure_streak > 1):
                endpoint.avoid_until = self.now + PAUSE_FACTOR * self.settings.connect_timeout
        elif result in (Result.ERROR, Result.TIMEOUT, Result.RESET, Result.NO_CONNECTION):
            if result is Result.TIMEOUT and dest.last_success < call.sent_at:
                # The destination is slow; a single lost call must not lengthen the timeouts of all calls.
                dest.call_times.add(max(event.latency, dest.call_times.mean))
            endpoint.failure_streak += newer
            if newer and endpoint.failure_streak > 1:
                endpoint.avoid_until = self.now + PAUSE_FACTOR * self.settings.connect_timeout
            gate.on_failure(self.now, call.is_trial, call.is_trial or call.sent_at >= dest.last_success)
