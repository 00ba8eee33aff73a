"""One sender: its parts, their start, the drain and the end."""

from __future__ import annotations

import asyncio
import gc
import json
import random
import resource
import signal
import sys
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, unquote

from brassweir import interface as api
from brassweir.config.load import ConfigError, load
from brassweir.config.model import Config
from brassweir.core.clock import LoopClock
from brassweir.core.engine import Engine
from brassweir.core.ledger import Waiter
from brassweir.core.offload import Offload
from brassweir.core.ports import Carrier, Submission
from brassweir.destinations import shown
from brassweir.destinations.budget import Budget
from brassweir.destinations.setups import Setups
from brassweir.journal.restart import carry_out
from brassweir.journal.writer import Broken
from brassweir.net.headers import Headers
from brassweir.net.house import Pools
from brassweir.net.server import Request, Response, Server
from brassweir.observe.metrics import Metrics
from brassweir.regions.ownership import Assumed
from brassweir.service.as2_side import As2Side
from brassweir.service.descriptors import needed, plan, secure
from brassweir.service.forward_side import ForwardSide, KeyFiles
from brassweir.service.journaling import Journaling, Keeping, Unusable
from brassweir.service.listfile import ListFile, read_list
from brassweir.service.regionfile import RegionFile
from brassweir.service.sides import Parts, Side
from brassweir.service.watch import Observer
from brassweir.service.webhook_side import WebhookSide
from brassweir.service.wiring import Numbers, credentials, limits, partnerships, secrets, settings

# Net new objects before a young collection, young ones before a middle one, middle ones before a full one.
# A full one walks every remembered answer, for a tenth of a second and more; what is no longer used goes
# without it, and the few cycles there are (tasks, errors) die young.
COLLECT = (10_000, 5, 100_000)
SWITCH = 0.001  # seconds until a busy thread yields: lists and keys are worked on beside the loop
_STALL_LOOK = 0.01  # seconds between two looks at the loop's delay
_ANSWERS = 0.2  # share of the drain's grace kept for answers to be written and receipts to be brought


class SenderProcess:
    """A running sender. Made inside the loop that it will run on."""

    def __init__(self, config: Config, base: Path, log: Any) -> None:
        """Wire everything together; paths count from ``base``. Raises ConfigError."""
        loop = asyncio.get_running_loop()
        sender = config.sender
        self.config, self.log = config, log.bind(sender=sender.name)
        secure(config)
        given = settings(config)
        classes = {cls.name: cls for cls in given.classes}
        self.clock = LoopClock(loop)
        self.metrics = Metrics()
        self.observer = Observer(self.log, self.metrics, self.clock, self._kind)
        bounds = limits(config)
        self.pools = Pools(bounds, sender.connections_per_endpoint, sender.idle_close_ms,
                           sender.connect_timeout_ms, Budget(sender.connections), Setups(sender.setups))
        self.offload = Offload(sender.crypto_threads)
        note = self.observer.note
        self.list = ListFile(base / config.endpoints, config, self._news, note)
        parts = Parts(config, base, classes, self.list, self.pools, self.offload, bounds, self.metrics, note,
                      self._complain, self._told)
        self.as2 = As2Side(parts) if config.identity is not None else None
        self.forward = ForwardSide(parts)
        self.sides: list[Side] = [WebhookSide(parts), self.forward, *([self.as2] if self.as2 else [])]
        self.carriers: dict[str, Carrier] = {}
        for side in self.sides:
            self.carriers.update(side.carriers)
        self.broken: asyncio.Future[BaseException] = loop.create_future()
        self.journal = self._journal(base, classes) if sender.journaled else None
        seed = sender.seed if sender.seed is not None else random.SystemRandom().getrandbits(48)
        self.engine = Engine(given, seed, self.clock, lambda info: self.carriers[info.kind],
                             store=self.journal.store if self.journal is not None else None,
                             watcher=self.observer, remember=sender.remember_ms, most=sender.remember_most)
        self.region: RegionFile | None = None
        if config.region is not None:
            assumed = Assumed(config.region.clock_error_ms, max(cls.deadline for cls in given.classes),
                              config.region.asks_on_ms)
            self.region = RegionFile(config.region.name, base / config.region.epochs,
                                     base / f"{sender.name}.epoch", assumed, classes, note,
                                     lambda why: self.metrics.not_here.labels(why).inc())
            self.engine.admits = self.region.admits
        for side in self.sides:
            side.open(self.engine)
        self.plain = Server(self._plain, bounds, self._complain)
        self.tasks: list[asyncio.Task[None]] = []
        self.metrics_port = 0

    def _journal(self, base: Path, classes: dict[str, api.MessageClass]) -> Journaling:
        sender = self.config.sender
        keeping = Keeping(base / (sender.journal or Path(f"{sender.name}.journal")), sender.name, classes,
                          sender.remember_ms, sender.order_pause_ms)
        try:
            return Journaling(keeping, self.list.numbers.name, self._broken, self.observer.note)
        except Unusable as error:
            raise ConfigError([str(error)]) from None

    @property
    def port(self) -> int:
        """Where AS2 clients come."""
        return self.as2.port if self.as2 is not None else 0

    def _kind(self, endpoint: str) -> str:
        info = self.engine.endpoints.get(endpoint)
        return info.kind if info is not None else ""

    def _news(self, news: api.ListNews) -> None:
        self.engine.news(news)

    def _told(self, message: int) -> None:
        if self.journal is not None:
            self.journal.store.told(message)

    def _broken(self, error: BaseException) -> None:
        """The journal's disk can no longer be trusted: nothing may be answered or sent as if it could."""
        self.log.error("journal_broken", error=str(error))
        for side in self.sides:
            side.abort()
        if not self.broken.done():
            self.broken.set_result(error)

    async def _recover(self) -> None:
        """Go on where the process before this one was, whatever ended it."""
        if self.journal is None:
            return
        plan = self.journal.plan(self.list.numbers.number)
        found = self.journal.found
        self.log.info("recovered", again=len(plan.again), answered=len(plan.answered), dropped=plan.dropped,
                      owed=sum(one.owed for one in plan.answered), records=found.records, bytes=found.size,
                      torn_bytes=found.torn, holes=len(found.holes), pause_ms=plan.pause)
        if plan.pause:
            await asyncio.sleep(plan.pause / 1000.0)
        carry_out(plan, self.engine, self.journal.store, self.list.numbers.number, self._owing)

    def _owing(self, message: int, submission: Submission) -> Waiter | None:
        """The side that took a message knows who waits for it."""
        return next((waiter for side in self.sides if (waiter := side.owing(message, submission))), None)

    def _complain(self, peer: str, status: int, reason: str) -> None:
        self.observer.note("bad_request", {"peer": peer, "status": status, "reason": reason})

    async def start(self) -> None:
        """Read the list, then listen. Raises ConfigError and OSError."""
        if self.region is not None:
            self.region.look()
            self.region.part_changed()
            self.list.scale = self.region.part
        self.list.read()
        await self._recover()
        said: dict[str, object] = {}
        for side in self.sides:
            said.update(await side.start())
        if self.config.sender.metrics:
            host, _, port = self.config.sender.metrics.rpartition(":")
            self.metrics_port = await self.plain.listen(host, int(port))
        # What stands now stands for good: the collector need not walk the whole list again and again.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*COLLECT)
        sys.setswitchinterval(SWITCH)
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.list.watch()), loop.create_task(self._stalls())]
        if self.region is not None:
            self.tasks.append(loop.create_task(self.region.watch(self.list.again)))
        self.log.info("started", metrics_port=self.metrics_port, **said)

    async def _plain(self, request: Request) -> Response:
        if request.path == "/metrics":
            return Response(200, Headers([("Content-Type", "text/plain; version=0.0.4; charset=utf-8")]),
                            self.metrics.text())
        if request.path == "/healthz":
            state = b"draining\n" if self.engine.stopping else b"ready\n"
            return Response(503 if self.engine.stopping else 200, body=state)
        if request.path.startswith("/destinations"):
            return self._destinations(request.path)
        return Response(404, body=b"only /metrics, /healthz and /destinations\n")

    def _destinations(self, target: str) -> Response:
        path, _, query = target.partition("?")
        name = unquote(path.removeprefix("/destinations").lstrip("/"))
        now, numbers = self.clock.now(), self.list.numbers
        if name:
            number = numbers.number(name)
            found = shown.show(self.engine.sender, number, now) if number is not None else None
            if found is None:
                return Response(404, body=f"no destination {name[:128]!r} is known here\n".encode())
            return _json({"destination": name, **found})
        given = dict(parse_qsl(query))
        count = given.get("count", "10")
        if given.get("by", "open") not in shown.ORDERS or not count.isdigit() or not 0 < int(count) <= 100:
            return Response(400, body=f"by is one of {', '.join(shown.ORDERS)}; count is 1 to 100\n".encode())
        return _json(shown.top(self.engine.sender, numbers.name, given.get("by", "open"), int(count)))

    async def _stalls(self) -> None:
        """Keep the longest delay of the loop over the last ten seconds or more."""
        loop = asyncio.get_running_loop()
        worst, since = 0.0, loop.time()
        while True:
            before = loop.time()
            await asyncio.sleep(_STALL_LOOK)
            worst = max(worst, loop.time() - before - _STALL_LOOK)
            if loop.time() - since > 10.0:
                self.metrics.stall.set(worst)
                worst, since = 0.0, loop.time()

    async def drain(self) -> None:
        """Take nothing new, let open work end, answer what is left, and close: all within the grace."""
        loop = asyncio.get_running_loop()
        grace = self.config.sender.drain_grace_ms / 1000.0
        end = loop.time() + grace
        self.engine.stop_taking()
        for side in self.sides:
            side.stop_taking()
        self.log.info("draining", open=len(self.engine.ledger.open()), grace_ms=round(grace * 1000))
        # Partners bring receipts to our own address: it stays open until nothing waits for one.
        while self.engine.ledger.open() and loop.time() < end - _ANSWERS * grace:
            await asyncio.sleep(0.02)
        cut = self.engine.close()
        await asyncio.sleep(0.02)  # answers reach their waiters in the next turns
        for side in self.sides:
            side.drain()
        for side in self.sides:
            await side.settle(max(0.0, end - loop.time() - 0.1))
        while (left := sum(side.connections for side in self.sides)) and loop.time() < end:
            await asyncio.sleep(0.02)
        self.log.info("stopped", answered_at_the_end=cut, connections_left=left)
        self.stop()

    def stop(self) -> None:
        """End everything at once."""
        for task in self.tasks:
            task.cancel()
        for side in self.sides:
            side.abort()
        self.plain.abort()
        self.pools.close()
        self.offload.close()
        if self.journal is not None:
            self.journal.close()


def _json(tree: dict[str, Any]) -> Response:
    return Response(200, Headers([("Content-Type", "application/json")]), json.dumps(tree).encode())


async def serve(path: Path, log: Any) -> None:
    """Run a sender until SIGTERM or SIGINT, then drain it. Raises ConfigError and OSError, and Broken once
    the journal's disk can no longer be trusted."""
    config = load(path, Config)
    process = SenderProcess(config, path.parent, log)
    loop = asyncio.get_running_loop()
    told = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    await process.start()
    stop = loop.create_task(told.wait())
    either: set[asyncio.Future[Any]] = {stop, process.broken}
    await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
    if process.broken.done():
        raise Broken(str(process.broken.result()))
    await process.drain()


def check(path: Path) -> Config:
    """Read all that a sender would read at start. Raises ConfigError with every problem found."""
    config = load(path, Config)
    problems: list[str] = []
    try:
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        plan(needed(config), 0, hard if hard >= 0 else 1 << 62)
        settings(config)
        if config.identity is not None:
            partnerships(config, path.parent)
    except ConfigError as error:
        problems += [f"{path}: {problem}" for problem in error.problems]
    try:
        for kind in config.kinds:
            secrets(kind, path.parent)
            credentials(kind, config.sender.name, path.parent)
        if config.forward is not None:
            KeyFiles(config.forward, path.parent, lambda *_: None)
        read_list(path.parent / config.endpoints, config, Numbers(config))
    except ConfigError as error:
        problems += error.problems
    if problems:
        raise ConfigError(problems)
    return config
