"""All decisions of one sender, as the sum of the parts: what is told comes in, what to do goes out."""

from brassweir import interface as api
from brassweir.control.ending import Ending
from brassweir.control.means import INF
from brassweir.control.open import KeyLine, Message

CLIFF = 0.2  # worth left at the deadline: below it a late message has little to lose there, so it yields
ASK_AGAIN = 0.1  # x the time in which a list must be asked for: wait after a failed call, up to doubled
QUEUE = 2.0  # x aim: a message that would queue for longer under a limit is refused


class Sender(Ending):
    """The decisions of one sender."""

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take the events of one moment and return what to do."""
        self.now, self.actions, self.calls = now, [], {}
        if self.timer <= now or api.TimerDue() in events:
            self.timer = INF  # due, perhaps by a rounded time: guards against waiting for it for ever
        self._wakes()
        for event in events:
            if isinstance(event, api.AttemptEnded):
                self._ended(event)
            elif isinstance(event, api.NewMessage):
                self._pump()
                self._admit(event)
            elif isinstance(event, api.ListNews):
                self._news(event)
            elif isinstance(event, api.Past):
                self._past(event)
            elif isinstance(event, api.Leaving):
                self.leaves = event.at
            elif isinstance(event, api.Withdrawn) and (gone := self.messages.get(event.id)) and not gone.over:
                self._over(gone)
        self._pump()
        self._wakes()
        if self.wakes and self.wakes[0][0] < self.timer:
            self.timer = max(self.wakes[0][0], now + self.sets.tick)
            self.actions.append(api.SetTimer(self.timer))
        return self.actions

    def _news(self, news: api.ListNews) -> None:
        if news.kind in (api.ListKind.UNCONFIRMED, api.ListKind.USABLE):
            self.list_usable = news.kind is api.ListKind.USABLE
            return
        if news.kind is api.ListKind.FAILED:
            if self.sets.ask_list:
                wait = ASK_AGAIN * self.sets.ask_within * (1.0 + self.rng.random())
                self._wake(self.now + wait, lambda _: self.actions.append(api.WatchList()))
            return
        if news.kind is not api.ListKind.DELTA:
            named = {info.name for info in news.entries}
            for name, home in self.homes.items():
                if name not in named:
                    self._dest(home).endpoints[name].usable = False
        for info in news.entries:
            was = self.homes.get(info.name, info.destination)
            if was != info.destination:
                self._dest(was).endpoints[info.name].usable = False  # it has moved to another destination
            self.homes[info.name] = info.destination
            awake, nap = self.dests.get(info.destination), self.asleep.get(info.destination, ())
            known = info.name in awake.endpoints if awake else any(one.name == info.name for one in nap[2::2])
            # Drawn so that a fleet of fresh senders spreads by rate: guards against all taking the same one;
            # and drawn now, also for one asleep, so that no decision hangs on who sleeps.
            lot = 0.0 if known else self.rng.expovariate(1.0) / (info.rate or 1.0)
            if not (awake or known) and info.state is api.State.READY and nap[:2] in ((), (self.now, ())):
                self.asleep[info.destination] = (*(nap or (self.now, ())), info, lot)
                continue
            if nap and not nap[1] and info in nap[2::2]:
                continue  # nothing new of one that was never used
            dest = self._dest(info.destination)
            endpoint = dest.endpoints.get(info.name) or self._endpoint(dest, info, lot, self.now)
            endpoint.info, endpoint.usable = info, info.state is api.State.READY
            if self.sets.weights != "none":
                endpoint.gate.limit(info.rate, False)
                self.stirred[endpoint.gate] = None
            self._list(dest)

    def _admit(self, event: api.NewMessage) -> None:
        if event.id in self.messages:
            raise api.MisuseError(f"message {event.id} was handed in twice")
        if (cls := self.classes.get(event.class_name)) is None:
            raise api.MisuseError(f"message {event.id} has the unknown class {event.class_name!r}")
        dest = self._dest(event.destination)
        self.order += 1
        message = Message(event, cls, dest, self.order, self.now, self.sets.by_half or cls.late_worth < CLIFF)
        message.cost = dest.mean.value / self.mean.value if dest.mean.value and self.mean.value else 1.0
        self.messages[message.id] = message
        self._count(dest, message.cost, 1, 0)
        for endpoint in dest.endpoints.values():
            endpoint.gate.arrivals += (not event.resent) / len(dest.endpoints)  # tries again swell no part
            self.stirred[endpoint.gate] = None
        if message.turns:
            self.keys.setdefault(message.key, KeyLine()).queue.append(message)
        if not event.admitted and (not self._room(dest) or self._queue(dest) > QUEUE * message.span):
            self._give_up(message)
        elif not message.turns or self._has_turn(message):
            self._hold(message)
        else:
            self._expiry(message)
