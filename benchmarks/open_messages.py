"""Memory of one open message in engine, ledger and decision module, content not counted; one run."""

from __future__ import annotations

import gc
import json
import tracemalloc

from brassweir import interface as api
from brassweir.core.clock import SimClock
from brassweir.core.engine import Engine
from brassweir.core.ports import Attempt, Payload, Submission

COUNT, CONTENT, DESTINATIONS = 10_000, 500, 100
LEFT = 500_000.0  # ms that a message has
CLASS = api.MessageClass("pay", 60_000.0, 600_000.0, api.Effect.UNSAFE)


class Silent:
    """Partners that never answer."""

    def start(self, attempt: Attempt, done: object) -> None:
        """Nothing."""

    def close_idle(self, endpoint: str) -> None:
        """Nothing."""


def engine_for(count: int, clock: SimClock) -> Engine:
    """An engine that may hold so many and send all of them, to partners that never answer."""
    settings = api.Settings(classes=(CLASS,), slots=2 * count, max_open=2 * count)
    engine = Engine(settings, 1, clock, lambda _: Silent())
    listed = tuple(api.EndpointInfo(f"e{i}", i, "") for i in range(DESTINATIONS))
    engine.update_list(api.ListUpdate(api.ListKind.FULL, listed))
    clock.run(clock.now() + 1.0)
    return engine


def submit(engine: Engine, clock: SimClock, count: int) -> None:
    """Hand in so many messages, a millisecond apart by the thousand."""
    for i in range(count):
        payload = Payload("a/b", bytes(CONTENT))
        submission = Submission(
            "office", f"bank\n<{i}@office>", CLASS.name, i % DESTINATIONS, LEFT, payload=payload
        )
        engine.submit(submission, lambda _: None)
        if i % 1000 == 999:
            clock.run(clock.now() + 1.0)
    clock.run(clock.now() + 99.0)


def main() -> None:
    """Print JSON."""
    clock = SimClock(1000.0)
    engine = engine_for(COUNT, clock)
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    submit(engine, clock, COUNT)
    gc.collect()
    used = (tracemalloc.get_traced_memory()[0] - before) / COUNT
    print(
        json.dumps(
            {"open": len(engine.ledger.open_messages()), "bytes_an_open_message": round(used - CONTENT)}
        )
    )


if __name__ == "__main__":
    main()
