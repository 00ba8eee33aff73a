"""Stand-in destinations: what all share, and the AS2 partner."""

from __future__ import annotations

import asyncio
import json
import re
import time
from dataclasses import replace

from cryptography import x509

from brassweir.as2 import mdn, message, mime
from brassweir.as2.errors import As2Error, Modifier
from brassweir.as2.mdn import Disposition, Mdn
from brassweir.as2.message import Identity
from brassweir.core.offload import Offload
from brassweir.lab.judges.tape import Arrival, Tape
from brassweir.lab.models.desk import Manner
from brassweir.lab.standins.works import BAD, SPOILT, Works
from brassweir.net.client import Address, CallFailed, HttpPool
from brassweir.net.headers import Headers
from brassweir.net.limits import Limits
from brassweir.net.server import Abort, Request, Response, Server


class Partner(Works):
    """One stand-in with one or more endpoints."""

    def __init__(
        self,
        identity: Identity,
        hub: x509.Certificate,
        manner: Manner,
        tape: Tape,
        offload: Offload,
        seed: int,
        receipt_urls: dict[str, str],
        stranger: Identity,
    ) -> None:
        super().__init__(identity.as2_id, manner, tape, seed)
        self.identity, self.hub, self.offload = identity, hub, offload
        self.stranger = stranger  # whose key signs the receipts that the wrong one signed
        self.receipt_urls = receipt_urls  # by sender
        self.servers: dict[str, tuple[Server, int]] = {}
        self.pools: dict[str, HttpPool] = {}

    # ---- life

    async def listen(self, endpoint: str, port: int = 0) -> int:
        """Serve one endpoint and return its port."""

        async def handler(request: Request) -> Response:
            return await self._serve(endpoint, request)

        limits = Limits(connections=self.manner.connections, idle_ms=15_000.0)
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
            got = await self.offload(
                lambda: message.read(entity, self.identity, [self.hub], max_layer_bytes=10_000_000)
            )
        except As2Error as error:
            ended("rejected")
            return await self._answer(
                request, sender, Mdn(ident, Disposition("processed", "error", error.modifier.value)), ""
            )
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
        headers = Headers(
            [
                ("Content-Type", content_type),
                ("AS2-From", mime.encode_as2_name(self.name)),
                ("AS2-To", request.headers.first("as2-from")),
                ("AS2-Version", "1.2"),
                ("Message-ID", f"<r{self.number}@{self.name.replace(' ', '-')}>"),
            ]
        )
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
            self._bring(url, headers, body, times, 3.0 if spoil == "late_receipt" else 0.0)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        if early:
            await asyncio.sleep(0.2)
        return Response(202)

    async def _bring(self, url: str, headers: Headers, body: bytes, times: int, pause: float) -> None:
        await asyncio.sleep(pause)
        pool = self.pools.get(url)
        if pool is None:
            pool = self.pools[url] = HttpPool(Address.parse(url), Limits(), 8, 10_000.0, 1000.0)
        for _ in range(times):
            for _ in range(3):
                try:
                    await pool.post(headers, body, asyncio.get_running_loop().time() + 5.0)
                    break
                except CallFailed:
                    await asyncio.sleep(0.3)
