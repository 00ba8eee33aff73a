"""Stand-in destinations: what all share, and the AS2 partner."""

from __future__ import annotations

import asyncio
import json
import re
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace

import numpy as np
from cryptography import x509

from brassweir.as2 import mdn, message, mime
from brassweir.as2.errors import As2Error, Modifier
from brassweir.as2.mdn import Disposition, Mdn
from brassweir.as2.message import Identity
from brassweir.core.offload import Offload
from brassweir.lab.models.desk import Desk, Manner
from brassweir.lab.tape import Arrival, Effect, Ended, Outage, Tape, Tipped
from brassweir.net.client import Address, CallFailed, Pool
from brassweir.net.headers import Headers
from brassweir.net.limits import Limits
from brassweir.net.server import Abort, Request, Response, Server

SPOILT = ("lost", "reset_after", "cut_head", "cut_receipt")  # the payment is done, its receipt is lost
BAD = ("bad_mic", "wrong_signer", "unsigned", "other_message", "garbage")  # done, and the receipt is bad
DOWN = ("refuse", "hang")  # an outage: nothing is done, and the partner comes back cold


@dataclass(frozen=True, slots=True)
class Trouble:
    """One trouble of one partner. ``share`` of its calls are struck; times in seconds from the start."""

    kind: str
    start: float
    end: float
    share: float = 1.0
    factor: float = 1.0


class Works:
    """What every stand-in destination shares: capacity, limits, a ledger of effects, and the script."""

    def __init__(self, name: str, manner: Manner, tape: Tape, seed: int) -> None:
        self.name, self.manner, self.tape = name, manner, tape
        self.rng = np.random.default_rng(seed)
        self.troubles: list[Trouble] = []
        self.start = 0.0
        self.busy = self.queued = 0
        self.slots = asyncio.Semaphore(manner.workers)
        self.desk = Desk(manner)
        self.done: OrderedDict[str, float] = OrderedDict()  # ids of keyed messages carried out, and when
        self.running: dict[str, asyncio.Future[None]] = {}
        self.effects: dict[str, int] = {}
        self.number = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self, endpoint: str, port: int = 0) -> int:
        """Serve one endpoint and return its port."""
        raise NotImplementedError

    def refuse(self) -> None:
        """Take no connections, and drop those there are."""
        raise NotImplementedError

    async def reopen(self) -> None:
        """Listen again, at the same ports."""
        raise NotImplementedError

    def begin(self, troubles: list[Trouble], start: float) -> None:
        """Play the script; ``start`` is the day's start in wall seconds."""
        self.troubles, self.start = troubles, start
        for trouble in troubles:
            if trouble.kind in (*DOWN, "shut"):
                task = asyncio.get_running_loop().create_task(self._outage(trouble))
                self.tasks.add(task)

    async def _outage(self, trouble: Trouble) -> None:
        await asyncio.sleep(max(0.0, self.start + trouble.start - time.time()))
        cold, hidden = trouble.kind in DOWN, trouble.kind == "refuse"
        self.tape.add(Outage(time.time(), self.name, False, cold, hidden))
        if trouble.kind == "refuse":
            self.refuse()
        await asyncio.sleep(max(0.0, self.start + trouble.end - time.time()))
        if trouble.kind == "refuse":
            await self.reopen()
        if cold:
            self.desk.returned(time.time())
        self.tape.add(Outage(time.time(), self.name, True, cold))

    def stop(self) -> None:
        """End the script."""
        for task in self.tasks:
            task.cancel()

    def ender(self, number: int, sender: str) -> Callable[..., None]:
        """Notes how one call ended, and what wait it was told (seconds)."""

        def ended(how: str, waited: float = 0.0) -> None:
            self.tape.add(Ended(time.time(), number, self.name, sender, how, waited))

        return ended

    def struck(self, now: float) -> Trouble | None:
        at = now - self.start
        for trouble in self.troubles:
            if trouble.start <= at < trouble.end:
                return trouble if trouble.share >= 1.0 or self.rng.random() < trouble.share else None
        return None

    def tips(self, now: float, sender: str) -> bool:
        """Is it pushed over by this call? Only while it comes back."""
        by = self.desk.tips(now, sender)
        if by is not None:
            self.tape.add(Tipped(now, self.name, by))
        return by is not None

    async def carry_out(self, document: dict[str, str], ident: str, slow: float) -> bool:
        """Do the work; false if it was a repeat of a keyed message, whose effect is not taken twice."""
        keyed = document["effect"] == "keyed"
        if keyed and ident in self.running:
            await asyncio.shield(self.running[ident])
        now = time.time()
        while self.done and next(iter(self.done.values())) < now - self.manner.window:
            self.done.popitem(last=False)
        if keyed and ident in self.done:
            return False
        running: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if keyed:
            self.running[ident] = running
        self.queued += 1
        try:
            async with self.slots:
                span = slow * self.desk.service(float(self.rng.normal()), self.rng.random(), now)
                await asyncio.sleep(span)
                payment = document["payment"]
                self.effects[payment] = self.effects.get(payment, 0) + 1
                self.tape.add(Effect(time.time(), self.name, payment, ident))
                if keyed:
                    self.done[ident] = time.time()
        finally:
            self.queued -= 1
            self.running.pop(ident, None)
            if not running.done():
                running.set_result(None)
        return True


class Partner(Works):
    """One stand-in with one or more endpoints."""

    def __init__(self, identity: Identity, hub: x509.Certificate, manner: Manner, tape: Tape,
                 offload: Offload, seed: int, receipt_urls: dict[str, str], stranger: Identity) -> None:
        super().__init__(identity.as2_id, manner, tape, seed)
        self.identity, self.hub, self.offload = identity, hub, offload
        self.stranger = stranger  # whose key signs the receipts that the wrong one signed
        self.receipt_urls = receipt_urls  # by sender
        self.servers: dict[str, tuple[Server, int]] = {}
        self.pools: dict[str, Pool] = {}

    # ---- life

    async def listen(self, endpoint: str, port: int = 0) -> int:
        """Serve one endpoint and return its port."""

        async def handler(request: Request) -> Response:
            return await self._serve(endpoint, request)

        limits = Limits(connections=self.manner.connections, idle_time=15_000.0)
        server = Server(handler, limits)
        got = await server.listen("127.0.0.1", port)
        self.servers[endpoint] = (server, got)
        return got

    def refuse(self) -> None:
        """Take no connections, and drop those there are."""
        for server, _ in self.servers.values():
            server.abort()

    async def reopen(self) -> None:
        """Listen again, at the same ports."""
        for endpoint, (_, port) in list(self.servers.items()):
            await self.listen(endpoint, port)

    def stop(self) -> None:
        """End everything."""
        super().stop()
        for server, _ in self.servers.values():
            server.abort()
        for pool in self.pools.values():
            pool.close_idle()

    # ---- one call

    async def _serve(self, endpoint: str, request: Request) -> Response:
        now = time.time()
        self.number += 1
        number = self.number
        agent = re.search(r"\(([^)]*)\)", request.headers.first("user-agent"))
        sender = agent[1] if agent else request.peer
        ident = request.headers.first("message-id")
        found = re.search(r"\b(p-[\w-]+)", request.headers.first("subject"))
        payment = found[1] if found else ""
        self.tape.add(Arrival(now, number, self.name, endpoint, sender, ident, payment))

        ended = self.ender(number, sender)
        trouble = self.struck(now)
        kind = trouble.kind if trouble is not None else ""
        if kind == "hang" or (kind == "refuse" and trouble is not None):
            await asyncio.sleep(max(0.0, self.start + (trouble.end if trouble else 0.0) - time.time()))
            ended("hung")
            raise Abort(b"")
        if kind == "fast_errors":
            ended("error")
            return Response(500)
        if kind == "reset":
            ended("reset")
            raise Abort(b"")
        if kind == "shut" and trouble is not None:
            return self._full(ended, self.start + trouble.end - now, trouble.factor > 0.0, 503)
        tipped = self.tips(now, sender)
        if tipped or now < self.desk.fallen:
            ended("fallen")
            return Response(500)
        wait = self.desk.limited(now)
        if wait > 0.0:
            return self._full(ended, wait, self.rng.random() < self.manner.tells_wait, 429)
        if self.queued >= self.manner.queue:
            return self._full(ended, 0.0, False, 429)
        try:
            entity = mime.of_http(request.headers.first("content-type"), "", request.body)
            got = await self.offload(lambda: message.read(entity, self.identity, [self.hub], most=10_000_000))
        except As2Error as error:
            ended("rejected")
            return await self._answer(request, sender, Mdn(ident, Disposition(
                "processed", "error", error.modifier.value)), "")
        document = json.loads(got.payload.content.splitlines()[0])
        document = document.get("record", document)  # a line of events, or the payment itself
        slow = trouble.factor if trouble is not None and kind == "slow" else 1.0
        fresh = await self.carry_out(document, ident, slow)
        disposition = Disposition()
        if not fresh:
            disposition = Disposition("processed", "warning", Modifier.DUPLICATE.value)
        receipt = Mdn(ident, disposition, got.mic, got.micalg, self.name, self.name, "done")
        ended(kind if kind in (*SPOILT, *BAD) else "done")
        if kind in SPOILT:
            if kind == "lost":
                await asyncio.sleep(3.0)
            raise Abort(b"" if kind != "cut_head" else b"HTTP/1.1 200 O")
        return await self._answer(request, sender, receipt, kind)

    def _full(self, ended: object, wait: float, tells: bool, status: int) -> Response:
        assert callable(ended)
        headers = Headers()
        told = 0.0
        if tells and wait > 0:
            told = float(max(1, int(wait + 0.999)))
            headers.add("Retry-After", str(int(told)))
        ended("full", told)
        return Response(status if tells else 429, headers)

    # ---- receipts

    async def _answer(self, request: Request, sender: str, receipt: Mdn, spoil: str) -> Response:
        sign, signer = "sha256", self.identity
        if spoil == "bad_mic":
            receipt = replace(receipt, mic=message.mic_of(b"something else", "sha256"))
        elif spoil == "other_message":
            receipt = replace(receipt, original_message_id="<nobody@nowhere>")
        elif spoil == "unsigned":
            sign = ""
        elif spoil == "wrong_signer":
            signer = self.stranger
        content_type, body = await self.offload(lambda: mdn.build(receipt, signer, sign))
        if spoil == "garbage":
            content_type, body = "text/html", b"<html>thank you</html>"
        headers = Headers([("Content-Type", content_type), ("AS2-From", mime.shown_name(self.name)),
                           ("AS2-To", request.headers.first("as2-from")), ("AS2-Version", "1.2"),
                           ("Message-ID", f"<r{self.number}@{self.name.replace(' ', '-')}>")])
        if not request.headers.first("receipt-delivery-option"):
            if self.manner.reports and self.manner.rate > 0:
                span = self.manner.span or 1.0
                quota = int(self.manner.rate * span)
                room = self.desk.allowance if not self.manner.span else quota - self.desk.span_count
                left = max(0, int(room))
                headers.add("RateLimit-Policy", f'"default";q={quota};w={int(span)}')
                headers.add("RateLimit", f'"default";r={min(left, quota)}')
            return Response(200, headers, body)
        url = self.receipt_urls.get(sender, "")
        early = spoil == "early_receipt"
        times = 2 if spoil == "second_receipt" else 1
        task = asyncio.get_running_loop().create_task(
            self._bring(url, headers, body, times, 3.0 if spoil == "late_receipt" else 0.0))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        if early:
            await asyncio.sleep(0.2)
        return Response(202)

    async def _bring(self, url: str, headers: Headers, body: bytes, times: int, pause: float) -> None:
        await asyncio.sleep(pause)
        pool = self.pools.get(url)
        if pool is None:
            pool = self.pools[url] = Pool(Address.of(url), Limits(), 8, 10_000.0, 1000.0)
        for _ in range(times):
            for _ in range(3):
                try:
                    await pool.post(headers, body, asyncio.get_running_loop().time() + 5.0)
                    break
                except CallFailed:
                    await asyncio.sleep(0.3)
