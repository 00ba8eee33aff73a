"""The sender: takes events, returns actions. The base classes hold its state and its rules."""

from brassweir import interface as api
from brassweir.control.aggregates import INF
from brassweir.control.entities import KeyQueue, Message
from brassweir.control.outcomes import OutcomeHandler

# late_worth below which late messages yield to those that can meet their aim: they have little left to lose.
YIELD_LATE_WORTH = 0.2
LIST_RETRY_FACTOR = 0.1  # x request_list_within: shortest wait before another request for the list
MAX_QUEUE_FACTOR = 2.0  # x target latency: longest delay by a rate limit for which a message is admitted


class Sender(OutcomeHandler):
    """All decisions of one sender; deterministic for a given seed and sequence of events."""

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Process the events of one moment (ms) and return the actions to carry out, in order.

        Raises MisuseError for a message with a known id or an unknown class.
        """
        self.now, self.actions, self.joinable_calls, self.recovery_changes = now, [], {}, []
        if self.timer_at <= now or api.TimerDue() in events:
            self.timer_at = INF  # it may have fired early by rounding; kept, it would block the next timer
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
            elif isinstance(event, api.RecoveryChange):
                self._on_past_recovery(event)
            elif isinstance(event, api.StopScheduled):
                self.stops_at = event.at
            elif (
                isinstance(event, api.Withdrawn)
                and (withdrawn := self.messages.get(event.id))
                and not withdrawn.ended
            ):
                self._end(withdrawn)
        self._dispatch_ready()
        self._run_scheduled()
        if self.scheduled and self.scheduled[0][0] < self.timer_at:
            self.timer_at = max(self.scheduled[0][0], now + self.settings.tick)
            self.actions.append(api.SetTimer(self.timer_at))
        return self.actions

    def _on_list_update(self, update: api.ListUpdate) -> None:
        """Apply a list update: add endpoints, move them, or make them unusable; none is ever removed."""
        if update.kind in (api.ListKind.UNCONFIRMED, api.ListKind.USABLE):
            self.list_usable = update.kind is api.ListKind.USABLE
            return
        if update.kind is api.ListKind.FAILED:
            if self.settings.request_list:
                wait = LIST_RETRY_FACTOR * self.settings.request_list_within * (1.0 + self.rng.random())
                self._schedule(self.now + wait, lambda _: self.actions.append(api.WatchList()))
            return
        if update.kind is not api.ListKind.DELTA:
            listed = {info.name for info in update.entries}
            for name, destination_id in self.destination_ids.items():
                if name not in listed:
                    self._destination(destination_id).endpoints[name].usable = False
        for info in update.entries:
            old_destination = self.destination_ids.get(info.name, info.destination)
            if old_destination != info.destination:
                self._destination(old_destination).endpoints[info.name].usable = False
            self.destination_ids[info.name] = info.destination
            resident, compacted = (
                self.destinations.get(info.destination),
                self.compacted.get(info.destination, ()),
            )
            known = (
                info.name in resident.endpoints
                if resident
                else any(entry.name == info.name for entry in compacted[2::2])
            )
            # The random rank spreads fresh senders over endpoints by rate. It is drawn for compacted
            # destinations too, so that compaction changes no decision.
            random_rank = 0.0 if known else self.rng.expovariate(1.0) / (info.rate or 1.0)
            if (
                not (resident or known)
                and info.state is api.EntryState.READY
                and compacted[:2] in ((), (self.now, ()))
            ):
                self.compacted[info.destination] = (*(compacted or (self.now, ())), info, random_rank)
                continue
            if compacted and not compacted[1] and info in compacted[2::2]:
                continue  # unchanged, and its destination was never used
            dest = self._destination(info.destination)
            endpoint = dest.endpoints.get(info.name) or self._add_endpoint(dest, info, random_rank, self.now)
            endpoint.info, endpoint.usable = info, info.state is api.EntryState.READY
            if self.settings.weights != "none":
                endpoint.gate.set_limit(info.rate, False)
                self.adjusting_gates[endpoint.gate] = None
            self._mark_ready(dest)

    def _admit(self, event: api.NewMessage) -> None:
        """Queue a new message, or refuse it if the backlog or the queue under a rate limit is too long."""
        if event.id in self.messages:
            raise api.MisuseError(f"message {event.id} was submitted twice")
        if (message_class := self.classes.get(event.class_name)) is None:
            raise api.MisuseError(f"message {event.id} has the unknown class {event.class_name!r}")
        dest = self._destination(event.destination)
        self.sequence += 1
        message = Message(
            event,
            message_class,
            dest,
            self.sequence,
            self.now,
            self.settings.worth_halves or message_class.late_worth < YIELD_LATE_WORTH,
        )
        message.cost = (
            dest.call_times.mean / self.call_times.mean
            if dest.call_times.mean and self.call_times.mean
            else 1.0
        )
        self.messages[message.id] = message
        self._add_load(dest, message.cost, 1, 0)
        for endpoint in dest.endpoints.values():
            # Repeats don't raise own_rate().
            endpoint.gate.arrivals += (not event.resent) / len(dest.endpoints)
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
