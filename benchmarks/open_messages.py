"""Memory of one open message in engine, ledger and decision module, content not counted; one run."""

from __future__ import annotations

import gc
import json
import tracemalloc

from brassweir import interface as api
from brassweir.core.clock import SimClock
from brassweir.core.engine import Engine
from brassweir.core.ports import Attempt, Payload, Submission

COUNT, CONTENT = 10_000, 500


class Silent:
    """Partners that never answer."""

    def start(self, attempt: Attempt, done: object) -> None:
        """Nothing."""

    def close_idle(self, endpoint: str) -> None:
        """Nothing."""


def main() -> None:
    """Print JSON."""
    clock = SimClock(1000.0)
    cls = api.MessageClass("pay", 60_000.0, 600_000.0, api.Effect.UNSAFE)
    engine = Engine(
        api.Settings(classes=(cls,), slots=2 * COUNT, max_open=2 * COUNT), 1, clock, lambda _: Silent()
    )
    engine.news(api.ListNews(api.ListKind.FULL, tuple(api.EndpointInfo(f"e{i}", i, "") for i in range(100))))
    clock.run(1001.0)
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for i in range(COUNT):
        engine.submit(
            Submission(
                "office",
                f"bank\n<{i}@office>",
                "pay",
                i % 100,
                500_000.0,
                payload=Payload("a/b", bytes(CONTENT)),
            ),
            lambda _: None,
        )
    clock.run(1100.0)
    gc.collect()
    used = (tracemalloc.get_traced_memory()[0] - before) / COUNT
    print(json.dumps({"open": len(engine.ledger.open()), "bytes_an_open_message": round(used - CONTENT)}))


if __name__ == "__main__":
    main()
