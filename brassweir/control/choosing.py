"""What goes next, where, and for how long it is waited for; the rules on sends, each once."""

import math
from heapq import heappop
from typing import Any

from brassweir import interface as api
from brassweir.control.gate import LATELY
from brassweir.control.holding import UNMET, Holding
from brassweir.control.open import Call, Destination, Endpoint, Message

CAP = 0.75  # share of the slots that one destination may hold
SICK_CAP = 0.5  # the same while it is slow or failed lately
SLOW = 2.0  # x mean call time: a call out for longer makes its destination sick
TIMEOUT_MEANS = 6.0  # x mean call time: beyond it an answer hardly comes
TIMEOUT_LEAST = 1.0  # x connect time-out: shortest time-out
TIMEOUT_GROWTH = 2.0  # x for each further attempt, so that a heavy call may end
TIMEOUT_UNSAFE = 3.0  # x the time-out of others: giving up a call that can't be repeated loses the message
LOST = 0.03  # running share of lost answers from which time-outs are short
LOST_MEANS = 4.0  # x mean call time: time-out then
LOST_LEAST = 0.4  # x connect time-out: shortest time-out then
ILL = 4.0  # x usual call time: a destination whose mean grew so much is ill
FAILS_ILL = 2  # failures in a row that set a destination apart; a single one may be a lost call
HUSH = 6.0  # x mean call time: no answer since a call that old means silence
LAST_CALL = 3.0  # x mean call time: no call that can't be repeated begins nearer to this sender's end
GAP_GAIN = 0.3  # weight of a new gap between two calls to an endpoint: some three are remembered
ASIDE = 0.5  # x connect time-out: wait for a message, or an endpoint that failed twice, set aside


class Choosing(Holding):
    def _room(self, dest: Destination) -> bool:
        """Is the backlog, with the new message in it, within the bound? What waits for ill destinations
        weighs only on messages for these, which may fill their share of the holding limit."""
        if dest.ill:
            return self.apart.open <= SICK_CAP * self.sets.max_open
        free = self.list_usable and self.load.out < self.sets.slots
        return free or self.load.cost - self.apart.cost <= self.bound.value

    def _queue(self, dest: Destination) -> float:
        """How long the pace of its gates lets a new message wait: guards against a queue standing under a
        limit, where all are late. Not where reports tell of room, nor on a ramp: both soon grow."""
        gates = {
            endpoint.gate: self.batch.get(endpoint.info.kind, 1)
            for endpoint in dest.endpoints.values()
            if endpoint.usable
        }
        if not gates or any(gate.shut or gate.told for gate in gates):
            return 0.0
        rate = sum(gate.pace * batch for gate, batch in gates.items())
        return max(0, dest.load.open - 1 - len(dest.calls)) * 1000.0 / rate

    def _pump(self) -> None:
        """Send the earliest deadlines among destinations free to send while slots are free."""
        while self.list_usable and self.ready and self.load.out < self.sets.slots:
            due, order, ident = heappop(self.ready)
            dest = self.dests.get(ident)
            head = dest.head(self.now) if dest is not None else None
            if dest is None or head is None or (head.due, head.order) != (due, order):
                continue
            self._release(dest, head)
        for call in [*self.calls.values()]:
            dest = self.dests[call.endpoint.info.destination]
            while (head := dest.head(self.now)) is not None and self._joins(dest, head) is not None:
                self._release(dest, head)

    def _joins(self, dest: Destination, message: Message) -> Endpoint | None:
        """Where a call of this reply still has room: a message that joins it takes no slot and no token of
        its own. Guards against a limit on calls passing for one on messages. A trial stays small."""
        for endpoint in dest.endpoints.values():
            call = self.calls.get(endpoint.info.name)
            if (
                call is not None
                and not call.trial
                and call.size < self.batch.get(endpoint.info.kind, 1)
                and self._may_send(message, endpoint)
            ):
                return endpoint
        return None

    def _release(self, dest: Destination, head: Message) -> None:
        last = head.deadline - self._call_time(dest)  # later it is not worth a call
        endpoint, at = self._route(dest, head) if self.now <= last else (None, self.now)
        if endpoint is None and self.now <= last and (at <= last or at == math.inf):
            if at < dest.woken:
                dest.woken = at
                self._wake(at, self._list, dest)
            return
        if endpoint is not None and self._may_send(head, endpoint):
            self._send(head, endpoint)
        elif endpoint is not None and self._may_retry(head):
            head.held = False  # its own state forbids it now: aside, so that it holds up no other
            self._wake(self.now + ASIDE * self.sets.connect_timeout, self._hold, head)
        else:
            self._give_up(head)
        self._list(dest)

    def _judge(self, dest: Destination) -> bool:
        """Ill: shut, failing lately, silent, or far slower than usual. Guards the bound and the slots of all
        others: ill destinations together keep to the share of the slots that a sick one may hold."""
        ill = (
            all(gate.shut or gate.fails >= FAILS_ILL for gate in dest.gates())
            or self._silent(dest)
            or dest.mean.value > ILL * dest.mean.usual > 0
        )
        if ill != dest.ill:
            sign, load, dest.ill = 1 if ill else -1, dest.load, ill
            self.apart.add(sign * load.cost, sign * load.open, sign * load.out)
        return ill

    def _silent(self, dest: Destination) -> bool:
        """No answer since a call sent long ago: guards against filling slots at a hung destination."""
        return dest.last_pass < (since := dest.oldest()) and self.now - since > HUSH * self._call_time(dest)

    def _route(self, dest: Destination, message: Message) -> tuple[Endpoint | None, float]:
        """The endpoint to use now, or when to look again (infinite: at the next event there)."""
        if (joined := self._joins(dest, message)) is not None:
            return joined, self.now
        recent = self.now - LATELY * self.sets.connect_timeout
        slow = self.now - dest.oldest() > SLOW * self._call_time(dest)
        sick = slow or all(gate.last_fail > recent for gate in dest.gates())
        cap = max(1, math.floor(self.sets.slots * (SICK_CAP if sick else CAP)))
        if dest.load.out >= cap or (dest.load.out and self._silent(dest)):
            return None, math.inf
        if self._judge(dest) and self.apart.out >= max(1, math.floor(self.sets.slots * SICK_CAP)):
            return None, self.now + UNMET * self.sets.connect_timeout
        best: Endpoint | None = None
        rank, soonest = tuple[Any, ...](), math.inf
        for endpoint in dest.endpoints.values():
            if not endpoint.usable or not self._in_group(message, endpoint):
                continue
            at = endpoint.gate.when(self.now, len(dest.heap) <= 1)
            at = max(at, endpoint.avoid if not endpoint.gate.shut else -math.inf)
            if at > self.now or endpoint.out >= max(1.0, endpoint.conns):
                soonest = min(soonest, at if at > self.now else math.inf)
                continue
            mine = (endpoint.fails, endpoint.out, -endpoint.used, endpoint.lot)
            if best is None or mine < rank:
                best, rank = endpoint, mine
        return best, soonest

    def _in_group(self, message: Message, endpoint: Endpoint) -> bool:
        return message.may_run == math.inf or message.cls.group == "all" or message.zone == endpoint.info.zone

    def _may_retry(self, message: Message) -> bool:
        """May another attempt ever go out for it."""
        effect = message.cls.effect
        blocked = bool(message.live) and (not self.sets.second_copies or effect is api.Effect.UNSAFE)
        if message.over or message.tries >= self.sets.max_attempts or blocked:
            return False
        if message.may_run == math.inf or effect is api.Effect.SAFE:
            return True
        return effect is api.Effect.KEYED and self.now <= message.may_run + message.cls.window

    def _may_send(self, message: Message, endpoint: Endpoint) -> bool:
        """The rules on sends, each once. What can't be repeated waits if a restart could cut its call."""
        cut = message.cls.effect is api.Effect.UNSAFE and self.leaves < math.inf
        return (
            self._may_retry(message)
            and endpoint.usable
            and endpoint.gate.wait <= self.now
            and not (cut and self.now + LAST_CALL * self._call_time(message.dest) > self.leaves)
            and self._in_group(message, endpoint)
            and self.now < message.deadline
            and (not message.turns or self._has_turn(message))
        )

    def _send(self, message: Message, endpoint: Endpoint) -> None:
        dest = message.dest
        call = self.calls.get(endpoint.info.name)
        if call is None or call.trial or call.size >= self.batch.get(endpoint.info.kind, 1):
            call = self.calls[endpoint.info.name] = Call(endpoint, self.now)
            call.trial = endpoint.gate.sent(self.now)
            self._count(dest, 0.0, 0, 1)
            endpoint.out += 1
        call.messages += 1
        call.size += 1
        message.live[message.tries] = dest.calls[message.id, message.tries] = call
        message.tries += 1
        message.held, message.was_sent = False, True
        if message.tries == 1:
            gap = min(self.now - endpoint.used, self.sets.idle_close)
            endpoint.gap = gap if endpoint.gap == math.inf else endpoint.gap + (gap - endpoint.gap) * GAP_GAIN
        endpoint.used = self.now
        until = min(self.now + self._time_out(message), message.deadline)
        self.actions.append(api.Send(message.id, endpoint.info.name, until))

    def _time_out(self, message: Message) -> float:
        """Short while answers get lost: guards against lost calls holding slots; fails some heavy ones."""
        call = self._call_time(message.dest)
        means, least = (LOST_MEANS, LOST_LEAST) if self.lost > LOST else (TIMEOUT_MEANS, TIMEOUT_LEAST)
        span = max(means * call, least * self.sets.connect_timeout)
        if message.cls.effect is api.Effect.UNSAFE and self.lost <= LOST:
            return span * TIMEOUT_UNSAFE
        return span * TIMEOUT_GROWTH ** (message.tries - 1)
