"""Repeated messages, expired certificates and invalid lists: the sender keeps serving."""

from __future__ import annotations

import asyncio
import time
from datetime import UTC, datetime, timedelta
from pathlib import Path

from brassweir.as2 import keys, message
from brassweir.as2.message import Security
from brassweir.core.ports import Payload
from brassweir.interface import Result
from brassweir.lab.rigs.fleet import HUB
from tests.conftest import identity, run
from tests.service.as2_sender import OFFICE, fields, start_sender


def test_the_same_id_is_the_same_message_of_one_client_and_bytes_are_opened_once(tmp_path: Path) -> None:
    async def work() -> None:
        running = await start_sender(tmp_path)
        answers = await asyncio.gather(*(running.send_valid("<one@o>") for _ in range(5)))
        assert answers == ["delivered"] * 5 and await running.send_valid("<one@o>") == "delivered"
        partner = running.fleet.partners["bank"]
        assert partner.effects == {"p-1": 1}, "six submissions, one effect"
        assert sorted(line["how"] for line in running.sender.log.of("taken")) == ["ended"] + [
            "joined"
        ] * 4 + ["new"]
        await running.fleet.stop()

    run(work())


def test_an_expired_certificate_is_no_certificate(tmp_path: Path) -> None:
    async def work() -> None:
        running = await start_sender(tmp_path)
        assert running.sender.process is not None
        assert running.sender.process.as2 is not None
        book = running.sender.process.as2.partnerships
        old = keys.make("old", days=1.0, start=datetime.now(UTC) - timedelta(days=3))
        client = book.clients[OFFICE]
        object.__setattr__(client, "certificates", (old.certificate,))
        sent = message.build(Payload("application/json", b"{}"), Security(), old, identity(HUB).certificate)
        assert (
            await running.receipt_modifier(
                await running.post(fields(Content_Type=sent.content_type), sent.body)
            )
            == "authentication-failed"
        )
        object.__setattr__(client, "certificates", (identity(OFFICE).certificate,))
        object.__setattr__(running.sender.process.as2.carrier.partners[1], "certificates", (old.certificate,))
        assert await running.send_valid("<x@o>") in ("refused", "failed")
        attempts = [line["result"] for line in running.sender.log.of("ended")]
        assert set(attempts) == {Result.NO_CONNECTION.value}, (
            "nothing is sent to a partner without a valid certificate to encrypt for"
        )
        await running.fleet.stop()

    run(work())


def test_a_list_that_is_bad_changes_nothing_and_a_good_one_is_taken(tmp_path: Path) -> None:
    async def work() -> None:
        running = await start_sender(tmp_path)
        path = tmp_path / "endpoints.yaml"
        right = path.read_text()
        for wrong in (
            "endpoints: [",
            "endpoints:\n  - name: x\n",
            right.replace("partner: bank", "partner: nobody"),
            "",
        ):
            path.write_text(wrong)
            await asyncio.sleep(0.25)
        assert len(running.sender.log.of("list_refused")) == 4
        assert await running.send_valid("<a@o>") == "delivered"
        path.unlink()
        await asyncio.sleep(0.25)
        assert await running.send_valid("<b@o>") == "delivered"
        path.write_text(right.replace("state: ready", "state: draining"))
        await asyncio.sleep(0.25)
        begun = time.monotonic()
        assert await running.send_valid("<c@o>", wait=1) in ("refused", "failed")
        assert time.monotonic() - begun < 2.0
        await running.fleet.stop()

    run(work())
