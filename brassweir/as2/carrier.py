"""Makes one attempt at one partner endpoint over AS2 and reports how it ended."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from email.utils import formatdate
from typing import Any

from brassweir.as2 import cms, endings, mdn, message, mime
from brassweir.as2.errors import As2Error
from brassweir.as2.message import Built
from brassweir.as2.partnership import Partner, Partnerships, onward_id, valid_now
from brassweir.as2.receipts import Receipts
from brassweir.core.http_responses import ServerHints, no_answer, read_hints
from brassweir.core.offload import Offload
from brassweir.core.ports import Attempt, Outcome, Payload, Urls
from brassweir.core.task_carrier import Note, TaskCarrier
from brassweir.interface import Result
from brassweir.net.client import CallFailed, Reply, Stage
from brassweir.net.headers import Headers
from brassweir.net.pool_manager import PoolManager


class As2Carrier(TaskCarrier):
    """Carries attempts to partners.

    ``linger`` (ms) is how long a call whose time is over is still listened to: a receipt that comes then is
    recorded, and is the answer if none was given.
    """

    def __init__(
        self,
        book: Partnerships,
        urls: Urls,
        pools: PoolManager,
        receipts: Receipts,
        offload: Offload,
        note: Note,
        name: str = "",
        linger: float = 2000.0,
    ) -> None:
        super().__init__(urls, pools, note, name)
        self.book, self.pools = book, pools
        self.receipts, self.offload, self.linger = receipts, offload, linger
        self.partners = {partner.destination: partner for partner in book.partners.values()}

    async def call(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        """Make the attempt and tell how it ended."""
        loop = asyncio.get_running_loop()
        partner = self.partners.get(attempt.endpoint.destination)
        url = self.urls.url(attempt.endpoint.name)
        payload = attempt.submission.payload
        if partner is None or url is None or not isinstance(payload, Payload):
            done(Outcome(Result.NO_CONNECTION, "no partnership or address for this endpoint"))
            return
        ident = onward_id(attempt.submission.owner, attempt.submission.identity, self.book.ours.as2_id)
        try:
            built = await self.offload(lambda: self._build(payload, partner))
        except ValueError as error:
            done(Outcome(Result.NO_CONNECTION, f"cannot be built: {error}"))
            return
        until = attempt.abandon_at / 1000.0
        if loop.time() >= until:
            done(Outcome(Result.NO_CONNECTION, "its time was over before anything was written"))
            return
        waiting: asyncio.Future[mdn.Mdn] | None = None
        if partner.asynchronous:
            waiting = loop.create_future()
            self.receipts.expect(ident, partner.as2_id, _giver(waiting))
        expected = endings.Expected(ident, built.mic, built.micalg, partner.signed_receipt, attempt.repeat)
        headers = self._headers(partner, payload, ident, built, self.book.receipt_url)
        last = until + self.linger / 1000.0
        call = loop.create_task(
            self.pools.http_pool(url).post(headers, built.body, last, until, attempt.start_guard.begin)
        )
        try:
            if waiting is None:
                done(await self._read(call, expected, partner))
            else:
                await self._asynchronous(call, waiting, expected, partner, until + self.linger / 1000.0, done)
        finally:
            if waiting is not None:
                self.receipts.ended(ident)

    def _build(self, payload: Payload, partner: Partner) -> Built:
        theirs = valid_now(partner.certificates, time.time())
        if not theirs:
            raise ValueError(f"no certificate of {partner.as2_id} is valid now")
        return message.build(payload, partner.security, self.book.ours, theirs[0])

    def _headers(self, partner: Partner, payload: Payload, ident: str, built: Built, back: str) -> Headers:
        headers = Headers()
        headers.add("User-Agent", self.agent)
        headers.add("AS2-Version", "1.2")
        headers.add("AS2-From", mime.shown_name(self.book.ours.as2_id))
        headers.add("AS2-To", mime.shown_name(partner.as2_id))
        headers.add("Message-ID", ident)
        headers.add("Subject", payload.subject or "message")
        headers.add("Date", formatdate(usegmt=True))
        headers.add("MIME-Version", "1.0")
        headers.add("Content-Type", built.content_type)
        headers.add("Disposition-Notification-To", mime.shown_name(self.book.ours.as2_id))
        if partner.signed_receipt:
            headers.add(
                "Disposition-Notification-Options",
                "signed-receipt-protocol=required, pkcs7-signature; "
                f"signed-receipt-micalg=required, {cms.micalg(built.micalg)}",
            )
        if partner.asynchronous:
            headers.add("Receipt-Delivery-Option", back)
        return headers

    async def _read(self, call: asyncio.Task[Reply], expected: endings.Expected, partner: Partner) -> Outcome:
        """What a synchronous answer says."""
        try:
            reply = await call
        except CallFailed as failed:
            return _failed(failed)
        hints = read_hints(reply.headers.first, time.time())
        outcome = endings.status(reply.status, hints, partner.busy)
        if outcome is not None:
            return outcome
        try:
            got = await self.offload(lambda: self._parse(reply, partner))
        except As2Error as error:
            return endings.unreadable(error, hints)
        return endings.receipt(got, expected, hints)

    @staticmethod
    def _parse(reply: Reply, partner: Partner) -> mdn.Mdn:
        entity = mime.of_http(
            reply.headers.first("content-type"), reply.headers.first("content-transfer-encoding"), reply.body
        )
        return mdn.parse(entity, valid_now(partner.certificates, time.time()), legacy=partner.legacy)

    async def _asynchronous(
        self,
        call: asyncio.Task[Reply],
        waiting: asyncio.Future[mdn.Mdn],
        expected: endings.Expected,
        partner: Partner,
        until: float,
        done: Callable[[Outcome], None],
    ) -> None:
        """The receipt decides, come before or after the post's own answer; waits until ``until``."""
        loop = asyncio.get_running_loop()
        hints = ServerHints()
        either: set[asyncio.Future[Any]] = {call, waiting}
        await asyncio.wait(either, timeout=max(0.0, until - loop.time()), return_when=asyncio.FIRST_COMPLETED)
        if call.done() and not waiting.done():
            try:
                reply = await call
            except CallFailed as failed:
                ended = _failed(failed)
                if not ended.may_have_run:
                    done(ended)
                    return  # else a receipt may still come for what was written
            else:
                hints = read_hints(reply.headers.first, time.time())
                outcome = endings.status(reply.status, hints, partner.busy)
                if outcome is not None:
                    done(outcome)
                    return
            await asyncio.wait({waiting}, timeout=max(0.0, until - loop.time()))
        if waiting.done():
            done(endings.receipt(waiting.result(), expected, hints))
        else:
            done(
                Outcome(Result.TIMEOUT, "no receipt in time", limit_left=hints.limit_left, limit=hints.limit)
            )
        if not call.done():
            try:
                await call  # the connection is good for more once its answer is in
            except CallFailed:
                pass


def _failed(failed: CallFailed) -> Outcome:
    return no_answer(failed.stage is not Stage.CONNECT, True, failed.timed_out, failed.reason)


def _giver(waiting: asyncio.Future[mdn.Mdn]) -> Callable[[mdn.Mdn], None]:
    def give(got: mdn.Mdn) -> None:
        if not waiting.done():
            waiting.set_result(got)

    return give
