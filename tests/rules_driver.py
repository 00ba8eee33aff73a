"""Drives a checked sender with generated settings and with unusual but legal events."""

from __future__ import annotations

from random import Random

from brassweir import interface as api
from tests.checker import CheckedSender

RESULTS = list(api.Result)


def random_settings(rng: Random) -> api.Settings:
    """Draw legal settings."""
    classes = tuple(
        api.MessageClass(
            name=f"c{i}",
            aim=rng.choice([0.0, 500.0, 1000.0, 2000.0]),
            deadline=rng.choice([1000.0, 4000.0, 9000.0]),
            effect=effect,
            group=rng.choice(["all", "zone"]),
            window=rng.choice([0.0, 800.0, 5000.0]),
            in_order=rng.random() < 0.5,
        )
        for i, effect in enumerate(api.Effect)
    )
    kinds = tuple(
        api.DestinationKind(f"k{i}", rng.random() < 0.4, rng.choice([1, 1, 3, 20])) for i in range(2)
    )
    return api.Settings(
        classes=classes,
        slots=rng.choice([1, 2, 6]),
        max_open=rng.choice([1, 10, 60]),
        senders=rng.choice([1, 3, 340]),
        idle_close=rng.choice([0.0, 5000.0]),
        kinds=kinds,
        max_attempts=rng.choice([1, 3, 8]),
        max_retry_after=rng.choice([0.0, 2000.0]),
        tick=5.0,
        concurrent_attempts=rng.random() < 0.5,
        request_list=rng.random() < 0.3,
        weights=rng.choice(["none", "nominal", "rough"]),
        connect_timeout=rng.choice([250.0, 1000.0]),
        cold=3000.0,
        order_pause=rng.choice([0.0, 300.0]),
    )


class Driver:
    """Feeds a checked sender with generated events; attempts end in any way, also all at their timeout."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.checked = CheckedSender(random_settings(self.rng), seed)
        self.now, self.last_id = 0.0, 0
        self.in_flight: list[tuple[float, int, int, str]] = []
        self.zones: dict[int, str] = {}

    def list_update(self) -> api.ListUpdate:
        """Draw a list update of any kind, with endpoints that drain, go or move."""
        rng = self.rng
        kind = rng.choice(list(api.ListKind))
        entries = tuple(
            api.EndpointInfo(
                f"e{i}",
                (i + (rng.random() < 0.02)) % 4,  # sometimes it moves to another destination
                f"k{i % 2}",
                rng.choice(["a", "b"]) if i not in self.zones else self.zones[i],
                rng.choice([api.EntryState.READY] * 4 + [api.EntryState.DRAINING, api.EntryState.GONE]),
                rng.choice([0.5, 5.0, 50.0]),
            )
            for i in range(8)
            if rng.random() < 0.7
        )
        for info in entries:
            self.zones.setdefault(int(info.name[1:]), info.zone)
        bare = kind in (api.ListKind.FAILED, api.ListKind.UNCONFIRMED, api.ListKind.USABLE)
        return api.ListUpdate(kind, () if bare else entries)

    def attempt_ended(self, good: float) -> api.AttemptEnded | None:
        """End an attempt in flight, first those past their timeout; ``good`` is the chance of success."""
        due = [attempt for attempt in self.in_flight if attempt[0] <= self.now]
        pick = due[0] if due else self.rng.choice(self.in_flight) if self.in_flight else None
        if pick is None:
            return None
        self.in_flight.remove(pick)
        result = api.Result.TIMEOUT if due else self.rng.choice(RESULTS)
        if not due and self.rng.random() < good:
            result = api.Result.OK
        wait = self.rng.choice([0.0, 0.0, 150.0, 2500.0]) if result is api.Result.BUSY else 0.0
        closed = result is api.Result.OK or self.checked.messages[pick[1]].ended
        return api.AttemptEnded(
            pick[1],
            pick[2],
            pick[3],
            result,
            50.0,
            closed,
            wait,
            self.rng.choice([None, 0.0, 0.5]),
            self.rng.choice([None, 0.0, 4.0, 40.0]),
        )

    def step(self) -> None:
        """Advance the clock and run one turn."""
        rng = self.rng
        next_times = [attempt[0] for attempt in self.in_flight] + [
            t for t in self.checked.timers if t > self.now
        ]
        gap = rng.choice([0.0, 5.0, 5.0, 50.0, 400.0])
        self.now = min([self.now + gap, *next_times]) if gap else self.now
        events: list[api.Event] = [api.TimerDue() for t in self.checked.timers if t <= self.now]
        self.checked.timers = [t for t in self.checked.timers if t > self.now]
        while any(attempt[0] <= self.now for attempt in self.in_flight):
            ended = self.attempt_ended(0.0)
            if ended is not None:
                events.append(ended)
        if rng.random() < 0.08 or self.checked.turn == 0:
            events.append(self.list_update())
        for _ in range(rng.choice([0, 0, 1, 1, 2, 12])):
            self.last_id += 1
            cls = rng.choice(self.checked.settings.classes)
            events.append(
                api.NewMessage(
                    self.last_id,
                    cls.name,
                    rng.randrange(5),
                    cls.deadline * rng.choice([1.0, 1.0, 0.3, 0.005]),
                    rng.choice(["", "x", "y"]),
                )
            )
        good = 0.1 if int(self.now / 4000) % 2 else 0.8
        for _ in range(rng.choice([0, 1, 2])):
            ended = self.attempt_ended(good)
            if ended is not None:
                events.append(ended)
        if self.last_id and rng.random() < 0.05:
            events.append(api.Withdrawn(rng.randint(1, self.last_id)))
        if rng.random() < 0.05:
            events.append(api.AttemptEnded(999999, 0, "e0", api.Result.OK, 1.0))
        attempts = {ident: message.attempts for ident, message in self.checked.messages.items()}
        for action in self.checked.handle(self.now, events):
            if isinstance(action, api.Send):
                number = attempts.get(action.id, 0)
                attempts[action.id] = number + 1
                self.in_flight.append((action.abandon_at, action.id, number, action.endpoint))


def drive(seed: int, steps: int = 400) -> None:
    """Run ``steps`` generated turns; raises BrokenRule."""
    driver = Driver(seed)
    for _ in range(steps):
        driver.step()
