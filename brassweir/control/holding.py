"""What one sender knows and holds: destinations awake and folded up, messages, turns, each final answer."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from brassweir import interface as api
from brassweir.control.bound import PERIOD, Bound
from brassweir.control.gate import Gate
from brassweir.control.means import INF, Load, Mean, fold, unfold
from brassweir.control.open import Call, Destination, Endpoint, KeyLine, Message

UNMET = 0.25  # x connect time-out, or a shorter deadline: call time taken for an unmet destination at first
CONNS_BACK = 0.2  # calls at once that an endpoint short of connections gets back each second
DOZE = 10.0  # x PERIOD: a destination without messages for so long is folded up


class Holding:
    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.sets, self.rng = settings, Random(seed)
        self.classes = {cls.name: cls for cls in settings.classes}
        self.batch = {kind.name: kind.batch for kind in settings.kinds}
        self.unmet = min(settings.connect_timeout, *(cls.deadline for cls in settings.classes))
        self.apart_kinds = {kind.name for kind in settings.kinds if kind.apart}
        self.bound, self.mean = Bound(settings.slots, settings.max_open), Mean()
        self.dests: dict[int, Destination] = {}  # those awake
        # Those folded up: when first listed, what differs from a fresh one, then info and lot by turns.
        self.asleep: dict[int, tuple[Any, ...]] = {}
        self.homes: dict[str, int] = {}  # the destination of each endpoint ever listed
        self.idle: dict[int, float] = {}  # awake without messages since, longest first
        self.stirred: dict[Gate, None] = {}  # gates whose pace may move by itself
        self.short: dict[Endpoint, None] = {}  # endpoints whose connections were all taken
        self.messages: dict[int, Message] = {}
        self.lost = 0.0  # running share of calls whose answer got lost
        self.keys: dict[str, KeyLine] = {}
        self.load, self.apart = Load(), Load()  # of all, of ill destinations
        self.lacked: dict[str, float] = {}  # when a connection was last missing, by kind of destination
        self.ready: list[tuple[float, int, int]] = []  # (deadline, order, destination) free to send
        self.wakes: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self.order, self.timer = 0, INF  # numbers given so far; earliest timer set
        self.calls: dict[str, Call] = {}  # calls of this reply that may be shared
        self.now, self.leaves = now, INF  # this moment; when this sender ends
        self.list_usable = True  # else nothing new is sent
        self.actions: list[api.Action] = []
        self._wake(now + PERIOD, self._second)
        if settings.ask_list:
            self._wake(now, lambda _: self.actions.append(api.WatchList()))

    def _wake(self, at: float, what: Callable[[Any], None], arg: Any = None) -> None:
        self.order += 1
        heappush(self.wakes, (at, self.order, what, arg))

    def _wakes(self) -> None:
        while self.wakes and self.wakes[0][0] <= self.now:
            _, _, what, arg = heappop(self.wakes)
            what(arg)

    def _second(self, _: None) -> None:
        self.bound.step()
        for gate in [gate for gate in self.stirred if not gate.second(self.now)]:
            del self.stirred[gate]
        for endpoint in [*self.short]:
            endpoint.conns += CONNS_BACK
            if endpoint.conns > self.sets.slots:  # no more calls than that can be out
                endpoint.conns = endpoint.lack = INF
                del self.short[endpoint]
        while self.idle:
            ident, since = next(iter(self.idle.items()))
            if self.now - since < DOZE * PERIOD:
                break
            del self.idle[ident]
            self._doze(self.dests[ident])
        self._wake(self.now + PERIOD, self._second)

    def _endpoint(self, dest: Destination, info: api.EndpointInfo, lot: float, since: float) -> Endpoint:
        gate = Gate(self.sets, self.rng, since) if info.kind in self.apart_kinds else dest.gate
        made = dest.endpoints[info.name] = Endpoint(info, gate, lot)
        if self.sets.weights != "none":
            gate.limit(info.rate, False)
        return made

    def _dest(self, ident: int) -> Destination:
        """A destination awake; one asleep comes back just as it was."""
        if (dest := self.dests.get(ident)) is None:
            since, folded, *listed = self.asleep.pop(ident, (self.now, ()))
            dest = self.dests[ident] = Destination(ident, Gate(self.sets, self.rng, since))
            for info, lot in zip(listed[::2], listed[1::2], strict=True):
                self._endpoint(dest, info, lot, since)
            for thing, part in zip(self._parts(dest), folded, strict=bool(folded)):
                unfold(thing, part)
            self.idle[ident] = self.now
        return dest

    @staticmethod
    def _parts(dest: Destination) -> list[Any]:
        """All that is folded of a destination."""
        made = [*dest.endpoints.values()]
        apart = [one.gate for one in made if one.gate is not dest.gate]
        return [dest, dest.gate, dest.mean, dest.load, *made, *apart]

    def _doze(self, dest: Destination) -> None:
        """Fold up a destination with nothing open and nothing to recover: only what cannot be worked out
        again is kept. Guards against thousands with a message now and then costing what busy ones cost."""
        made = [*dest.endpoints.values()]
        if dest.load.open or dest.calls:
            return  # it comes by here again when it is empty
        if any(one in self.short or one.gate in self.stirred for one in made) or dest.gate in self.stirred:
            self.idle[dest.id] = self.now
            return
        since, dest.woken = dest.gate.start, INF
        fresh = Destination(dest.id, Gate(self.sets, self.rng, since))
        for one in made:
            self._endpoint(fresh, one.info, one.lot, since)
        parts, blanks = self._parts(dest), self._parts(fresh)
        if len(parts) != len(blanks):
            return  # an endpoint's kind has changed, and its gate is of the old kind: it stays awake
        folded = tuple(fold(*pair) for pair in zip(parts, blanks, strict=True))
        listed = (part for one in made for part in (one.info, one.lot))
        self.asleep[dest.id] = (since, folded if any(folded) else (), *listed)
        del self.dests[dest.id]

    def _call_time(self, dest: Destination) -> float:
        return dest.mean.value or self.mean.value or UNMET * self.unmet

    def _count(self, dest: Destination, cost: float, messages: int, slots: int) -> None:
        """The one place where totals move, so that no decision walks the destinations."""
        self.load.add(cost, messages, slots)
        dest.load.add(cost, messages, slots)
        if dest.ill:
            self.apart.add(cost, messages, slots)

    def _hold(self, message: Message) -> None:
        """Put a message that may go into its destination's heap."""
        if message.over or message.held or message.live:
            return
        message.held = True
        self._expiry(message)
        heappush(message.dest.heap, (message.due, message.order, message))
        self._list(message.dest)

    def _list(self, dest: Destination) -> None:
        dest.woken = INF if dest.woken <= self.now else dest.woken
        if (head := dest.head(self.now)) is not None:
            heappush(self.ready, (head.due, head.order, dest.id))

    def _expiry(self, message: Message) -> None:
        """Look again when its time or its key's window is all but up; anew at each hold, as attempts end."""
        at = message.deadline - self._call_time(message.dest)
        if message.cls.effect is api.Effect.KEYED:
            at = min(at, message.may_run + message.cls.window + self.sets.tick)
        self._wake(max(at, self.now), self._expire, message)

    def _expire(self, message: Message) -> None:
        if message.held or not (message.over or message.live):
            self._give_up(message)

    def _has_turn(self, message: Message) -> bool:
        line = self.keys[message.key]
        return line.queue[0] is message and (line.rest <= self.now or message.was_sent)

    def _turn(self, key: str) -> None:
        """Pass the turn on once nothing of an earlier message is out and the key has rested."""
        line = self.keys.get(key)
        if line is None:
            return
        while line.queue and line.queue[0].over and not line.queue[0].live:
            line.queue.popleft()
        if line.rest > self.now:
            self._wake(line.rest, self._turn, key)
        elif not line.queue:
            del self.keys[key]
        elif not line.queue[0].over:
            self._hold(line.queue[0])

    def _give_up(self, message: Message) -> None:
        """The final answer, at once: a refusal where a repeat is harmless, else a failure."""
        effect = message.cls.effect
        harmless = effect is api.Effect.SAFE or (effect is api.Effect.KEYED and message.cls.group == "all")
        if harmless or (message.may_run == INF and not message.live):
            self.actions.append(api.Refuse(message.id, self._retry_after(message)))
        else:
            self.actions.append(api.Fail(message.id))
        self._over(message)

    def _retry_after(self, message: Message) -> float:
        """When it is worth coming back: once the excess is worked off, or the destination may be back."""
        call = self._call_time(message.dest)
        excess = (self.load.cost - self.apart.cost - self.bound.value) * (self.mean.value or call)
        back = min(max(gate.wait, gate.trial if gate.shut else -INF) for gate in message.dest.gates())
        return min(max(excess / self.sets.slots, call, back - self.now), self.sets.max_retry_after)

    def _over(self, message: Message) -> None:
        message.over, message.held = True, False
        self._count(message.dest, -message.cost, -1, 0)
        if message.was_sent and not message.dest.ill:
            self.bound.answered((self.now - message.first) / message.span)
        self._forget(message)

    def _forget(self, message: Message) -> None:
        """Drop it once nothing more can come for it."""
        if message.live:
            return
        self.messages.pop(message.id, None)
        if not message.dest.load.open and not message.dest.calls:
            self.idle.pop(message.dest.id, None)
            self.idle[message.dest.id] = self.now
        if message.turns:
            self._turn(message.key)
