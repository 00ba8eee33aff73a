"""Drives a checked sender with generated settings and odd but legal events."""

from __future__ import annotations

from random import Random

from brassweir import interface as api
from tests.checker import Checked

RESULTS = list(api.Result)


def random_settings(rng: Random) -> api.Settings:
    """Any legal settings."""
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
    """Feeds a checked sender with odd but legal events."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.box = Checked(random_settings(self.rng), seed)
        self.now, self.ids = 0.0, 0
        self.out: list[tuple[float, int, int, str]] = []
        self.zones: dict[int, str] = {}

    def news(self) -> api.ListUpdate:
        """A list: delta, full or failed, with drains and endpoints that go; or whether it may be relied on."""
        rng = self.rng
        kind = rng.choice(list(api.ListKind))
        entries = tuple(
            api.EndpointInfo(
                f"e{i}",
                (i + (rng.random() < 0.02)) % 4,  # now and then it moves to another destination
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

    def outcome(self, good: float) -> api.AttemptEnded | None:
        """Some outstanding attempt ends, mostly soon, sometimes badly; time-outs come at their time."""
        due = [o for o in self.out if o[0] <= self.now]
        pick = due[0] if due else self.rng.choice(self.out) if self.out else None
        if pick is None:
            return None
        self.out.remove(pick)
        result = api.Result.TIMEOUT if due else self.rng.choice(RESULTS)
        if not due and self.rng.random() < good:
            result = api.Result.OK
        wait = self.rng.choice([0.0, 0.0, 150.0, 2500.0]) if result is api.Result.BUSY else 0.0
        closed = result is api.Result.OK or self.box.tracks[pick[1]].over
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
        """One batch."""
        rng = self.rng
        nexts = [o[0] for o in self.out] + [t for t in self.box.timers if t > self.now]
        gap = rng.choice([0.0, 5.0, 5.0, 50.0, 400.0])
        self.now = min([self.now + gap, *nexts]) if gap else self.now
        events: list[api.Event] = [api.TimerDue() for t in self.box.timers if t <= self.now]
        self.box.timers = [t for t in self.box.timers if t > self.now]
        while any(o[0] <= self.now for o in self.out):
            ended = self.outcome(0.0)
            if ended is not None:
                events.append(ended)
        if rng.random() < 0.08 or self.box.frame == 0:
            events.append(self.news())
        for _ in range(rng.choice([0, 0, 1, 1, 2, 12])):
            self.ids += 1
            cls = rng.choice(self.box.settings.classes)
            events.append(
                api.NewMessage(
                    self.ids,
                    cls.name,
                    rng.randrange(5),
                    cls.deadline * rng.choice([1.0, 1.0, 0.3, 0.005]),
                    rng.choice(["", "x", "y"]),
                )
            )
        good = 0.1 if int(self.now / 4000) % 2 else 0.8
        for _ in range(rng.choice([0, 1, 2])):
            ended = self.outcome(good)
            if ended is not None:
                events.append(ended)
        if self.ids and rng.random() < 0.05:
            events.append(api.Withdrawn(rng.randint(1, self.ids)))
        if rng.random() < 0.05:
            events.append(api.AttemptEnded(999999, 0, "e0", api.Result.OK, 1.0))
        tries = {i: t.tries for i, t in self.box.tracks.items()}
        for action in self.box.handle(self.now, events):
            if isinstance(action, api.Send):
                number = tries.get(action.id, 0)
                tries[action.id] = number + 1
                self.out.append((action.abandon_at, action.id, number, action.endpoint))


def drive(seed: int, steps: int = 400) -> None:
    """One generated run."""
    driver = Driver(seed)
    for _ in range(steps):
        driver.step()
