"""All decisions of one sender, as the sum of the parts: what is told comes in, what to do goes out."""

from brassweir import interface as api
from brassweir.control.aggregates import INF
from brassweir.control.entities import KeyQueue, Message
from brassweir.control.outcomes import OutcomeHandler

YIELD_LATE_WORTH = (
    0.2  # worth left at the deadline: below it a late message has little to lose there, so it yields
)
LIST_RETRY_FACTOR = (
    0.1  # x the time in which a list must be asked for: wait after a failed call, up to doubled
)
MAX_QUEUE_FACTOR = 2.0  # x aim: a message that would queue for longer under a limit is refused


class Sender(OutcomeHandler):
    """The decisions of one sender."""

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take the events of one moment and return what to do."""
        self.now, self.actions, self.joinable_calls = now, [], {}
        if self.timer_at <= now or api.TimerDue() in events:
            self.timer_at = INF  # due, perhaps by a rounded time: guards against waiting for it for ever
        self._run_scheduled()
        for event in events:
            if isinstance(event, api.AttemptEnded):
                self._on_attempt_ended(event)
            elif isinstance(event, api.NewMessage):
                self._dispatch_ready()
                self._admit(event)
            elif isinstance(event, api.ListUpdate):
                self._on_list_update(event)
            elif isinstance(event, api.PastAttempt):
                self._on_past_attempt(event)
            elif isinstance(event, api.StopScheduled):
                self.stops_at = event.at
            elif (
                isinstance(event, api.Withdrawn) and (gone := self.messages.get(event.id)) and not gone.ended
            ):
                self._end(gone)
        self._dispatch_ready()
        self._run_scheduled()
        if self.scheduled and self.scheduled[0][0] < self.timer_at:
            self.timer_at = max(self.scheduled[0][0], now + self.settings.tick)
            self.actions.append(api.SetTimer(self.timer_at))
        return self.actions

    def _on_list_update(self, news: api.ListUpdate) -> None:
        if news.kind in (api.ListKind.UNCONFIRMED, api.ListKind.USABLE):
            self.list_usable = news.kind is api.ListKind.USABLE
            return
        if news.kind is api.ListKind.FAILED:
            if self.settings.request_list:
                wait = LIST_RETRY_FACTOR * self.settings.request_list_within * (1.0 + self.rng.random())
                self._schedule(self.now + wait, lambda _: self.actions.append(api.WatchList()))
            return
        if news.kind is not api.ListKind.DELTA:
            named = {info.name for info in news.entries}
            for name, home in self.destination_ids.items():
                if name not in named:
                    self._destination(home).endpoints[name].usable = False
        for info in news.entries:
            was = self.destination_ids.get(info.name, info.destination)
            if was != info.destination:
                self._destination(was).endpoints[
                    info.name
                ].usable = False  # it has moved to another destination
            self.destination_ids[info.name] = info.destination
            awake, nap = self.destinations.get(info.destination), self.compacted.get(info.destination, ())
            known = info.name in awake.endpoints if awake else any(one.name == info.name for one in nap[2::2])
            # Drawn so that a fleet of fresh senders spreads by rate: guards against all taking the same one;
            # and drawn now, also for one asleep, so that no decision hangs on who sleeps.
            lot = 0.0 if known else self.rng.expovariate(1.0) / (info.rate or 1.0)
            if (
                not (awake or known)
                and info.state is api.EntryState.READY
                and nap[:2] in ((), (self.now, ()))
            ):
                self.compacted[info.destination] = (*(nap or (self.now, ())), info, lot)
                continue
            if nap and not nap[1] and info in nap[2::2]:
                continue  # nothing new of one that was never used
            dest = self._destination(info.destination)
            endpoint = dest.endpoints.get(info.name) or self._add_endpoint(dest, info, lot, self.now)
            endpoint.info, endpoint.usable = info, info.state is api.EntryState.READY
            if self.settings.weights != "none":
                endpoint.gate.set_limit(info.rate, False)
                self.adjusting_gates[endpoint.gate] = None
            self._mark_ready(dest)

    def _admit(self, event: api.NewMessage) -> None:
        if event.id in self.messages:
            raise api.MisuseError(f"message {event.id} was handed in twice")
        if (cls := self.classes.get(event.class_name)) is None:
            raise api.MisuseError(f"message {event.id} has the unknown class {event.class_name!r}")
        dest = self._destination(event.destination)
        self.sequence += 1
        message = Message(
            event,
            cls,
            dest,
            self.sequence,
            self.now,
            self.settings.worth_halves or cls.late_worth < YIELD_LATE_WORTH,
        )
        message.cost = (
            dest.call_times.mean / self.call_times.mean
            if dest.call_times.mean and self.call_times.mean
            else 1.0
        )
        self.messages[message.id] = message
        self._add_load(dest, message.cost, 1, 0)
        for endpoint in dest.endpoints.values():
            endpoint.gate.arrivals += (not event.resent) / len(dest.endpoints)  # tries again swell no part
            self.adjusting_gates[endpoint.gate] = None
        if message.in_order:
            self.key_queues.setdefault(message.key, KeyQueue()).messages.append(message)
        if not event.admitted and (
            not self._has_capacity(dest)
            or self._queue_delay(dest) > MAX_QUEUE_FACTOR * message.target_latency
        ):
            self._end_undelivered(message)
        elif not message.in_order or self._has_turn(message):
            self._enqueue(message)
        else:
            self._schedule_expiry(message)
