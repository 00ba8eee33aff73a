"""What strangers, and known clients gone wrong, send to a running sender: each gets its own no, and it serves on."""

from __future__ import annotations

import asyncio
from pathlib import Path

from brassweir.as2 import cms, mdn, message
from brassweir.as2.message import Security
from brassweir.core.ports import Payload
from brassweir.net.client import Address, CallFailed, HttpPool
from brassweir.net.headers import Headers
from brassweir.net.limits import Limits
from tests.conftest import identity, run
from tests.service.as2_door import OFFICE, built, fields, opened


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
        pool = HttpPool(Address.parse(door.url), Limits(), 1, 100.0, 1000.0)
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
