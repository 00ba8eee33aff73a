"""One modelled process over all its lives: engine, module, journal; started, killed, drained, recovered."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from brassweir import interface as api
from brassweir.core.engine import Engine
from brassweir.core.ledger import MessageRecord
from brassweir.core.observer import EngineObserver
from brassweir.core.ports import Outcome
from brassweir.interface import Result
from brassweir.journal.recover import plan_recovery
from brassweir.journal.restart import apply_plan
from brassweir.journal.scan import scan
from brassweir.journal.store import JournalStore
from brassweir.journal.writer import Writer
from brassweir.lab.simulated.disk import SimIo, SimStorage
from brassweir.lab.simulated.links import Alive, SimCarrier
from brassweir.lab.simulated.trace import Recorder

if TYPE_CHECKING:
    from brassweir.lab.simulated.stage import Stage

REMEMBER = 600_000.0  # ms
DOWN, ROLL_GRACE = 400.0, 4000.0  # ms from a kill to the next start; from a drain to its end


class SimSender(EngineObserver):
    """One sender over all its lives."""

    def __init__(self, stage: Stage, number: int) -> None:
        self.stage, self.number, self.name = stage, number, f"s{number + 1}"
        self.zone = number % stage.day.senders.zones
        self.storage: SimStorage | None = None
        self.lives = 0
        self.engine: Engine | None = None
        self.store: JournalStore | None = None
        self.clock = Alive(stage.clock)
        self.carrier = SimCarrier(self, self.clock)
        self.cut: list[Callable[[], None]] = []  # clients' connections: who is to learn that they broke
        self.stale_until = -1.0
        self.down = True
        self.recorder: Recorder | None = None

    def start(self) -> None:
        """Begin a life, on what the life before has written down."""
        stage = self.stage
        clock = self.clock = Alive(stage.clock)
        self.lives += 1
        self.down = False
        carrier = self.carrier = SimCarrier(self, clock)
        self.store = None
        found = None
        if self.storage is not None:
            found = scan(self.storage)
            writer = Writer(self.storage, found)
            writer.open()
            self.store = JournalStore(
                writer,
                SimIo(clock, stage.day.senders.commit),
                stage.classes,
                clock.now,
                str,
                lambda error: None,
                REMEMBER,
            )
        seed = stage.day.seed * 1000 + self.number + 7919 * self.lives
        engine = Engine(
            stage.settings,
            seed,
            clock,
            lambda _: carrier,
            store=self.store,
            observer=self,
            retention_ms=REMEMBER,
            max_ended=1_000_000,
        )
        if stage.trace is not None and stage.trace[0] == self.name and self.lives == 1:
            recorder = Recorder(stage.trace[1], stage.settings, seed, clock.now())
            self.engine_trace(engine, recorder)
        listed = tuple(info for info in stage.infos.values() if info.state is not api.EntryState.GONE)
        engine.update_list(api.ListUpdate(api.ListKind.FULL, listed))
        if found is None or self.store is None:
            self.engine = engine
            return
        store = self.store
        store.record_start(self.name)
        made = plan_recovery(
            found.state, found.holes, stage.classes, clock.now(), REMEMBER, stage.settings.order_pause
        )

        def recover() -> None:
            apply_plan(made, engine, store, int, lambda ident, submission: None)
            self.engine = engine  # nobody is listened to before

        clock.call_at(clock.now() + made.pause, recover)

    def engine_trace(self, engine: Engine, recorder: Recorder) -> None:
        """Write down what the module is told and what it says."""
        self.recorder = recorder
        engine.on_turn = recorder.turn

    def end(self) -> None:
        """The process is gone, whatever it was doing."""
        self.clock.alive = False
        for endpoint in self.carrier.links:
            self.carrier.close_idle(endpoint)
        self.down = True
        self.engine = None
        if self.storage is not None:
            self.storage = self.storage.after(
                "lost", Random(f"{self.stage.day.seed} {self.name} {self.lives}")
            )
        cut, self.cut = self.cut, []
        for one in cut:
            one()

    def roll(self) -> None:
        """Drain, then end; the process after it starts at once."""
        engine = self.engine
        if engine is None:
            return
        engine.stop_accepting()

        def close() -> None:
            if self.engine is engine:
                engine.close()
                self.stage.clock.call_at(self.stage.clock.now() + 100.0, over)

        def over() -> None:
            if self.engine is engine:
                self.end()
                self.stage.clock.call_at(self.stage.clock.now() + DOWN, self.start)

        self.stage.clock.call_at(self.stage.clock.now() + 0.8 * ROLL_GRACE, close)

    # ---- what it lets be seen

    def outcome(self, record: MessageRecord, number: int, outcome: Outcome, late: bool) -> None:
        """Note how attempts ended, for the reasons that a report gives."""
        fate = self.stage.fates.get(record.submission.identity)
        if fate is not None:
            fate.attempts += 1
            if outcome.result is not Result.OK:
                fate.met.add(outcome.result.value)
