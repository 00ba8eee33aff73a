"""HTTP client side of AS2: makes one attempt at one partner endpoint and reports its outcome."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from email.utils import formatdate
from typing import Any

from brassweir.as2 import cms, mdn, message, mime, outcomes
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
    """Makes attempts to deliver messages to partners.

    ``linger_ms`` is how long the carrier waits for a receipt after an attempt's deadline, so that a late
    receipt is recorded, and is used as the answer if none was given yet.
    """

    def __init__(
        self,
        partnerships: Partnerships,
        urls: Urls,
        pools: PoolManager,
        receipts: Receipts,
        offload: Offload,
        note: Note,
        name: str = "",
        linger_ms: float = 2000.0,
    ) -> None:
        super().__init__(urls, pools, note, name)
        self.partnerships, self.pools = partnerships, pools
        self.receipts, self.offload, self.linger_ms = receipts, offload, linger_ms
        self.partners = {partner.destination: partner for partner in partnerships.partners.values()}

    async def call(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        """Makes the attempt and calls ``done`` with its outcome."""
        loop = asyncio.get_running_loop()
        partner = self.partners.get(attempt.endpoint.destination)
        url = self.urls.url(attempt.endpoint.name)
        payload = attempt.submission.payload
        if partner is None or url is None or not isinstance(payload, Payload):
            done(Outcome(Result.NO_CONNECTION, "no partnership or address for this endpoint"))
            return
        message_id = onward_id(
            attempt.submission.owner, attempt.submission.identity, self.partnerships.ours.as2_id
        )
        try:
            built = await self.offload(lambda: self._build(payload, partner))
        except ValueError as error:
            done(Outcome(Result.NO_CONNECTION, f"cannot be built: {error}"))
            return
        deadline = attempt.abandon_at / 1000.0
        if loop.time() >= deadline:
            done(Outcome(Result.NO_CONNECTION, "its time was over before anything was written"))
            return
        receipt_future: asyncio.Future[mdn.Mdn] | None = None
        if partner.asynchronous:
            receipt_future = loop.create_future()
            self.receipts.expect(message_id, partner.as2_id, _resolver(receipt_future))
        expected = outcomes.Expected(
            message_id, built.mic, built.micalg, partner.signed_receipt, attempt.repeat
        )
        headers = self._headers(partner, payload, message_id, built, self.partnerships.receipt_url)
        listen_until = deadline + self.linger_ms / 1000.0
        call = loop.create_task(
            self.pools.http_pool(url).post(
                headers, built.body, listen_until, deadline, attempt.start_guard.begin
            )
        )
        try:
            if receipt_future is None:
                done(await self._read_response(call, expected, partner))
            else:
                await self._await_receipt(
                    call, receipt_future, expected, partner, deadline + self.linger_ms / 1000.0, done
                )
        finally:
            if receipt_future is not None:
                self.receipts.attempt_ended(message_id)

    def _build(self, payload: Payload, partner: Partner) -> Built:
        certificates = valid_now(partner.certificates, time.time())
        if not certificates:
            raise ValueError(f"no certificate of {partner.as2_id} is valid now")
        return message.build(payload, partner.security, self.partnerships.ours, certificates[0])

    def _headers(
        self, partner: Partner, payload: Payload, message_id: str, built: Built, receipt_url: str
    ) -> Headers:
        headers = Headers()
        headers.add("User-Agent", self.agent)
        headers.add("AS2-Version", "1.2")
        headers.add("AS2-From", mime.encode_as2_name(self.partnerships.ours.as2_id))
        headers.add("AS2-To", mime.encode_as2_name(partner.as2_id))
        headers.add("Message-ID", message_id)
        headers.add("Subject", payload.subject or "message")
        headers.add("Date", formatdate(usegmt=True))
        headers.add("MIME-Version", "1.0")
        headers.add("Content-Type", built.content_type)
        headers.add("Disposition-Notification-To", mime.encode_as2_name(self.partnerships.ours.as2_id))
        if partner.signed_receipt:
            headers.add(
                "Disposition-Notification-Options",
                "signed-receipt-protocol=required, pkcs7-signature; "
                f"signed-receipt-micalg=required, {cms.micalg(built.micalg)}",
            )
        if partner.asynchronous:
            headers.add("Receipt-Delivery-Option", receipt_url)
        return headers

    async def _read_response(
        self, call: asyncio.Task[Reply], expected: outcomes.Expected, partner: Partner
    ) -> Outcome:
        """Returns the outcome that the HTTP response and its synchronous receipt report."""
        try:
            reply = await call
        except CallFailed as failed:
            return _failed(failed)
        hints = read_hints(reply.headers.first, time.time())
        outcome = outcomes.of_status(reply.status, hints, partner.busy)
        if outcome is not None:
            return outcome
        try:
            receipt = await self.offload(lambda: self._parse(reply, partner))
        except As2Error as error:
            return outcomes.of_unreadable_receipt(error, hints)
        return outcomes.of_receipt(receipt, expected, hints)

    @staticmethod
    def _parse(reply: Reply, partner: Partner) -> mdn.Mdn:
        entity = mime.of_http(
            reply.headers.first("content-type"), reply.headers.first("content-transfer-encoding"), reply.body
        )
        return mdn.parse(entity, valid_now(partner.certificates, time.time()), legacy=partner.legacy)

    async def _await_receipt(
        self,
        call: asyncio.Task[Reply],
        receipt_future: asyncio.Future[mdn.Mdn],
        expected: outcomes.Expected,
        partner: Partner,
        deadline: float,
        done: Callable[[Outcome], None],
    ) -> None:
        """Calls ``done`` with the outcome of an asynchronous receipt.

        The receipt may arrive before or after the response to the post. An error status, or a failure before
        anything was written, ends the attempt at once. Without a receipt by ``deadline`` (loop time, in
        seconds) the outcome is TIMEOUT.
        """
        loop = asyncio.get_running_loop()
        hints = ServerHints()
        futures: set[asyncio.Future[Any]] = {call, receipt_future}
        await asyncio.wait(
            futures, timeout=max(0.0, deadline - loop.time()), return_when=asyncio.FIRST_COMPLETED
        )
        if call.done() and not receipt_future.done():
            try:
                reply = await call
            except CallFailed as failed:
                failure = _failed(failed)
                if not failure.may_have_run:
                    done(failure)
                    return  # otherwise the partner may still send a receipt for what was written
            else:
                hints = read_hints(reply.headers.first, time.time())
                outcome = outcomes.of_status(reply.status, hints, partner.busy)
                if outcome is not None:
                    done(outcome)
                    return
            await asyncio.wait({receipt_future}, timeout=max(0.0, deadline - loop.time()))
        if receipt_future.done():
            done(outcomes.of_receipt(receipt_future.result(), expected, hints))
        else:
            done(
                Outcome(Result.TIMEOUT, "no receipt in time", limit_left=hints.limit_left, limit=hints.limit)
            )
        if not call.done():
            try:
                await call  # lets the pool reuse the connection
            except CallFailed:
                pass


def _failed(failed: CallFailed) -> Outcome:
    return no_answer(failed.stage is not Stage.CONNECT, True, failed.timed_out, failed.reason)


def _resolver(receipt_future: asyncio.Future[mdn.Mdn]) -> Callable[[mdn.Mdn], None]:
    def resolve(receipt: mdn.Mdn) -> None:
        if not receipt_future.done():
            receipt_future.set_result(receipt)

    return resolve
