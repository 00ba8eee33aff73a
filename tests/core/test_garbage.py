"""Guards against reference cycles in the engine, which would hold memory until the garbage collector runs."""

from __future__ import annotations

import gc
from collections.abc import Callable

from brassweir import interface as api
from brassweir.core.clock import SimClock
from brassweir.core.ports import Attempt, Outcome, StartGuard, Submission
from tests.core.engines import make_engine


class DroppingCarrier:
    """A carrier that delivers, except every third attempt, and keeps no reference to any."""

    def __init__(self, clock: SimClock) -> None:
        self.clock, self.count = clock, 0

    def start(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        self.count += 1
        result = api.Result.OK if attempt.start_guard.begin() and self.count % 3 else api.Result.NO_CONNECTION
        self.clock.call_at(self.clock.now() + 10.0, lambda: done(Outcome(result)))

    def close_idle(self, endpoint: str) -> None:
        pass


def test_ended_attempts_are_freed_without_the_garbage_collector() -> None:
    engine, clock, _ = make_engine()
    carrier = DroppingCarrier(clock)
    engine.carrier_for = lambda _: carrier
    gc.collect()
    gc.disable()
    try:
        for i in range(30):
            engine.submit(Submission("o", f"m{i}", "safe", 1 + i % 3, 4000.0), lambda _: None)
        clock.run(12_000.0)
        remaining = [
            type(item).__name__ for item in gc.get_objects() if isinstance(item, Attempt | StartGuard)
        ]
    finally:
        gc.enable()
    assert carrier.count > 12 and not engine.ledger.open_messages() and remaining == []
