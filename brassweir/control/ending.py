"""What the end of an attempt means: for its message, and as evidence on its destination."""

from brassweir import interface as api
from brassweir.control.choosing import ASIDE, SLOW, Choosing
from brassweir.control.gate import LATELY
from brassweir.control.means import INF
from brassweir.control.open import Call, Destination, Endpoint
from brassweir.interface import Result

LOST_GAIN = 0.05  # weight of a call in that share
KEEP = 3.0  # x idle time / senders: where connections lack, one whose next call comes later is closed
LACKED = 3.0  # x idle time: a missing connection is remembered for so long


class Ending(Choosing):
    def _ended(self, event: api.AttemptEnded) -> None:
        message = self.messages.get(event.id)
        call = message.live.pop(event.attempt, None) if message is not None else None
        if message is None or call is None:
            return
        dest = message.dest
        dest.calls.pop((message.id, event.attempt), None)
        call.messages -= 1
        if not call.messages:
            self._count(dest, 0.0, 0, -1)
            call.endpoint.out -= 1
            call.endpoint.gate.trial_out &= not call.trial
        if event.result is Result.FULL:
            call.endpoint.gate.told_wait(self.now, event.wait)
        if not call.learnt and (not call.messages or event.result is not Result.TIMEOUT):
            call.learnt = True
            self._learn(dest, call, event)
        self._judge(dest)
        if event.result not in api.NEVER_RAN and message.may_run == INF:
            message.may_run, message.zone = call.sent, call.endpoint.info.zone
        unsure = event.result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
        if unsure and message.turns and message.key in self.keys:
            self.keys[message.key].rest = self.now + self.sets.order_pause
        if message.over:
            self._forget(message)
        elif event.closed or event.result is Result.OK:
            self._over(message)
        elif not message.live:
            if self._may_retry(message) and message.deadline - self.now > self._call_time(dest):
                self._hold(message)
            else:
                self._give_up(message)
        self._list(dest)
        self._close(call.endpoint)

    def _past(self, event: api.Past) -> None:
        """What an attempt before a restart told is heeded as if it had just ended, less the time since."""
        home = self.homes.get(event.endpoint)
        if home is None or event.result in (Result.OK, Result.CROWDED, Result.MOOT, Result.CANCELLED):
            return
        gate = self._dest(home).endpoints[event.endpoint].gate
        self.stirred[gate] = None
        if event.result is Result.FULL:
            gate.told_wait(self.now, event.wait - event.ago)
            gate.full(self.now, max(event.wait - event.ago, 0.0), False, self.now)
        else:
            gate.failed(self.now, False)

    def _close(self, endpoint: Endpoint) -> None:
        """Give back an idle connection that others may lack: guards against a fleet's idle ones filling an
        endpoint, whose holders meet no lack (so none waits for one where few are held). Costs handshakes."""
        lacked = self.now - self.lacked.get(endpoint.info.kind, -INF) < LACKED * self.sets.idle_close
        few = lacked or self.sets.few_connections
        keep = min(1.0, KEEP / self.sets.senders if few else 1.0) * self.sets.idle_close
        if not endpoint.out and 0.0 < keep <= endpoint.gap:
            self.actions.append(api.CloseIdle(endpoint.info.name))

    def _learn(self, dest: Destination, call: Call, event: api.AttemptEnded) -> None:
        """Tell the kinds of evidence apart; each has its own place."""
        result, endpoint, gate = event.result, call.endpoint, call.endpoint.gate
        self.stirred[gate] = None
        newer = call.sent >= endpoint.last_ok
        if event.limit is not None:
            gate.limit(event.limit, True)
            gate.left = event.limit_left if event.limit > 0 and event.limit_left is not None else 1.0
        if result is Result.CROWDED:
            gate.crowded(self.now, call.trial)
        if result in api.LACKING:
            self.lacked[endpoint.info.kind] = self.now
        dest.unanswered += result is Result.TIMEOUT
        if result is Result.OK:
            # Unanswered calls before one that passes at the usual pace were lost, not slow or hung.
            lost = dest.unanswered if event.latency < SLOW * dest.mean.usual else 0
            self.lost = 1.0 - (1.0 - self.lost * (1.0 - LOST_GAIN)) * (1.0 - LOST_GAIN) ** lost
            dest.unanswered = 0
            dest.mean.add(event.latency)
            if not dest.ill:
                self.mean.add(event.latency)  # what healthy destinations need: the ill must not move costs
            dest.last_pass = endpoint.last_ok = self.now
            if call.others >= endpoint.lack:  # as many stand at once as when one was missing
                endpoint.lack = endpoint.conns = INF
                self.short.pop(endpoint, None)
            endpoint.fails = 0
            gate.passed(self.now)
        elif result is Result.FULL:
            gate.full(self.now, event.wait, call.trial, call.sent)
        elif (
            result in api.LACKING
            and not call.trial
            and (
                result is Result.CROWDED
                or endpoint.out
                or self.now - endpoint.last_ok < LATELY * self.sets.connect_timeout
            )
        ):
            endpoint.fails += newer
            # Other calls pass. If one is missing twice before as many stood, its connections are all taken;
            # once may be an accident: guards against a path that loses some for ever seeming short of them.
            again, endpoint.lack = endpoint.lack < INF, float(endpoint.out)
            endpoint.conns = max(1.0, endpoint.lack) + (not again)
            self.short[endpoint] = None
            if again or (newer and endpoint.fails > 1):
                endpoint.avoid = self.now + ASIDE * self.sets.connect_timeout
        elif result in (Result.ERROR, Result.TIMEOUT, Result.RESET, Result.NO_CONNECTION):
            if result is Result.TIMEOUT and dest.last_pass < call.sent:
                # Slow as a whole, not one lost call: lost calls must not lengthen the time-outs of all.
                dest.mean.add(max(event.latency, dest.mean.value))
            endpoint.fails += newer
            if newer and endpoint.fails > 1:
                endpoint.avoid = self.now + ASIDE * self.sets.connect_timeout
            gate.failed(self.now, call.trial, call.trial or call.sent >= dest.last_pass)
