"""What strangers, and known clients gone wrong, send to a running sender: each gets its own no, and it serves on."""

from __future__ import annotations

import asyncio
import time
from datetime import UTC, datetime, timedelta
from pathlib import Path

from brassweir.as2 import cms, keys, mdn, message, mime
from brassweir.as2.message import Security
from brassweir.as2.sending import letter, post
from brassweir.core.offload import Offload
from brassweir.core.ports import Payload
from brassweir.interface import Result
from brassweir.lab.models.desk import Manner
from brassweir.lab.rigs.fleet import HUB, Fleet
from brassweir.lab.rigs.local import LocalSender
from brassweir.lab.rigs.plan import FleetPlan
from brassweir.net.client import Address, CallFailed, Pool, Reply
from brassweir.net.headers import Headers
from brassweir.net.limits import Limits
from tests.conftest import identity, run

OFFICE = "office 1"


class Door:
    """A running sender and a way to knock."""

    def __init__(self, fleet: Fleet, sender: LocalSender) -> None:
        self.fleet, self.sender = fleet, sender
        self.url = f"http://127.0.0.1:{sender.port}/as2"
        self.hub = identity(HUB).certificate
        self.offload = Offload(1)

    async def knock(self, fields: dict[str, str], body: bytes = b"x", url: str = "") -> Reply:
        pool = Pool(Address.of(url or self.url), Limits(), 1, 100.0, 1000.0)
        try:
            return await pool.post(
                Headers(list(fields.items())), body, asyncio.get_running_loop().time() + 5.0
            )
        finally:
            pool.close_idle()

    async def good(self, ident: str, wait: int = 5) -> str:
        """A good message still goes through."""
        sent = letter(
            identity(OFFICE),
            "bank",
            self.hub,
            Payload("application/json", b'{"payment":"p-1","effect":"safe"}', "status p-1"),
            ident,
            wait=wait,
        )
        pool = Pool(Address.of(self.url), Limits(), 1, 100.0, 1000.0)
        try:
            told = await post(pool, sent, self.hub, asyncio.get_running_loop().time() + 5.0, self.offload)
            return told.answer
        finally:
            pool.close_idle()

    async def said(self, reply: Reply, signed: bool = True) -> str:
        """The modifier of a receipt, signed unless no common digest was to be found."""
        assert reply.status == 200
        got = mdn.parse(mime.of_http(reply.headers.first("content-type"), "", reply.body), [self.hub])
        assert (got.signer is not None) == signed and got.disposition.severity in ("error", "failure")
        return got.disposition.modifier


async def opened(folder: Path) -> Door:
    fleet = Fleet(
        folder,
        FleetPlan(clients=1, async_clients=0, partners={"bank": Manner()}, drain_grace=1.0),
        1,
        lambda name, path, port: LocalSender(name, path, port),
    )
    await fleet.set_up()
    sender = fleet.senders[0]
    assert isinstance(sender, LocalSender)
    return Door(fleet, sender)


def fields(**more: str) -> dict[str, str]:
    base = {
        "AS2-Version": "1.2",
        "AS2-From": f'"{OFFICE}"',
        "AS2-To": "bank",
        "Message-ID": "<m@o>",
        "Subject": "status p-1",
        "Content-Type": "text/plain",
        "Disposition-Notification-To": "me",
        "Disposition-Notification-Options": "signed-receipt-protocol=required, pkcs7-signature; signed-receipt-micalg=required, sha-256",
    }
    return {**base, **{name.replace("_", "-"): value for name, value in more.items()}}


def built(payload: bytes = b"{}", *, who: str = OFFICE, security: Security | None = None) -> message.Built:
    return message.build(
        Payload("application/json", payload), security or Security(), identity(who), identity(HUB).certificate
    )


def test_each_bad_message_gets_its_own_no_and_the_sender_serves_on(tmp_path: Path) -> None:
    async def work() -> None:
        door = await opened(tmp_path)
        knock, said = door.knock, door.said
        sound = built()
        wrap = {"Content_Type": sound.content_type}
        # Statuses: there is no partnership to sign a receipt under, or no name for the message.
        for bad, status in (
            (fields(AS2_From="nobody"), 403),
            (fields(AS2_To="nobody"), 403),
            (fields(AS2_From=""), 400),
            (fields(Message_ID=""), 400),
            (fields(AS2_From="caf\xe9"), 400),
        ):
            assert (await knock(bad)).status == status
        twice = Headers([*fields().items(), ("AS2-From", "other")])
        pool = Pool(Address.of(door.url), Limits(), 1, 100.0, 1000.0)
        assert (await pool.post(twice, b"x", asyncio.get_running_loop().time() + 5.0)).status == 400
        pool.close_idle()
        assert (await knock(fields(), url=door.url + "/elsewhere")).status == 404
        # Receipts: known client, bad message.
        assert await said(await knock(fields())) == "insufficient-message-security"
        assert (
            await said(await knock(fields(Subject="no such class", **wrap), sound.body))
            == "unsupported format"
        )
        assert await said(await knock(fields(**wrap), sound.body[:-40])) == "unsupported format"
        assert (
            await said(await knock(fields(**wrap), sound.body[: len(sound.body) // 2]))
            == "unsupported format"
        )
        other = message.build(
            Payload("a/b", b"x"), Security(), identity(OFFICE), identity("bank").certificate
        )
        assert (
            await said(await knock(fields(Content_Type=other.content_type), other.body))
            == "decryption-failed"
        )
        assert (
            await said(await knock(fields(Prefer="wait=0", **wrap), sound.body))
            == "unexpected-processing-error"
        )
        unsigned = built(security=Security("", "aes256-cbc"))
        assert (
            await said(await knock(fields(Content_Type=unsigned.content_type), unsigned.body))
            == "insufficient-message-security"
        )
        stranger = built(who="a stranger")
        assert (
            await said(await knock(fields(Content_Type=stranger.content_type), stranger.body))
            == "authentication-failed"
        )
        bomb = cms.compress(b"\0" * 80_000_000)
        assert (
            await said(await knock(fields(Content_Type="application/pkcs7-mime"), bomb))
            == "decompression-failed"
        )
        deep = b"\x30\x80" * 10_000
        assert (
            await said(await knock(fields(Content_Type="application/pkcs7-mime"), deep))
            == "unsupported format"
        )
        cut = b"--b\r\nContent-Type: text/plain\r\n\r\nx"
        assert (
            await said(await knock(fields(Content_Type="multipart/signed; boundary=b"), cut))
            == "unsupported format"
        )
        no_digest = fields(Disposition_Notification_Options="signed-receipt-micalg=required, md5")
        assert await said(await knock(no_digest), signed=False) == "unsupported MIC-algorithms"
        # Without a receipt asked for, the status says it.
        bare = {name: value for name, value in fields().items() if not name.startswith("Disposition")}
        assert (await knock(bare)).status == 400
        # Receipts from partners that are none.
        receipts = door.url + "/receipts"
        assert (await knock(fields(AS2_From="nobody"), url=receipts)).status == 403
        assert (await knock(fields(AS2_From="bank"), b"garbage", url=receipts)).status == 400
        unknown = mdn.build(mdn.Mdn("<never@sent>", mdn.Disposition()), identity("bank"), "sha256")
        assert (
            await knock(fields(AS2_From="bank", Content_Type=unknown[0]), unknown[1], url=receipts)
        ).status == 200
        assert [line["verdict"] for line in door.sender.log.of("stray_receipt")] == ["unknown"]
        plain = mdn.build(mdn.Mdn("<never@sent>", mdn.Disposition()), identity("bank"), "")
        assert (
            await knock(fields(AS2_From="bank", Content_Type=plain[0]), plain[1], url=receipts)
        ).status == 403
        try:
            assert (await knock(fields(X="y" * 1_000_000))).status == 431
        except CallFailed:
            pass  # the answer crossed with what we were still writing
        assert await door.good("<good@o>") == "delivered"
        assert len(door.sender.log.of("unacceptable")) >= 10 and len(door.sender.log.of("turned_away")) >= 6
        assert not door.sender.log.of("carrier_fault") and door.sender.process is not None
        assert not [line for line in door.sender.log.of("bad_request") if line["status"] == 500]
        await door.fleet.stop()

    run(work())


def test_the_same_id_is_the_same_message_of_one_client_and_bytes_are_opened_once(tmp_path: Path) -> None:
    async def work() -> None:
        door = await opened(tmp_path)
        answers = await asyncio.gather(*(door.good("<one@o>") for _ in range(5)))
        assert answers == ["delivered"] * 5 and await door.good("<one@o>") == "delivered"
        partner = door.fleet.partners["bank"]
        assert partner.effects == {"p-1": 1}, "six hand-ins, one effect"
        assert sorted(line["how"] for line in door.sender.log.of("taken")) == ["ended"] + ["joined"] * 4 + [
            "new"
        ]
        await door.fleet.stop()

    run(work())


def test_an_expired_certificate_is_no_certificate(tmp_path: Path) -> None:
    async def work() -> None:
        door = await opened(tmp_path)
        assert door.sender.process is not None
        assert door.sender.process.as2 is not None
        book = door.sender.process.as2.book
        old = keys.make("old", days=1.0, start=datetime.now(UTC) - timedelta(days=3))
        client = book.clients[OFFICE]
        object.__setattr__(client, "certificates", (old.certificate,))
        sent = message.build(Payload("application/json", b"{}"), Security(), old, identity(HUB).certificate)
        assert (
            await door.said(await door.knock(fields(Content_Type=sent.content_type), sent.body))
            == "authentication-failed"
        )
        object.__setattr__(client, "certificates", (identity(OFFICE).certificate,))
        object.__setattr__(door.sender.process.as2.carrier.partners[1], "certificates", (old.certificate,))
        assert await door.good("<x@o>") in ("refused", "failed")
        attempts = [line["result"] for line in door.sender.log.of("ended")]
        assert set(attempts) == {Result.NO_CONNECTION.value}, (
            "nothing was written to a partner we cannot seal for"
        )
        await door.fleet.stop()

    run(work())


def test_a_list_that_is_bad_changes_nothing_and_a_good_one_is_taken(tmp_path: Path) -> None:
    async def work() -> None:
        door = await opened(tmp_path)
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
        assert len(door.sender.log.of("list_refused")) == 4
        assert await door.good("<a@o>") == "delivered"
        path.unlink()
        await asyncio.sleep(0.25)
        assert await door.good("<b@o>") == "delivered"
        path.write_text(right.replace("state: ready", "state: draining"))
        await asyncio.sleep(0.25)
        begun = time.monotonic()
        assert await door.good("<c@o>", wait=1) in ("refused", "failed")
        assert time.monotonic() - begun < 2.0
        await door.fleet.stop()

    run(work())
