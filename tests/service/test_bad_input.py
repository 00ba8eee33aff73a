"""Invalid AS2 input from unknown and known clients: each gets its own error, and the sender keeps serving."""

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
from tests.service.as2_sender import OFFICE, build_message, fields, start_sender


def test_each_bad_message_gets_its_own_error_and_the_sender_keeps_serving(tmp_path: Path) -> None:
    async def work() -> None:
        running = await start_sender(tmp_path)
        post_message, receipt_modifier = running.post, running.receipt_modifier
        sound = build_message()
        wrap = {"Content_Type": sound.content_type}
        # Errors before a receipt is possible: no partnership, or no Message-ID.
        for bad, status in (
            (fields(AS2_From="nobody"), 403),
            (fields(AS2_To="nobody"), 403),
            (fields(AS2_From=""), 400),
            (fields(Message_ID=""), 400),
            (fields(AS2_From="caf\xe9"), 400),
        ):
            assert (await post_message(bad)).status == status
        twice = Headers([*fields().items(), ("AS2-From", "other")])
        pool = HttpPool(Address.parse(running.url), Limits(), 1, 100.0, 1000.0)
        assert (await pool.post(twice, b"x", asyncio.get_running_loop().time() + 5.0)).status == 400
        pool.close_idle()
        assert (await post_message(fields(), url=running.url + "/elsewhere")).status == 404
        # Signed error receipts: known client, invalid message.
        assert await receipt_modifier(await post_message(fields())) == "insufficient-message-security"
        assert (
            await receipt_modifier(await post_message(fields(Subject="no such class", **wrap), sound.body))
            == "unsupported format"
        )
        assert (
            await receipt_modifier(await post_message(fields(**wrap), sound.body[:-40]))
            == "unsupported format"
        )
        assert (
            await receipt_modifier(await post_message(fields(**wrap), sound.body[: len(sound.body) // 2]))
            == "unsupported format"
        )
        other = message.build(
            Payload("a/b", b"x"), Security(), identity(OFFICE), identity("bank").certificate
        )
        assert (
            await receipt_modifier(await post_message(fields(Content_Type=other.content_type), other.body))
            == "decryption-failed"
        )
        assert (
            await receipt_modifier(await post_message(fields(Prefer="wait=0", **wrap), sound.body))
            == "unexpected-processing-error"
        )
        unsigned = build_message(security=Security("", "aes256-cbc"))
        assert (
            await receipt_modifier(
                await post_message(fields(Content_Type=unsigned.content_type), unsigned.body)
            )
            == "insufficient-message-security"
        )
        stranger = build_message(who="a stranger")
        assert (
            await receipt_modifier(
                await post_message(fields(Content_Type=stranger.content_type), stranger.body)
            )
            == "authentication-failed"
        )
        bomb = cms.compress(b"\0" * 80_000_000)
        assert (
            await receipt_modifier(await post_message(fields(Content_Type="application/pkcs7-mime"), bomb))
            == "decompression-failed"
        )
        deep = b"\x30\x80" * 10_000
        assert (
            await receipt_modifier(await post_message(fields(Content_Type="application/pkcs7-mime"), deep))
            == "unsupported format"
        )
        cut = b"--b\r\nContent-Type: text/plain\r\n\r\nx"
        assert (
            await receipt_modifier(
                await post_message(fields(Content_Type="multipart/signed; boundary=b"), cut)
            )
            == "unsupported format"
        )
        no_digest = fields(Disposition_Notification_Options="signed-receipt-micalg=required, md5")
        assert (
            await receipt_modifier(await post_message(no_digest), signed=False)
            == "unsupported MIC-algorithms"
        )
        # No receipt requested: the status reports the error.
        bare = {name: value for name, value in fields().items() if not name.startswith("Disposition")}
        assert (await post_message(bare)).status == 400
        # Asynchronous receipts from unknown partners, and invalid ones.
        receipts = running.url + "/receipts"
        assert (await post_message(fields(AS2_From="nobody"), url=receipts)).status == 403
        assert (await post_message(fields(AS2_From="bank"), b"garbage", url=receipts)).status == 400
        unknown = mdn.build(mdn.Mdn("<never@sent>", mdn.Disposition()), identity("bank"), "sha256")
        assert (
            await post_message(fields(AS2_From="bank", Content_Type=unknown[0]), unknown[1], url=receipts)
        ).status == 200
        assert [line["verdict"] for line in running.sender.log.of("stray_receipt")] == ["unknown"]
        plain = mdn.build(mdn.Mdn("<never@sent>", mdn.Disposition()), identity("bank"), "")
        assert (
            await post_message(fields(AS2_From="bank", Content_Type=plain[0]), plain[1], url=receipts)
        ).status == 403
        try:
            assert (await post_message(fields(X="y" * 1_000_000))).status == 431
        except CallFailed:
            pass  # the server closed while the request was still being written
        assert await running.send_valid("<good@o>") == "delivered"
        assert (
            len(running.sender.log.of("unacceptable")) >= 10
            and len(running.sender.log.of("turned_away")) >= 6
        )
        assert not running.sender.log.of("carrier_fault") and running.sender.process is not None
        assert not [line for line in running.sender.log.of("bad_request") if line["status"] == 500]
        await running.fleet.stop()

    run(work())
